#pragma once

#include "AdmissionControl.h"
#include "Answer.h"
#include "Coverage.h"
#include "ExtraAttemptBudget.h"
#include "LatencyWindow.h"
#include "Router.h"
#include "ShardProgress.h"

#include <functional>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace pimentopoint {

/// External objects that a QueryRun uses.
struct QueryEnvironment {
    Router& router;
    ExtraAttemptBudget& budget;
    LatencyWindow& latencies;
    std::function<PinnedDocuments()> documents; ///< \returns the active documents
};

/// Actions that the caller of a QueryRun must perform.
struct QueryActions {
    struct Attempt {
        Route route;
        SubQuery subQuery;
    };
    struct Cancel {
        Endpoint endpoint;
        std::uint64_t attempt;
    };
    std::vector<Attempt> attempts;
    std::vector<Cancel> cancels;
    /// Whether the answer is ready.
    bool finished = false;
};

/// \class QueryRun
/// \ingroup Caller
/// \brief Runs one query from its plan to its answer.
/// \details Pins one configuration and one snapshot before the first attempt. A reply counts only if it comes from the pinned
/// snapshot and its ranges lie in its shard. A sub-query is sent again only if it certainly did not run or if the query is
/// idempotent. Hedges, and immediate retries after an attempt that reached a target, are charged to the budget; delayed retries
/// of refused sub-queries are not. The functions take events and return actions; the class holds no lock and reads no clock.
class QueryRun {
public:
    /// \param searchFront name of a search front in \a documents
    /// \param firstAttempt number of the first attempt; the others follow consecutively
    QueryRun(QueryEnvironment environment, PinnedDocuments documents, const SearchFrontName& searchFront, std::uint64_t firstAttempt,
        Instant start, Instant deadline);

    QueryActions begin(Instant now);
    QueryActions handleReply(const SubReply& reply, Instant now);
    /// Handles that the frame with tag \a tag was not sent; the attempts bound to it did not run.
    QueryActions handleUnsent(std::uint64_t tag, Instant now);
    /// Handles the loss of a connection; the attempts bound to it may have run.
    QueryActions handleConnectionLost(std::uint64_t connection, Instant now);
    QueryActions handleTimer(Instant now);
    /// Records the frame and connection that carry \a attempts.
    void bind(const std::vector<std::uint64_t>& attempts, std::uint64_t tag, std::uint64_t connection);

    bool finished() const { return m_finished; }
    /// \returns the next instant at which handleTimer() is due
    Instant nextWakeup() const;
    /// \returns the answer; valid once finished
    const Answer& answer() const { return m_answer; }
    const SearchFront& searchFront() const { return *m_searchFront; }
    SnapshotVersion snapshot() const { return m_shardGroup->snapshot(); }
    const PinnedDocuments& documents() const { return m_documents; }
    /// \returns how far the targets were congested; valid once finished
    Congestion congestion() const;
    /// \returns the instant until which replies are awaited
    Instant replyDeadline() const { return m_replyDeadline; }

private:
    using ShardProgress = internal::ShardProgress;
    struct Attempt {
        std::size_t shard;
        Route route;
        Instant sentAt;
        std::uint64_t tag = 0;
        std::uint64_t connection = 0;
    };

    enum class AttemptKind {
        First,
        Hedge,
        Retry,
        Reroute, ///< Another attempt, on another route or after a delay, for a sub-query that ran on no target; not charged to the budget.
    };

    void plan();
    bool startAttempt(std::size_t shard, AttemptKind kind, Instant now, QueryActions& actions);
    void acceptReply(ShardProgress& progress, const SubReply& reply, Instant now);
    void handleFailure(std::size_t shard, const Attempt& attempt, const SubReply& reply, Instant now, QueryActions& actions);
    void resend(std::size_t shard, const SubReply& reply, Instant now, QueryActions& actions);
    void scheduleRetry(ShardProgress& progress, Instant now);
    bool replan(Instant now, QueryActions& actions);
    void cancelOutstanding(std::size_t shard, QueryActions& actions);
    bool mayHedge(const ShardProgress& progress) const;
    Instant nextHedgeAt(const ShardProgress& progress) const { return progress.lastAttemptAt + m_hedgeDelay * (1U << progress.hedgeBackoffSteps); }
    void startDueHedges(Instant now, QueryActions& actions);
    void startDueRetries(Instant now, QueryActions& actions);
    void finishIfDone(Instant now, QueryActions& actions);
    void finish(QueryActions& actions);
    Fraction coveredFraction() const;
    bool allShardsEnded() const;
    Instant partialAnswerAt() const;
    QueryActions failAttempts(const std::function<bool(const Attempt&)>& selected, const SubReply& reply, Instant now);

    QueryEnvironment m_environment;
    PinnedDocuments m_documents;
    SearchFrontName m_searchFrontName;
    const SearchFront* m_searchFront = nullptr;
    const ShardGroup* m_shardGroup = nullptr;
    std::uint64_t m_nextAttempt;
    Instant m_start;
    Instant m_deadline;
    Instant m_replyDeadline;
    Duration m_hedgeDelay { 0 };
    std::vector<ShardProgress> m_shards;
    std::unordered_map<std::uint64_t, Attempt> m_attempts;
    std::uint64_t m_coveredKeys = 0;
    std::size_t m_doneShards = 0;
    std::optional<Instant> m_halfDoneAt; ///< When half of the shards were complete.
    bool m_replanned = false;
    bool m_mayHaveRun = false; ///< Whether attempts of an abandoned plan may have run.
    bool m_finished = false;
    Answer m_answer;
};

} // namespace pimentopoint
