#pragma once

#include "../Core/Metrics.h"
#include "AggregatorPool.h"
#include "CallRun.h"
#include "DecayingSum.h"
#include "RepeatBudgets.h"
#include "RouteMemory.h"

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
    struct Send {
        SendId send;
        TargetName target;
        Endpoint endpoint;
        std::shared_ptr<const CallerRequest> request;
        Instant deadline; ///< Until which the target may work.
        bool wantsHeaders = true; ///< Whether the answer's headers are needed.
        std::optional<Delegation> delegation {}; ///< Set if the target is a host that runs parts of the call for this one.
    };
    struct Answer {
        CallId call;
        CallerAnswer answer;
    };
    std::vector<Send> sends;
    std::vector<SendId> aborts; ///< Sends whose connection is to be closed.
    std::vector<Answer> answers;
};

/// One line about a finished call, for the log.
struct CallRecord {
    const CallerRequest& request;
    std::string route;
    ConfigurationVersion version;
    unsigned status;
    const char* reason;
    Duration taken;
    unsigned missingParts;
    unsigned extraSends;
    std::string lastTarget; ///< Of a part that is missing.
    Duration lateAfter; ///< After which its sends counted as late.
    MemberName aggregator {}; ///< The host that was to run parts of it; empty: this one ran all.
};

/// Limits of a CallEngine.
struct CallLimits {
    RepeatLimits repeats;
    Duration startHold = std::chrono::milliseconds(250); ///< For which a call waits for the first routes; reading them takes 30 to 100 ms.
    double delegatedSends = std::numeric_limits<double>::infinity(); ///< Sends a second above which fan-outs of other hosts are refused.
    Duration releaseTime = std::chrono::milliseconds(300); ///< A send that nobody waits for may end within it; below the half second in which targets must be freed.
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
    void setShares(double single, double fanOut) { m_repeats.setShares(single, fanOut); }
    const RoutingTablePointer& routing() const { return m_routing; }

    /// Begins a call; before open() it is held for a moment, as the routes of a process that starts come within that.
    void begin(CallId call, std::shared_ptr<const CallerRequest> request, Instant now, CallActions& actions);
    /// The routes and the targets are known: begins what was held.
    void open(Instant now, CallActions& actions);
    void ended(SendId send, TargetReply reply, Instant now, CallActions& actions);
    /// The host that runs parts of a call has begun.
    void acknowledged(SendId send, Instant now);
    /// The caller closed its connection.
    void callerLeft(CallId call, Instant now, CallActions& actions);
    void tick(Instant now, CallActions& actions);
    /// Answers every call with what there is.
    void expireAll(Instant now, CallActions& actions);
    std::optional<Instant> nextWake() const;
    std::size_t calls() const { return m_calls.size(); }

private:
    struct SendState {
        CallId call;
        std::size_t part;
        TargetName target;
        ServiceName service;
        RouteName route;
        Instant sentAt;
        Duration late;
        std::optional<MemberName> aggregator {}; ///< Set if another host runs parts of the call.
        bool released = false; ///< Nobody waits for its answer.
    };
    /// A call that came before the routes are known.
    struct Held {
        CallId call;
        std::shared_ptr<const CallerRequest> request;
        Instant until;
    };
    struct Call {
        std::unique_ptr<CallRun> run;
        Instant wake = Instant::max();
        MemberName aggregator {}; ///< The host that was to run parts of it.
    };
    class Environment;

    void refuseHeld(Instant now, CallActions& actions);
    RouteMemory& memory(const RouteName& name);
    /// \returns what serves the parts of \a request; nothing if it asks for shards that the route lacks
    std::vector<ServiceName> servicesOf(const CallerRequest& request, const RoutePolicy& route);
    const ShardReach& reach(const RoutePolicy& route, Instant now);
    /// \returns why a fan-out of another host is not run here; null if it is
    const char* delegationRefusal(const Delegation& delegation, Instant now);
    void delegateEnded(const SendState& send, SendId id, TargetReply reply, Instant now, CallActions& actions);
    void finish(CallId id, Instant now, CallActions& actions);
    void reschedule(CallId id, Call& call);
    void resumeWaiting(const ServiceName& service, Instant now, CallActions& actions);
    void refuse(CallId call, const CallerRequest& request, unsigned status, const char* reason, Duration retryAfter, Instant now, CallActions& actions);
    void record(const CallerRequest& request, unsigned status, const char* reason, Instant now);
    void noteWaiting(CallId id, const CallRun& run);

    TargetPool& m_pool;
    AggregatorPool& m_aggregators;
    Metrics& m_metrics;
    CallLimits m_limits;
    Recorder m_recorder;
    RoutingTablePointer m_routing;
    bool m_open = false;
    std::vector<Held> m_held;
    std::unordered_map<CallId, Call> m_calls;
    std::unordered_map<SendId, SendState> m_sends;
    std::map<RouteName, std::unique_ptr<RouteMemory>> m_routes;
    RepeatBudgets m_repeats;
    DecayingSum m_load { std::chrono::seconds(1) }; ///< Sends to targets, of about the last second.
    std::map<ServiceName, std::deque<std::pair<CallId, std::size_t>>> m_waiting;
    struct Timer {
        Instant at;
        CallId call; ///< 0: a released send, or a held call if that is 0 as well.
        SendId send;
        bool operator>(const Timer& other) const { return at > other.at; }
    };
    std::priority_queue<Timer, std::vector<Timer>, std::greater<>> m_timers;
    std::uint64_t m_lastSend = 0;
};

} // namespace pimentopoint
