#pragma once

#include "../Operator/Configuration.h"
#include "Share.h"

#include <unordered_map>
#include <vector>

namespace pimentopoint {

/// \class ShareTable
/// \ingroup Target
/// \brief Divides every target's slots among gateways of its data centre, as a function of the configuration alone.
/// \details A target has \f$ k = \min(2, coldLimit, gateways) \f$ owners, the first \c k by rendezvous hashing; slots,
/// cold limit and connections are divided among them without losing the remainder. The sum over all owners equals the
/// target's limit, whichever of them are running, partitioned or paused, so the owners need no agreement.
class ShareTable {
public:
    explicit ShareTable(const Configuration& configuration);

    struct Owner {
        MemberName gateway;
        Share share;
    };

    /// \returns the owners of \a target in the order of their rank; empty if the target is unknown
    const std::vector<Owner>& owners(TargetId target) const;
    /// \returns the share of \a gateway in \a target; empty if the gateway is not an owner
    Share share(TargetId target, const MemberName& gateway) const;

private:
    std::unordered_map<TargetId, std::vector<Owner>> m_owners;
};

} // namespace pimentopoint
