#pragma once

#include "../Core/Metrics.h"
#include "AggregatorPool.h"
#include "CallRun.h"
#include "DecayingSum.h"
#include "ExtraAttemptBudgets.h"
#include "RouteStatistics.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <limits>
#include <map>
#include <memory>
#include <queue>
#include <unordered_map>

namespace pimentopoint {

/// What the caller of CallEngine is to do.
struct CallActions {
    struct Attempt {
        AttemptNumber id;
        TargetName target;
        Endpoint endpoint;
        std::shared_ptr<const CallerRequest> request;
        Instant deadline; ///< Until which the target may work.
        bool needsHeaders = true; ///< Whether the answer's headers are needed.
        std::optional<Delegation> delegation {}; ///< Set if the target is a host that runs parts of the call for this one.
    };
    struct Answer {
        CallId call;
        CallerAnswer answer;
    };
    std::vector<Attempt> attempts;
    std::vector<AttemptNumber> aborts; ///< Sends whose connection is to be closed.
    std::vector<Answer> answers;
};

/// One line about a finished call, for the log.
struct CallRecord {
    const CallerRequest& request;
    std::string route;
    ConfigurationVersion version;
    unsigned status;
    const char* reason;
    Duration elapsed;
    unsigned missingShards;
    unsigned extraAttempts;
    std::string lastTarget; ///< Of a part that is missing.
    Duration stragglerThreshold; ///< After which its sends counted as late.
    MemberName aggregator {}; ///< The host that was to run parts of it; empty: this one ran all.
};

/// Limits of a CallEngine.
struct CallLimits {
    ExtraAttemptLimits extraAttempts;
    Duration startupWait = std::chrono::milliseconds(250); ///< For which a call waits for the first routes; reading them takes 30 to 100 ms.
    double delegationAttemptRate = std::numeric_limits<double>::infinity(); ///< Sends a second above which fan-outs of other hosts are refused.
    Duration releaseTimeout = std::chrono::milliseconds(300); ///< A send that nobody waits for may end within it; below the half second in which targets must be freed.
};

/// \class CallEngine
/// \ingroup Serve
/// \brief All decisions about callers' requests on one host: routes, sends, repeats, answers.
/// \details Single-threaded and deterministic: events with a time in, actions out.
class CallEngine {
public:
    using Recorder = std::function<void(const CallRecord&)>;

    CallEngine(TargetPool& pool, AggregatorPool& aggregators, Metrics& metrics, CallLimits limits, Recorder recorder);

    void setRouting(RoutingTablePointer routing);
    /// Sets this host's part of the repeats that are allowed beyond the share of requests: for whole requests and for shards of a fan-out.
    void setHostFractions(double single, double fanOut) { m_extraAttemptBudgets.setHostFractions(single, fanOut); }
    const RoutingTablePointer& routing() const { return m_routing; }

    /// Begins a call; before open() it is held for a moment, as the routes of a process that starts come within that.
    void handleRequest(CallId call, std::shared_ptr<const CallerRequest> request, Instant now, CallActions& actions);
    /// The routes and the targets are known: begins what was held.
    void startServing(Instant now, CallActions& actions);
    void handleReply(AttemptNumber send, TargetReply reply, Instant now, CallActions& actions);
    /// The host that runs parts of a call has begun.
    void handleAcknowledgement(AttemptNumber send, Instant now);
    /// The caller closed its connection.
    void handleCallerDisconnected(CallId call, Instant now, CallActions& actions);
    void tick(Instant now, CallActions& actions);
    /// Answers every call with what there is.
    void handleShutdown(Instant now, CallActions& actions);
    std::optional<Instant> nextWakeup() const;
    std::size_t calls() const { return m_calls.size(); }

private:
    struct AttemptState {
        CallId call;
        std::size_t subRequest;
        TargetName target;
        ServiceName service;
        RouteName route;
        Instant sentAt;
        Duration stragglerThreshold;
        std::optional<MemberName> aggregator {}; ///< Set if another host runs parts of the call.
        bool released = false; ///< Nobody waits for its answer.
    };
    /// A call that came before the routes are known.
    struct HeldRequest {
        CallId call;
        std::shared_ptr<const CallerRequest> request;
        Instant until;
    };
    struct Call {
        std::unique_ptr<CallRun> run;
        Instant nextWakeup = Instant::max();
        MemberName aggregator {}; ///< The host that was to run parts of it.
    };
    class Environment;

    void refuseHeldRequests(Instant now, CallActions& actions);
    RouteStatistics& routeStatistics(const RouteName& name);
    /// \returns what serves the parts of \a request; nothing if it asks for shards that the route lacks
    std::vector<ServiceName> servicesOf(const CallerRequest& request, const RoutePolicy& route);
    const ShardAvailability& shardAvailability(const RoutePolicy& route, Instant now);
    /// \returns why a fan-out of another host is not run here; null if it is
    const char* delegationRefusal(const Delegation& delegation, Instant now);
    void handleDelegateReply(const AttemptState& send, AttemptNumber id, TargetReply reply, Instant now, CallActions& actions);
    void finish(CallId id, Instant now, CallActions& actions);
    void reschedule(CallId id, Call& call);
    void resumeNextWaiting(const ServiceName& service, Instant now, CallActions& actions);
    void refuse(CallId call, const CallerRequest& request, unsigned status, const char* reason, Duration retryAfter, Instant now, CallActions& actions);
    void record(const CallerRequest& request, unsigned status, const char* reason, Instant now);
    void enqueueWaiting(CallId id, const CallRun& run);

    TargetPool& m_pool;
    AggregatorPool& m_aggregators;
    Metrics& m_metrics;
    CallLimits m_limits;
    Recorder m_recorder;
    RoutingTablePointer m_routing;
    bool m_serving = false;
    std::vector<HeldRequest> m_heldRequests;
    std::unordered_map<CallId, Call> m_calls;
    std::unordered_map<AttemptNumber, AttemptState> m_attempts;
    std::map<RouteName, std::unique_ptr<RouteStatistics>> m_routeStatistics;
    ExtraAttemptBudgets m_extraAttemptBudgets;
    DecayingSum m_recentAttempts { std::chrono::seconds(1) }; ///< Sends to targets, of about the last second.
    std::map<ServiceName, std::deque<std::pair<CallId, std::size_t>>> m_waiting;
    struct Timer {
        Instant at;
        CallId call; ///< 0: a released send, or a held call if that is 0 as well.
        AttemptNumber attempt;
        bool operator>(const Timer& other) const { return at > other.at; }
    };
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
    std::uint64_t m_lastAttemptId = 0;
};

} // namespace pimentopoint
