#pragma once

#include "../Core/Random.h"
#include "DiscoveredTarget.h"
#include "RoutingTable.h"
#include "ShardAvailability.h"
#include "TargetReply.h"
#include "TargetStatements.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace pimentopoint {

/// Intervals after which the known state of targets changes.
struct TargetPoolTiming {
    Duration leavingUseTimeout = std::chrono::milliseconds(1500); ///< Time for which a leaving target is still used if no other is usable; half of the time for which it still replies.
    Duration initialBackoff = std::chrono::milliseconds(100); ///< Backoff after the first failure; targets that pause do so for at least about this long.
    Duration maxBackoff = std::chrono::seconds(2); ///< Longest backoff after a failure.
    Duration reopenDelay = std::chrono::seconds(5); ///< Delay before a lost connection is opened again in advance of requests: the target may be at its connection limit, and idle timeouts are of this order.
    Duration refusalBackoff = std::chrono::milliseconds(30); ///< Backoff after a refusal; a few service times.
    Duration removalTimeout = std::chrono::seconds(30); ///< Time for which a target that left is kept, so that its return is recognized.
    Duration latencyTimeConstant = std::chrono::seconds(3); ///< Time constant of the latency ratio's decay: a host of a large fleet sends to a given target about once a second.
    Duration failureTimeConstant = std::chrono::seconds(8); ///< Time constant of the failure rate's decay: a target that fails intermittently does so for seconds.
};

/// \class TargetPool
/// \ingroup Serve
/// \brief Keeps the known state of every target and chooses a target for each attempt.
/// \details Targets are scored by this host's own observations alone: the ratio of observed to expected latency, the number of
/// outstanding requests and the failure rate. A target with a request outstanding past its straggler threshold counts as stalled and
/// is avoided until it replies.
class TargetPool {
public:
    /// Result of choose().
    enum class ChoiceStatus : std::uint8_t {
        Chosen,
        Saturated, ///< All connections that this host may use are in use.
        Limited, ///< All usable targets have stated limits that allow no request of this host now.
        NoTarget, ///< No target is usable.
    };
    struct Choice {
        TargetName name;
        Endpoint endpoint;
        bool healthy = true; ///< Whether the target is neither stalled nor avoided nor leaving.
    };
    /// Receives changes of a target's state: target, event, detail.
    using Observer = std::function<void(const TargetName&, std::string_view, std::string_view)>;

    TargetPool(DataCentreName localDataCentre, TargetPoolTiming timing, std::uint64_t seed, Observer observer);

    void put(const DiscoveredTarget& target, Instant now);
    void remove(const TargetName& name, Instant now);
    /// Sets the data centres whose targets receive no requests.
    void setExcludedDataCentres(std::set<DataCentreName> dataCentres) { m_excludedDataCentres = std::move(dataCentres); }
    void setRouting(RoutingTablePointer routing);
    /// \brief Sets how the limits that all hosts share are divided.
    /// \param hosts the number of hosts among which limits are divided evenly
    /// \param fanOut this host's fraction of the connections to each target of a fan-out
    void setHostFractions(std::size_t hosts, double fanOut);

    /// \returns the best target of \a service that is not in \a tried, or nothing; \a status is set to the reason
    std::optional<Choice> choose(const ServiceName& service, const std::vector<TargetName>& tried, Instant now, ChoiceStatus& status);
    /// \returns whether any target is known to limit the requests that it accepts
    bool hasRequestLimits(Instant now) const { return m_limitedCount || now < m_latestRefusalEnd; }
    /// \returns the time until this host may send to a target of \a service again after choose() found them limited
    Duration limitWait(const ServiceName& service, Instant now);
    /// Records the start of \a attempt, which is expected to take \a expectedLatency and is a straggler after \a stragglerThreshold.
    void recordAttempt(const TargetName& name, AttemptNumber attempt, Duration expectedLatency, Duration stragglerThreshold, Instant now);
    void recordReply(const TargetName& name, AttemptNumber attempt, const TargetReply& reply, Instant now);
    /// Records that \a attempt was given up; \a unresponsive if that was long after its reply was due.
    void recordAbandoned(const TargetName& name, AttemptNumber attempt, bool unresponsive, Instant now);

