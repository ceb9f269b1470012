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

/// What the sub-queries of one batch have in common.
struct SubQueryContext {
    SnapshotVersion snapshot;
    Urgency urgency = Urgency::Ordinary;
    bool idempotent = true;
    std::string text;
};

/// A sub-query at the gateway.
struct PendingSubQuery {
    AttemptId attempt;
    TargetId target;
    KeyRange range;
    Instant deadline;
    std::shared_ptr<const SubQueryContext> context;
};

/// \class AdmissionQueue
/// \ingroup Target
/// \brief Sub-queries that wait for one target: urgent ones first, with a fixed part of the turns for ordinary ones.
class AdmissionQueue {
public:
    void push(PendingSubQuery work);
    /// \returns the sub-query whose turn it is, or nothing if none waits
    std::optional<PendingSubQuery> pop();
    /// Removes and returns those whose deadline is at or before \a now.
    std::vector<PendingSubQuery> removeExpired(Instant now);
    /// Removes all and returns them.
    std::vector<PendingSubQuery> removeAll();
    /// Removes \a attempt; \returns whether it was waiting
    bool remove(const AttemptId& attempt);

    bool hasUrgent() const { return !line(Urgency::Urgent).empty(); }
    std::size_t size() const { return m_queues[0].size() + m_queues[1].size(); }
    /// \returns how many would be served before a new one of \a urgency
    std::size_t queuedAhead(Urgency urgency) const;

private:
    std::deque<PendingSubQuery>& queue(Urgency urgency) { return m_queues[static_cast<std::size_t>(urgency)]; }
    const std::deque<PendingSubQuery>& line(Urgency urgency) const { return m_queues[static_cast<std::size_t>(urgency)]; }

    std::array<std::deque<PendingSubQuery>, 2> m_queues;
    unsigned m_consecutiveUrgent = 0;
};

} // namespace pimentopoint
