#pragma once

#include "../Operator/Configuration.h"
#include "Share.h"

#include <unordered_map>
#include <vector>

namespace pimentopoint {

/// \class ShareTable
/// \ingroup Target
/// \brief Divides every target's slots among gateways of its data centre, as a function of the configuration alone.
/// \details A target has \f$ k = \min(2, coldLimit, gateways) \f$ owners, the first \c k by rendezvous hashing; slots
/// and cold limit are divided among them without remainder lost. The sum over all owners equals the target's limit
/// whoever is up, cut off or paused, so no agreement is needed.
class ShareTable {
public:
    explicit ShareTable(const Configuration& configuration);

    struct Owner {
        MemberName gateway;
        Share share;
    };

    /// \returns the owners of \a target, the first one first; empty if the target is unknown
    const std::vector<Owner>& owners(TargetId target) const;
    /// \returns the share of \a gateway in \a target; empty if it has none
    Share share(TargetId target, const MemberName& gateway) const;

private:
    std::unordered_map<TargetId, std::vector<Owner>> m_owners;
};

} // namespace pimentopoint
