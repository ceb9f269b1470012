#pragma once

#include "RoutingTable.h"
#include "TargetPool.h"
#include "TargetReply.h"

#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pimentopoint {

/// Operations that a CallRun requests from its owner.
struct CallEnvironment {
    virtual ~CallEnvironment() = default;
    /// Result of startAttempt().
    enum class AttemptResult : std::uint8_t {
        Started,
        Saturated, ///< Every usable target has all its connections in use.
        Limited, ///< All usable targets have stated limits that allow no request of this host now.
        NoTarget, ///< No target is usable.
        Quarantined, ///< Targets crashed while they ran the request, so none receives it.
        ExtraDenied, ///< The extra attempt exceeds the budget, or it is a hedge and no healthy target is left.
    };
    /// \brief Sends sub-request \a index to a target that has not been tried for it yet.
    /// \param extra whether the attempt is charged to the budget of extra attempts
    virtual AttemptResult startAttempt(std::size_t index, bool extra, Instant now) = 0;
    /// \brief Time until sub-request \a index can be sent, as far as limits that its targets stated decide it.
    /// \returns nothing if they do not prevent it now
    virtual std::optional<Duration> limitWait(std::size_t index, Instant now) = 0;
    /// Sub-requests that an aggregator runs for this host.
    struct DelegatedGroup {
        AttemptNumber attempt;
        std::vector<std::size_t> subRequests;
        Instant acknowledgementDeadline; ///< Time by which the aggregator has to acknowledge the sub-requests.
        bool acknowledged = false;
    };
    /// \brief Delegates some or all sub-requests to an aggregator.
    /// \returns the delegated sub-requests, or nothing if this host runs all of them
    virtual std::optional<DelegatedGroup> delegate(Instant now) = 0;
    /// \brief Gives up \a attempt, whose reply is no longer needed.
    /// \param unresponsive whether it is given up because the aggregator did not acknowledge it in time
    virtual void release(AttemptNumber attempt, bool unresponsive, Instant now) = 0;
};

/// State of one shard's request within a fan-out, or of the only request of a call that one target serves.
struct SubRequest {
    ServiceName service;
    std::vector<TargetName> triedTargets;
    std::vector<AttemptNumber> outstanding;
    unsigned attemptCount = 0; ///< Number of attempts, without those that certainly did not reach their target.
    bool waiting = false; ///< Waiting for a free connection to a target.
    bool deferred = false; ///< Not sent until a target has replied to another attempt of the call, or none is outstanding.
    bool succeeded = false;
    bool failed = false;
    bool mayHaveRun = false; ///< Whether a target may have run the request.
    Instant lastSentAt {}; ///< Time of the latest attempt.
    TargetReply reply;
};

/// \class CallRun
/// \ingroup Serve
/// \brief Runs one caller's request from its first attempt to its answer.
/// \details The call keeps the routing table it started with. A request may be sent to another target if it certainly did not run or
/// if its route is idempotent, within the route's maxAttempts and the budget of extra attempts. An aggregator may run some or all
/// sub-requests of a fan-out and returns one merged reply; if it certainly ran nothing, this host sends them itself. A fan-out is
/// answered when all shards have replied, at the objective if enough have, and at once if enough no longer can.
///
/// A request may crash the targets that run it. Until one of several shards has replied, none is hedged, and after an attempt whose
/// connection failed only one attempt at a time is made: it shows whether the request is the cause. Receives events with the time and
/// calls the environment; reads no clock.
class CallRun {
public:
    /// \param services the service of each sub-request
    /// \param stragglerThreshold time after which an attempt of this call counts as a straggler
    /// \param oneAtATime whether only one attempt at a time is made until a target replies
    CallRun(std::shared_ptr<const CallerRequest> request, RoutingTablePointer routing, const RoutePolicy& route, std::vector<ServiceName> services, Duration stragglerThreshold, bool oneAtATime, Instant now);

    void begin(CallEnvironment& environment, Instant now);
    void handleReply(CallEnvironment& environment, std::size_t index, AttemptNumber attempt, TargetReply reply, Instant now);
    /// Records that the aggregator has started the delegated sub-requests.
    void handleDelegateAcknowledgement(Instant now);
    /// Handles the end of the delegation, with or without a reply.
    void handleDelegateReply(CallEnvironment& environment, TargetReply reply, Instant now);
    /// Handles that a target of sub-request \a index has a free connection.
    void handleCapacityAvailable(CallEnvironment& environment, std::size_t index, Instant now);
    void handleTimer(CallEnvironment& environment, Instant now);
    /// Answers with the results received so far, since the process is stopping.
    void handleShutdown(CallEnvironment& environment, Instant now);

