#pragma once

#include "../Core/AttemptId.h"
#include "../Core/Clock.h"
#include "../Operator/SearchFront.h"
#include "../Peer/Messages.h"

#include <array>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace pimentopoint {

/// Fields shared by the sub-queries of one batch.
struct SubQueryContext {
    SnapshotVersion snapshot;
    Urgency urgency = Urgency::Ordinary;
    bool idempotent = true;
    std::string text;
};

/// A sub-query that the gateway received and has not replied to yet.
struct PendingSubQuery {
    AttemptId attempt;
    TargetId target;
    KeyRange range;
    Instant deadline;
    std::shared_ptr<const SubQueryContext> context;
};

/// \class AdmissionQueue
/// \ingroup Target
/// \brief Queue of sub-queries for one target: serves urgent ones first and a fixed fraction of ordinary ones in between.
class AdmissionQueue {
public:
    void push(PendingSubQuery subQuery);
    /// \returns the next sub-query to serve, or nothing if the queue is empty
    std::optional<PendingSubQuery> pop();
    /// Removes and returns the sub-queries whose deadline is at or before \a now.
    std::vector<PendingSubQuery> removeExpired(Instant now);
    /// Removes and returns all sub-queries.
    std::vector<PendingSubQuery> removeAll();
    /// Removes \a attempt; \returns whether it was queued
    bool remove(const AttemptId& attempt);

    bool hasUrgent() const { return !queue(Urgency::Urgent).empty(); }
    std::size_t size() const { return m_queues[0].size() + m_queues[1].size(); }
    /// \returns how many sub-queries would be served before a new one of \a urgency
    std::size_t queuedAhead(Urgency urgency) const;

private:
    std::deque<PendingSubQuery>& queue(Urgency urgency) { return m_queues[static_cast<std::size_t>(urgency)]; }
    const std::deque<PendingSubQuery>& queue(Urgency urgency) const { return m_queues[static_cast<std::size_t>(urgency)]; }

    std::array<std::deque<PendingSubQuery>, 2> m_queues;
    unsigned m_consecutiveUrgent = 0;
};

} // namespace pimentopoint
