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

/// What a CallRun needs of its surroundings.
struct CallEnvironment {
    virtual ~CallEnvironment() = default;
    /// Why a send did not take place.
    enum class AttemptResult : std::uint8_t {
        Started, ///< It did.
        Saturated, ///< Every target has all connections at work.
        NoTarget, ///< No target may be sent to.
        BudgetExhausted, ///< Repeats have used up what is allowed.
    };
    /// \brief Sends the call to a target of part \a part that is not in its list of tried ones.
    /// \param extra whether the send draws on the budget of repeats
    virtual AttemptResult startAttempt(std::size_t part, bool extra, Instant now) = 0;
    /// Parts that another host runs for this one.
    struct DelegatedGroup {
        AttemptNumber attempt;
        std::vector<std::size_t> subRequests;
        Instant acknowledgementDeadline; ///< Until which the host has to begin.
        bool acknowledged = false;
    };
    /// \brief Sends some or all parts to a host that runs them for this one.
    /// \returns nothing if this host is to run all of them
    virtual std::optional<DelegatedGroup> delegate(Instant now) = 0;
    /// No answer of \a send is needed any more; with \a silent, because the host it went to did not begin.
    virtual void release(AttemptNumber send, bool silent, Instant now) = 0;
};

/// A part of a call: one shard of a fan-out, or all of a call that one target serves.
struct SubRequest {
    ServiceName service;
    std::vector<TargetName> triedTargets;
    std::vector<AttemptNumber> outstanding;
    unsigned attemptCount = 0; ///< Targets that were sent to, but for those that certainly got nothing.
    bool waiting = false; ///< For a connection.
    bool succeeded = false;
    bool failed = false;
    bool mayHaveRun = false;
    Instant lastSentAt {}; ///< Of the latest send.
    TargetReply reply;
};

/// \class CallRun
/// \ingroup Serve
/// \brief One caller's request from its first send to its answer.
/// \details Pins one routing table. A call is repeated at another target if it certainly did not run, or if its route allows
/// repeats; within the route's attempts and the budget. Parts of a fan-out, or all, may be run by another host, which answers for them together;
/// if it certainly ran nothing, they are sent from here. A fan-out is answered when all shards are in; at the objective, if enough
/// are in; at once, if enough can no longer come. Events in, calls to the environment out; reads no clock.
class CallRun {
public:
    /// \param services what serves the parts
    /// \param late how long a send of this call may take before it counts as late
    CallRun(std::shared_ptr<const CallerRequest> request, RoutingTablePointer routing, const RoutePolicy& route, std::vector<ServiceName> services, Duration late, Instant now);

    void begin(CallEnvironment& environment, Instant now);
    void handleReply(CallEnvironment& environment, std::size_t part, AttemptNumber send, TargetReply reply, Instant now);
    /// The host that runs parts for this one has begun.
    void handleDelegateAcknowledgement(Instant now);
    /// The host that runs parts for this one answered, or did not.
    void handleDelegateReply(CallEnvironment& environment, TargetReply reply, Instant now);
    /// A connection to a target of part \a part is free.
    void handleCapacityAvailable(CallEnvironment& environment, std::size_t part, Instant now);
    void handleTimer(CallEnvironment& environment, Instant now);
    /// The process stops: answers what can be answered now.
    void handleShutdown(CallEnvironment& environment, Instant now);

    bool finished() const { return m_finished; }
    CallerAnswer takeAnswer() { return std::move(m_answer); }
    Instant nextWakeup() const;
    /// \returns whether nextWake() may be earlier than when this was asked last
    bool takeWakeupChanged() { return std::exchange(m_wakeupChanged, false); }
    Duration stragglerThreshold() const { return m_stragglerThreshold; }
    Instant deadline() const { return m_deadline; }
    const CallerRequest& request() const { return *m_request; }
    const std::shared_ptr<const CallerRequest>& requestPointer() const { return m_request; }
    const RoutePolicy& route() const { return *m_route; }
    const RoutingTable& routing() const { return *m_routing; }
    SubRequest& subRequest(std::size_t index) { return m_subRequests[index]; }
    const std::vector<SubRequest>& subRequests() const { return m_subRequests; }
    /// \returns the parts that another host runs, if one does and has not answered
    const std::optional<CallEnvironment::DelegatedGroup>& delegated() const { return m_delegated; }
    unsigned extraAttempts() const { return m_extraAttempts; }

private:
    void failDelegated();
    void tryAttempt(CallEnvironment& environment, std::size_t part, bool extra, Instant now);
    void retry(CallEnvironment& environment, std::size_t part, Instant now);
    void fail(SubRequest& part);
    void hedge(CallEnvironment& environment, Instant now);
    bool mayHedge(const SubRequest& part) const;
    bool hasAttemptsLeft(const SubRequest& part) const { return part.attemptCount < m_route->maxAttempts; }
    bool coverageSuffices(std::size_t parts) const;
    void finishIfDone(CallEnvironment& environment, Instant now);
    void finish(CallEnvironment& environment, Instant now);
    void answerSingle();
    void answerFanOut();
    void answerFailure(const char* reason);
    /// When a fan-out with enough shards is answered.
    Instant partialAnswerAt() const;
    /// When a host that was to run parts is given up.
    Instant delegateDeadline() const;
    /// When a part that found no connection is given up.
    Instant waitDeadline() const;

    std::shared_ptr<const CallerRequest> m_request;
    RoutingTablePointer m_routing;
    const RoutePolicy* m_route; ///< In the pinned table.
    std::vector<SubRequest> m_subRequests;
    Instant m_startedAt;
    Instant m_deadline;
    Duration m_stragglerThreshold;
    bool m_wakeupChanged = true;
    std::size_t m_succeededCount = 0;
    std::size_t m_failedCount = 0;
    unsigned m_extraAttempts = 0;
    std::optional<CallEnvironment::DelegatedGroup> m_delegated;
    TargetReply m_delegateReply; ///< Of the host that ran parts.
    const char* m_abortReason = nullptr; ///< Why the call ended before its parts did; null if it did not.
    bool m_finished = false;
    CallerAnswer m_answer;
};

} // namespace pimentopoint
