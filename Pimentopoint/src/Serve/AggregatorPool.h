#pragma once

#include "../Peer/MemberRecord.h"
#include "ShardAvailability.h"
#include "TargetReply.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace pimentopoint {

/// By what connections to the targets of fan-outs are divided among hosts.
struct ConnectionWeights {
    double own = 1;
    double total = 1; ///< Of all hosts in sight, this one included.
};
/// \returns the weights by processor time; hosts that give their fan-outs to a stronger one at home count for little
ConnectionWeights connectionWeights(const MemberRecord& self, const std::vector<MemberRecord>& members);

/// \class AggregatorPool
/// \ingroup Serve
/// \brief The choice of a host that runs a fan-out, or some shards of it, for this one.
/// \details All of a fan-out is given to a host of the same data centre with much more processor time, which serves sooner and sees more of
/// each target's replies, or to one of another data centre if this one lacks most of the targets. If it lacks some, only their shards are given away:
/// one merged answer crosses between the data centres instead of many parts. Each host prefers one such host of its own, so that one
/// that falls silent costs few callers; where several of a data centre do, it is cut off or without power, and the others there are
/// not tried for a while. Events in, choices out.
class AggregatorPool {
public:
    /// What is given to another host.
    enum class Scope : std::uint8_t {
        All,
        RemoteOnlyShards, ///< Those that this data centre lacks.
    };
    struct Choice {
        Scope scope;
        MemberName name;
        Endpoint endpoint;
        Duration networkDelay { 0 }; ///< What an answer takes longer than the host itself does.
    };
    /// What the pool tells of changed beliefs: host, event, cause.
    using Observer = std::function<void(const MemberName&, std::string_view, std::string_view)>;

    AggregatorPool(MemberRecord self, Observer observer);

    /// \returns whether there is no other host to choose
    bool empty() const { return m_hosts.empty(); }
    void setMembers(const std::vector<MemberRecord>& members);
    /// \brief Chooses a host for a fan-out whose shards have targets as \a reach says.
    /// \param onlyAway whether only the shards that this data centre lacks may be given away
    /// \returns nothing if this host is to run all of it
    std::optional<Choice> choose(const ShardAvailability& reach, bool onlyAway, Instant now) const;
    /// Notes a send to \a name, which stands still if it has not answered after \a patience.
    void recordAttempt(const MemberName& name, AttemptNumber send, Duration patience, Instant now);
    void recordReply(const MemberName& name, AttemptNumber send, const TargetReply& reply, Instant now);
    /// The send was given up; with \a silent, because no answer came in time.
    void recordAbandoned(const MemberName& name, AttemptNumber send, bool silent, Instant now);

private:
    struct Outstanding {
        AttemptNumber attempt;
        Instant sentAt;
        Instant dueAt;
    };
    struct Host {
        MemberRecord record;
        std::vector<Outstanding> outstanding;
        std::optional<Duration> networkDelay; ///< Smoothed; nothing before the first answer.
        unsigned consecutiveFailures = 0; ///< In a row.
        Instant avoidUntil {};
        Instant unresponsiveUntil {}; ///< Until which its silence counts against its data centre.
    };

    void rankHosts();
    /// \returns the first free host in a data centre that has a good part of what the best one has
    std::optional<Choice> chooseRemote(Scope scope, const std::map<DataCentreName, std::size_t>& shards, Instant now) const;
    std::optional<Choice> chooseStrongerLocal(Instant now) const;
    bool isAvailable(const Host& host, Instant now) const;
    /// \returns whether so many hosts of \a dataCentre fell silent of late that the others there are not tried
    bool isUnresponsive(const DataCentreName& dataCentre, Instant now) const;
    void recordUnresponsive(Host& host, std::string_view why, Instant now);
    static void avoid(Host& host, Duration backoff, Instant now);
    void suspect(Host& host, Duration backoff, std::string_view why, Instant now);
    std::optional<Outstanding> removeOutstanding(const MemberName& name, AttemptNumber send);

    MemberRecord m_self;
    Observer m_observer;
    std::map<MemberName, Host> m_hosts;
    std::vector<const Host*> m_ranked; ///< The preferred one first.
};

} // namespace pimentopoint