    bool finished() const { return m_finished; }
    CallerAnswer takeAnswer() { return std::move(m_answer); }
    Instant nextWakeup() const;
    /// \returns whether nextWakeup() may be earlier than at the last call of this function
    bool takeWakeupChanged() { return std::exchange(m_wakeupChanged, false); }
    /// \returns whether a target that ran the request replied to it
    bool anyReplied() const { return m_anyReplied; }
    /// \returns whether only one attempt at a time is made, to find out whether the request crashes targets
    bool probing() const { return m_oneAtATime && !m_anyReplied; }
    Duration stragglerThreshold() const { return m_stragglerThreshold; }
    Instant deadline() const { return m_deadline; }
    const CallerRequest& request() const { return *m_request; }
    const std::shared_ptr<const CallerRequest>& requestPointer() const { return m_request; }
    const RoutePolicy& route() const { return *m_route; }
    const RoutingTable& routing() const { return *m_routing; }
    SubRequest& subRequest(std::size_t index) { return m_subRequests[index]; }
    const std::vector<SubRequest>& subRequests() const { return m_subRequests; }
    /// \returns the sub-requests that an aggregator is running, if any
    const std::optional<CallEnvironment::DelegatedGroup>& delegated() const { return m_delegated; }
    unsigned extraAttempts() const { return m_extraAttempts; }
    /// \returns the number of attempts whose connection failed before the reply was complete
    unsigned lostAttempts() const { return m_lostAttempts; }

private:
    void failDelegated();
    /// Refuses the call if limits that targets stated prevent so many of its sub-requests that the others would not suffice.
    void refuseIfLimited(CallEnvironment& environment, Instant now);
    void tryAttempt(CallEnvironment& environment, std::size_t index, bool extra, Instant now);
    void retry(CallEnvironment& environment, std::size_t index, Instant now);
    void fail(SubRequest& subRequest);
    /// Sends or defers sub-request \a index, whose attempt count allows another attempt.
    void sendOrDefer(CallEnvironment& environment, std::size_t index, Instant now);
    /// Sends deferred sub-requests: all if a target has replied, otherwise one if none is outstanding.
    void resumeDeferred(CallEnvironment& environment, Instant now);
    void hedge(CallEnvironment& environment, Instant now);
    bool mayHedge(const SubRequest& subRequest) const;
    bool hasAttemptsLeft(const SubRequest& subRequest) const { return subRequest.attemptCount < m_route->maxAttempts; }
    bool coverageSuffices(std::size_t answered) const;
    void finishIfDone(CallEnvironment& environment, Instant now);
    void finish(CallEnvironment& environment, Instant now);
    void answerSingle();
    void answerFanOut();
    void answerFailure(const char* reason);
    /// \returns when a fan-out with enough shards, but not all, is answered
    Instant partialAnswerAt() const;
    /// \returns when the delegation is given up
    Instant delegateDeadline() const;
    /// \returns when a sub-request that waits for a connection is given up
    Instant waitDeadline() const;

    std::shared_ptr<const CallerRequest> m_request;
    RoutingTablePointer m_routing;
    const RoutePolicy* m_route; ///< Points into \c m_routing.
    std::vector<SubRequest> m_subRequests;
    Instant m_startedAt;
    Instant m_deadline;
    Duration m_stragglerThreshold;
    bool m_wakeupChanged = true;
    std::size_t m_succeededCount = 0;
    std::size_t m_failedCount = 0;
    unsigned m_extraAttempts = 0;
    unsigned m_lostAttempts = 0;
    std::optional<CallEnvironment::DelegatedGroup> m_delegated;
    TargetReply m_delegateReply; ///< Reply of the aggregator.
    Duration m_retryDelay; ///< Time after which the caller may try again if the call is refused.
    const char* m_abortReason = nullptr; ///< Why the call ended before its sub-requests did; null if it did not.
    bool m_oneAtATime; ///< Whether only one attempt at a time is made until a target replies.
    bool m_anyReplied = false; ///< Whether a target that ran the request replied to it.
    bool m_quarantined = false; ///< Whether the call ended because its request is quarantined.
    bool m_finished = false;
    CallerAnswer m_answer;
};

} // namespace pimentopoint
