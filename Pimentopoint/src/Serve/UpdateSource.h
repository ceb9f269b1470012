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
/// \details In each data centre the host of the lowest rank reads the store, and the others read from that host. A host whose source fails
/// reads the store itself, and if that fails too, any other host.
class UpdateSource {
public:
    struct Choice {
        std::optional<Endpoint> host; ///< Address of the host to read from; nothing: the store.
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
    std::optional<Endpoint> m_leader; ///< Host that reads the store for this data centre; nothing: this host does.
    std::map<Endpoint, Instant> m_avoidUntil; ///< Time until which each source is avoided; the empty endpoint is the store.
};

} // namespace pimentopoint
