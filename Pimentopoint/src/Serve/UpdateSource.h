#pragma once

#include "../Peer/MemberRecord.h"

#include "../Core/Clock.h"

#include <map>
#include <optional>
#include <vector>

namespace pimentopoint {

/// \class UpdateSource
/// \ingroup Serve
/// \brief Chooses the source from which a host reads updates of the platform's store: the store itself or another host.
/// \details The hosts of a data centre, ranked by processor time, form a tree: the first one reads the store, and each other one reads
/// from a host above it. A host whose source fails takes its place in the tree without that host, for a while. So when the store
/// refuses the first host, the second one reads the store, and the others read from it. If the store fails too, other hosts are tried.
class UpdateSource {
public:
    struct Choice {
        std::optional<Endpoint> host; ///< Address of the host to read from; nothing: the store.
        bool isBelow = false; ///< Whether the host is below this one in the tree, so that it may itself read from here.
    };

    explicit UpdateSource(MemberRecord self);

    void setMembers(const std::vector<MemberRecord>& members);
    /// \returns the best source that is not avoided, or nothing if all are
    std::optional<Choice> choose(Instant now) const;
    /// \returns whether \a choice failed recently
    bool isAvoided(const Choice& choice, Instant now) const { return isAvoided(choice.host.value_or(Endpoint()), now); }
    void recordFailure(const Choice& choice, Instant now);
    void recordSuccess(const Choice& choice);
    /// \returns this host's rank among the hosts of its data centre, from 0 for the first one to 1 for the last
    double rankFraction() const { return m_localCount > 1 ? static_cast<double>(m_above.size()) / static_cast<double>(m_localCount - 1) : 0; }
    /// \returns whether other usable hosts of this data centre are known
    bool knowsLocalMembers() const { return m_localCount > 1; }

private:
    /// \returns the host above this one in the tree of hosts that are not avoided; nothing if this host is the first one
    std::optional<Endpoint> parent(Instant now) const;
    bool isAvoided(const Endpoint& source, Instant now) const;

    /// State of a source that failed; the empty endpoint is the store.
    struct Failure {
        Instant avoidUntil;
        unsigned count = 0; ///< Number of failures since the last success.
    };

    MemberRecord m_self;
    std::vector<Endpoint> m_above; ///< Usable hosts of this data centre that rank before this one, in the order of their ranks.
    std::vector<Choice> m_fallbacks; ///< Hosts that are tried if the store fails.
    std::size_t m_localCount = 1; ///< Number of usable hosts of this data centre, this one included.
    std::map<Endpoint, Failure> m_failures;
};

} // namespace pimentopoint
