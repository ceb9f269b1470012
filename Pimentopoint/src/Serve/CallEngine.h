#pragma once

#include "../Core/Metrics.h"
#include "AggregatorPool.h"
#include "CallRun.h"
#include "DecayingSum.h"
#include "ExtraAttemptBudgets.h"
#include "RequestQuarantine.h"
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

/// Actions that the owner of a CallEngine carries out after an event.
struct CallActions {
    struct Attempt {
        AttemptNumber id;
        TargetName target;
        Endpoint endpoint;
        std::shared_ptr<const CallerRequest> request;
        Instant deadline; ///< Time until which the target may work on the request.
        bool needsHeaders = true; ///< Whether the headers of the target's reply are needed.
        std::optional<Delegation> delegation {}; ///< Set if the attempt goes to an aggregator that runs sub-requests for this host.
    };
    struct Answer {
        CallId call;
        CallerAnswer answer;
    };
    /// Check whether the target of an attempt that lost its connection still accepts connections.
    struct TargetCheck {
        AttemptNumber attempt;
        TargetName target;
        Endpoint endpoint;
    };
    std::vector<TargetCheck> targetChecks;
    std::vector<CrashReport> crashReports; ///< Crashes that other hosts are to be told of.
    std::vector<RequestFingerprint> clearedRequests; ///< Requests to which a target replied although they were suspected.
    std::vector<QuarantinedRequest> quarantined; ///< Requests that this host has quarantined.
    std::vector<Attempt> attempts;
    std::vector<AttemptNumber> aborts; ///< Attempts whose connection is to be closed.
    std::vector<Answer> answers;
};

/// Describes a finished call for the log.
struct CallRecord {
    const CallerRequest& request;
    std::string route;
    ConfigurationVersion version;
    unsigned status;
    const char* reason;
    Duration elapsed;
    unsigned missingShards;
    unsigned extraAttempts;
    std::string lastTarget; ///< Last target tried for the last sub-request that did not succeed; empty if there is none.
    Duration stragglerThreshold; ///< Time after which an attempt of the call counts as a straggler.
    MemberName aggregator {}; ///< Host to which sub-requests were delegated; empty if there is none.
    unsigned lostAttempts = 0; ///< Attempts whose connection failed before the reply was complete.
};

/// Limits of a CallEngine.
struct CallLimits {
    ExtraAttemptLimits extraAttempts;
    Duration startupWait = std::chrono::milliseconds(250); ///< Time for which a call waits for the first routes; reading them takes 30 to 100 ms.
    double delegationAttemptRate = std::numeric_limits<double>::infinity(); ///< Attempts per second above which fan-outs delegated by other hosts are refused, so that processor time remains for this host's own callers.
    Duration releaseTimeout = std::chrono::milliseconds(300); ///< Time after which an attempt whose reply is no longer needed is aborted; below 500 ms, within which targets must be freed.
};

/// \class CallEngine
/// \ingroup Serve
/// \brief Decides how one host handles callers' requests: matches routes, starts attempts, hedges and retries them, and answers.
/// \details Single-threaded and deterministic: each event comes with the current time and appends actions to a CallActions.
class CallEngine {
public:
    using Recorder = std::function<void(const CallRecord&)>;

    CallEngine(TargetPool& pool, AggregatorPool& aggregators, Metrics& metrics, CallLimits limits, Recorder recorder, RequestQuarantine quarantine);

    void setRouting(RoutingTablePointer routing);
    /// Sets this host's fraction of the extra attempts that all hosts together may make beyond the ratio.
    /// \param single the fraction for services that serve whole requests
    /// \param fanOut the fraction for services that are shards of a fan-out
    void setHostFractions(double single, double fanOut) { m_extraAttemptBudgets.setHostFractions(single, fanOut); }
    const RoutingTablePointer& routing() const { return m_routing; }

