#pragma once

#include "../Peer/MemberRecord.h"

#include "../Core/Clock.h"

#include <map>
#include <optional>
#include <vector>

namespace pimentopoint {

/// \class NewsSource
/// \ingroup Serve
/// \brief Decides from whom a host reads the platform's news: the store, or a host that reads the store for its data centre.
/// \details One host of a data centre follows the store, the first by rank; the others follow that host. Whoever can't reach its
/// source reads from the store itself, and if that turns it away, from any other host.
class UpdateSource {
public:
    struct Choice {
        std::optional<Endpoint> host; ///< Nothing: the store.
    };

    explicit UpdateSource(MemberRecord self);

    void setMembers(std::vector<MemberRecord> members);
    Choice choose(Instant now) const;
    void recordFailure(const Choice& choice, Instant now);
    void recordSuccess(const Choice& choice);
    /// \returns whether this host reads the store for its data centre
    bool readsStore() const { return !m_leader; }

private:
    bool isUsable(const Choice& choice, Instant now) const;

    MemberRecord m_self;
    std::vector<MemberRecord> m_members;
    std::optional<Endpoint> m_leader; ///< The host that reads the store for this data centre; nothing: this one.
    std::map<Endpoint, Instant> m_avoidUntil; ///< By host; the empty endpoint is the store.
};

} // namespace pimentopoint
