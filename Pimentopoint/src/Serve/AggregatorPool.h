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

/// Weights by which connections to the targets of fan-outs are divided among hosts.
struct ConnectionWeights {
    double own = 1;
    double total = 1; ///< Sum over this host and all usable members.
};
/// \returns weights proportional to processor time; hosts that delegate their fan-outs to a stronger local host get a reduced weight
ConnectionWeights connectionWeights(const MemberRecord& self, const std::vector<MemberRecord>& members);

/// \class AggregatorPool
/// \ingroup Serve
/// \brief Chooses an aggregator: another host that runs a fan-out, or some shards of it, for this host.
/// \details A whole fan-out is delegated to a local host with much more processor time, which replies sooner and observes more of each
/// target's replies, or to a host of another data centre if the local one lacks most of the targets. If it lacks only some, only
/// their shards are delegated, so that one merged reply crosses between the data centres instead of one per shard. Hosts rank
/// aggregators differently, so that an unresponsive one affects few callers. If several aggregators of a data centre become
/// unresponsive, the data centre is probably partitioned or without power, and its other aggregators are not used for a while.
class AggregatorPool {
public:
    /// Shards that are delegated.
    enum class Scope : std::uint8_t {
        All,
        RemoteOnlyShards, ///< Shards without usable targets in the local data centre.
    };
    struct Choice {
        Scope scope;
        MemberName name;
        Endpoint endpoint;
        Duration networkDelay { 0 }; ///< Smoothed time of a delegation beyond the aggregator's own processing time.
    };
    /// Receives changes of a host's state: host, event, cause.
    using Observer = std::function<void(const MemberName&, std::string_view, std::string_view)>;

    AggregatorPool(MemberRecord self, Observer observer);

    /// \returns whether no other host accepts delegations
    bool empty() const { return m_hosts.empty(); }
    void setMembers(const std::vector<MemberRecord>& members);
    /// \brief Chooses an aggregator for a fan-out whose shards have targets according to \a availability.
    /// \param remoteOnly whether only shards without usable targets in the local data centre may be delegated
    /// \returns nothing if this host runs the whole fan-out
    std::optional<Choice> choose(const ShardAvailability& availability, bool remoteOnly, Instant now) const;
    /// Records the start of \a attempt at \a name, which counts as stalled if it has not replied after \a timeout.
    void recordAttempt(const MemberName& name, AttemptNumber attempt, Duration timeout, Instant now);
    void recordReply(const MemberName& name, AttemptNumber attempt, const TargetReply& reply, Instant now);
    /// Records that \a attempt was given up; \a unresponsive if that was because the aggregator did not acknowledge it in time.
    void recordAbandoned(const MemberName& name, AttemptNumber attempt, bool unresponsive, Instant now);

private:
    struct Outstanding {
        AttemptNumber attempt;
        Instant sentAt;
        Instant dueAt;
    };
    struct Host {
        MemberRecord record;
        std::vector<Outstanding> outstanding;
        std::optional<Duration> networkDelay; ///< Smoothed; nothing before the first reply.
        unsigned consecutiveFailures = 0;
        Instant avoidUntil {};
        Instant unresponsiveUntil {}; ///< Time until which the host counts as unresponsive for its data centre.
    };

    void rankHosts();
    /// \returns the first available host of another data centre that has most of the shards that the best one has
    std::optional<Choice> chooseRemote(Scope scope, const std::map<DataCentreName, std::size_t>& shardCounts, Instant now) const;
    std::optional<Choice> chooseStrongerLocal(Instant now) const;
    bool isAvailable(const Host& host, Instant now) const;
    /// \returns whether so many hosts of \a dataCentre are unresponsive that the others there are not used either
    bool isUnresponsive(const DataCentreName& dataCentre, Instant now) const;
    void recordUnresponsive(Host& host, std::string_view reason, Instant now);
    static void avoid(Host& host, Duration backoff, Instant now);
    void suspect(Host& host, Duration backoff, std::string_view reason, Instant now);
    std::optional<Outstanding> removeOutstanding(const MemberName& name, AttemptNumber attempt);

    MemberRecord m_self;
    Observer m_observer;
    std::map<MemberName, Host> m_hosts;
    std::vector<const Host*> m_ranked; ///< Most preferred host first.
};

} // namespace pimentopoint