    /// \brief Starts a call for \a request.
    /// \details Before startServing() the call is held for at most CallLimits::startupWait, since a starting process usually learns
    /// its routes within that time.
    void handleRequest(CallId call, std::shared_ptr<const CallerRequest> request, Instant now, CallActions& actions);
    /// Starts the held calls; called once the routes and targets are known.
    void startServing(Instant now, CallActions& actions);
    void handleReply(AttemptNumber attempt, TargetReply reply, Instant now, CallActions& actions);
    /// Records that the aggregator has started the sub-requests of \a attempt.
    void handleAcknowledgement(AttemptNumber attempt, Instant now);
    /// Handles the result of a CallActions::TargetCheck.
    void handleTargetCheck(AttemptNumber attempt, bool accepted, Instant now, CallActions& actions);
    RequestQuarantine& quarantine() { return m_quarantine; }
    void handleCallerDisconnected(CallId call, Instant now, CallActions& actions);
    void tick(Instant now, CallActions& actions);
    /// Calls that may not be answered by \a answersUntil are refused from now on, since the process is stopping.
    void beginStop(Instant answersUntil) { m_answersUntil = answersUntil; }
    /// Answers every call with the results received so far, since the process is stopping.
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
        std::shared_ptr<const CallRun> run {};
        Endpoint endpoint {};
        std::optional<MemberName> aggregator {}; ///< Set if the attempt is a delegation to another host.
        bool released = false; ///< The reply to the attempt is no longer needed.
    };
    /// A request that arrived before the routes are known.
    struct HeldRequest {
        CallId call;
        std::shared_ptr<const CallerRequest> request;
        Instant until;
    };
    struct Call {
        std::shared_ptr<CallRun> run;
        Instant nextWakeup = Instant::max();
        MemberName aggregator {}; ///< Host to which sub-requests were delegated; empty if there is none.
    };
    class Environment;

    void refuseHeldRequests(Instant now, CallActions& actions);
    RouteStatistics& routeStatistics(const RouteName& name);
    /// \returns the service of each sub-request of \a request; empty if it names shards that the route does not have
    std::vector<ServiceName> servicesOf(const CallerRequest& request, const RoutePolicy& route);
    const ShardAvailability& shardAvailability(const RoutePolicy& route, Instant now);
    /// \returns why a fan-out delegated by another host is refused; null if it is accepted
    const char* delegationRefusal(const Delegation& delegation, Instant now);
    /// Requests a check of the target of an attempt that lost its connection.
    void startTargetCheck(const AttemptState& attempt, AttemptNumber id, Instant now, CallActions& actions);
    /// \returns the time for which \a request stays quarantined; nothing if it is not
    std::optional<Duration> quarantineOf(const CallerRequest& request, Instant now) const;
    void handleDelegateReply(const AttemptState& attempt, AttemptNumber id, TargetReply reply, Instant now, CallActions& actions);
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
    std::optional<Instant> m_answersUntil; ///< Set while the process is stopping.
    std::vector<HeldRequest> m_heldRequests;
    std::unordered_map<CallId, Call> m_calls;
    std::unordered_map<AttemptNumber, AttemptState> m_attempts;
    std::map<RouteName, std::unique_ptr<RouteStatistics>> m_routeStatistics;
    ExtraAttemptBudgets m_extraAttemptBudgets;
    RequestQuarantine m_quarantine;
    /// A check without a result.
    struct TargetCheck {
        RequestCrash crash; ///< The crash that a failed check confirms.
        std::shared_ptr<const CallRun> run;
    };
    std::map<AttemptNumber, TargetCheck> m_targetChecks;
    DecayingSum m_recentAttempts { std::chrono::seconds(1) }; ///< Attempts started within about the last second.
    std::map<ServiceName, std::deque<std::pair<CallId, std::size_t>>> m_waiting;
    struct Timer {
        Instant at;
        CallId call; ///< 0: the timer belongs to the released attempt \c attempt, or to the held requests if that is 0 too.
        AttemptNumber attempt;
        bool operator>(const Timer& other) const { return at > other.at; }
    };
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
    std::uint64_t m_lastAttemptId = 0;
};

} // namespace pimentopoint