    /// Sets the number of open connections to \a name.
    void setOpenConnections(const TargetName& name, std::size_t open, Instant now);
    /// \brief Chooses up to \a maxCount targets to which a connection is opened in advance of requests.
    /// \details Otherwise a new connection would cost the first request a round trip and a slot of the target. Skips targets that are
    /// leaving, avoided or cold, and those that lost a connection less than TargetPoolTiming::reopenDelay ago. Chooses all local
    /// targets of the services in the routing table. Chooses remote targets too if the connection limit leaves each host more than one
    /// connection to each target, so that all hosts together stay below the target's limit; otherwise only if no target of the service
    /// is connected.
    std::vector<Choice> chooseUnconnected(std::size_t maxCount, Instant now);
    /// \returns the data centres in which \a services have usable targets that are neither leaving nor avoided
    ShardAvailability shardAvailability(const std::vector<ServiceName>& services, Instant now) const;
    /// Removes targets that left longer than TargetPoolTiming::removalTimeout ago.
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
        std::optional<Instant> leavingSince; ///< Set while the target's entry says that it is draining, or is missing.
        TargetStatements statements;
        Instant coldUntil {};
        double coldCredit = 0; ///< Requests that this host may send to the target now while it is cold.
        std::optional<Instant> coldCreditAt; ///< Time of the latest update of \c coldCredit.
        std::size_t openConnections = 0;
        Instant connectAfter {}; ///< Time before which no connection is opened in advance of requests.
        std::vector<Outstanding> outstanding;
        double latencyRatio = 1; ///< Observed over expected latency, smoothed.
        double failureRate = 0; ///< Recent fraction of failures, 0 to 1.
        Instant decayedAt {};
        unsigned consecutiveFailures = 0;
        Instant avoidUntil {};
    };

    /// Targets of a service and the limits that apply to each of them.
    struct ServiceGroup {
        std::vector<TargetState*> targets;
        std::size_t connectionLimit = 1; ///< Most connections from this host to one target.
        bool allHostsMayConnect = false; ///< Whether each host may use more than one connection to each target.
        bool routed = false; ///< Whether a route uses the service.
        double hostFraction = 1; ///< This host's fraction of limits that all hosts share.
        double coldRequestsPerSecond = 0; ///< Limit for one cold target over all hosts together; 0: none.
    };

    void recordStatements(TargetState& state, const TargetReply& reply, Instant now);
    /// \returns whether the target is about to stop, by its entry or by its replies
    static bool isLeaving(const TargetState& state) { return state.leavingSince || state.statements.leavingSince(); }
    static bool hasStalledRequest(const TargetState& state, Instant now);
    void decay(TargetState& state, Instant now) const;
    void recordFailure(TargetState& state, Duration backoff, std::string_view reason, Instant now);
    void applyPolicy(const ServiceName& service, ServiceGroup& group) const;
    void applyPolicies();
    void removeFromGroup(TargetState& state);
    bool coldLimitAllows(const ServiceGroup& group, TargetState& state, Instant now);
    bool isUsable(const TargetState& state, Instant now) const;
    double score(TargetState& state, Instant now);
    static std::optional<Outstanding> removeOutstanding(TargetState& state, AttemptNumber attempt);

    DataCentreName m_localDataCentre;
    TargetPoolTiming m_timing;
    Random m_random;
    Observer m_observer;
    RoutingTablePointer m_routing;
    std::set<DataCentreName> m_excludedDataCentres;
    std::size_t m_hostCount = 1;
    double m_fanOutFraction = 1; ///< This host's fraction of the connections to a target of a fan-out.
    std::set<ServiceName> m_routedServices; ///< Services that routes use.
    std::set<ServiceName> m_shardServices; ///< Services that are shards of a fan-out.
    Instant m_latestRefusalEnd {}; ///< Latest end of the times for which targets refuse requests from this host.
    std::size_t m_limitedCount = 0; ///< Number of targets that are known to limit the rate of their requests.
    std::map<TargetName, TargetState> m_targets;
    std::unordered_map<ServiceName, ServiceGroup> m_groups;
};

} // namespace pimentopoint
