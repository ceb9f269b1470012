#pragma once

#include "../Core/Random.h"
#include "DiscoveredTarget.h"
#include "RoutingTable.h"
#include "ShardAvailability.h"
#include "TargetReply.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace pimentopoint {

/// Intervals after which beliefs about targets change.
struct TargetPoolTiming {
    Duration leavingUseTimeout = std::chrono::milliseconds(1500); ///< For which a leaving target serves where no other does; half of the time for which it still answers.
    Duration initialBackoff = std::chrono::milliseconds(100); ///< After a first failure: the shortest pause of a target seen in the field.
    Duration maxBackoff = std::chrono::seconds(2); ///< Longest time without a trial of a target that failed.
    Duration reopenDelay = std::chrono::seconds(5); ///< Until a lost connection is opened again ahead of need: its target may be at its limit, and idle timeouts are of this order.
    Duration refusalBackoff = std::chrono::milliseconds(30); ///< After a refusal: a few service times.
    Duration removalTimeout = std::chrono::seconds(30); ///< For which a target that left is kept, so that its return is recognized.
    Duration latencyTimeConstant = std::chrono::seconds(3); ///< Time constant with which slowness is forgotten: a host of a large fleet sends to a target once a second.
    Duration failureTimeConstant = std::chrono::seconds(8); ///< Time constant with which failures are forgotten; a target that fails on and off fails for seconds.
};

/// \class TargetPool
/// \ingroup Serve
/// \brief What this host believes of every target, and the choice of one for a send.
/// \details Targets are judged by replies alone: how long they take against what is expected, what is outstanding there, how
/// often they fail. One with a request outstanding for much longer than expected stands still and is avoided until it answers.
class TargetPool {
public:
    /// Why choose() has no target.
    enum class ChoiceStatus : std::uint8_t {
        Chosen,
        Saturated, ///< All connections that this host may use are at work.
        NoTarget, ///< No target may be sent to.
    };
    struct Choice {
        TargetName name;
        Endpoint endpoint;
        bool healthy = true; ///< Whether nothing speaks against the target.
    };
    /// What the pool tells of changed beliefs: target, event, detail.
    using Observer = std::function<void(const TargetName&, std::string_view, std::string_view)>;

    TargetPool(DataCentreName home, TargetPoolTiming timing, std::uint64_t seed, Observer observer);

    void put(const DiscoveredTarget& target, Instant now);
    void remove(const TargetName& name, Instant now);
    /// Sets the data centres whose targets get nothing.
    void setExcludedDataCentres(std::set<DataCentreName> excluded) { m_excludedDataCentres = std::move(excluded); }
    void setRouting(RoutingTablePointer routing);
    /// Sets by how many hosts what all of them share is divided, and this host's part of the connections to each target of a fan-out.
    void setHostFractions(std::size_t hosts, double fanOut);

    /// \returns the best target of \a service that is not in \a tried, or nothing and the reason in \a shortage
    std::optional<Choice> choose(const ServiceName& service, const std::vector<TargetName>& tried, Instant now, ChoiceStatus& shortage);
    /// Notes a send that usually takes \a expected and is late after \a late.
    void recordAttempt(const TargetName& name, AttemptNumber send, Duration expected, Duration late, Instant now);
    void recordReply(const TargetName& name, AttemptNumber send, const TargetReply& reply, Instant now);
    /// The send was given up; with \a silent, long after its answer was due.
    void recordAbandoned(const TargetName& name, AttemptNumber send, bool silent, Instant now);

    /// Notes that a connection to \a name was opened or lost, so that \a open are left.
    void setOpenConnections(const TargetName& name, std::size_t open, Instant now);
    /// \brief Chooses targets to open a connection to ahead of need: a new one costs the first request a round trip and a slot.
    /// \details Of each service in the routing table one target, at home if there is one; others while all hosts together stay far
    /// below the connections that a target accepts.
    std::vector<Choice> chooseUnconnected(std::size_t most, Instant now);
    /// \returns where \a services have targets that nothing speaks against
    ShardAvailability shardAvailability(const std::vector<ServiceName>& services, Instant now) const;
    /// Drops targets that left long ago.
    void removeExpired(Instant now);
    std::size_t size() const { return m_targets.size(); }

private:
    struct Outstanding {
        AttemptNumber attempt;
        Instant sentAt;
        Duration expectedLatency;
        Duration stragglerThreshold;
    };
    struct TargetState {
        DiscoveredTarget target;
        std::optional<Instant> leavingSince;
        Instant coldUntil {};
        double coldCredit = 0;
        std::optional<Instant> coldCreditAt;
        std::size_t openConnections = 0; ///< That are open.
        Instant connectAfter {}; ///< Until then none is opened ahead of need.
        std::vector<Outstanding> outstanding;
        double latencyRatio = 1; ///< Time taken over time expected.
        double failureRate = 0; ///< Share of failures, 0 to 1.
        Instant decayedAt {};
        unsigned consecutiveFailures = 0; ///< In a row.
        Instant avoidUntil {};
    };

    /// The targets of a service and what its policy says of each.
    struct ServiceGroup {
        std::vector<TargetState*> targets;
        std::size_t connectionLimit = 1; ///< Of one target, for this host.
        bool allHostsMayConnect = false; ///< Whether every host may hold a connection to every target and use another.
        bool routed = false; ///< Whether a route names the service.
        double coldRequestsPerSecond = 0;
    };

    static bool hasStalledRequest(const TargetState& state, Instant now);
    void decay(TargetState& state, Instant now) const;
    void recordFailure(TargetState& state, Duration backoff, std::string_view why, Instant now);
    void applyPolicy(const ServiceName& service, ServiceGroup& group) const;
    void applyPolicies();
    void removeFromGroup(TargetState& state);
    bool coldLimitAllows(const ServiceGroup& group, TargetState& state, Instant now);
    bool isUsable(const TargetState& state, Instant now) const;
    double score(TargetState& state, Instant now);
    static std::optional<Outstanding> removeOutstanding(TargetState& state, AttemptNumber send);

    DataCentreName m_localDataCentre;
    TargetPoolTiming m_timing;
    Random m_random;
    Observer m_observer;
    RoutingTablePointer m_routing;
    std::set<DataCentreName> m_excludedDataCentres;
    std::size_t m_hostCount = 1;
    double m_fanOutFraction = 1; ///< This host's part of the connections to a target of a fan-out.
    std::set<ServiceName> m_routedServices; ///< Services that routes name.
    std::set<ServiceName> m_shardServices; ///< Those of them that are shards of a fan-out.
    std::map<TargetName, TargetState> m_targets;
    std::unordered_map<ServiceName, ServiceGroup> m_groups;
};

} // namespace pimentopoint
