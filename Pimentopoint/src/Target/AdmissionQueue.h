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
    bool repeatable = true;
    std::string text;
};

/// A sub-query at the gateway.
struct Work {
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
    void push(Work work);
    /// \returns the sub-query whose turn it is, or nothing if none waits
    std::optional<Work> pop();
    /// Removes and returns those whose deadline is at or before \a now.
    std::vector<Work> removeExpired(Instant now);
    /// Removes all and returns them.
    std::vector<Work> removeAll();
    /// Removes \a attempt; \returns whether it was waiting
    bool remove(const AttemptId& attempt);

    bool urgentWaits() const { return !line(Urgency::Urgent).empty(); }
    std::size_t size() const { return m_lines[0].size() + m_lines[1].size(); }
    /// \returns how many would be served before a new one of \a urgency
    std::size_t ahead(Urgency urgency) const;

private:
    std::deque<Work>& line(Urgency urgency) { return m_lines[static_cast<std::size_t>(urgency)]; }
    const std::deque<Work>& line(Urgency urgency) const { return m_lines[static_cast<std::size_t>(urgency)]; }

    std::array<std::deque<Work>, 2> m_lines;
    unsigned m_urgentInRow = 0;
};

} // namespace pimentopoint
