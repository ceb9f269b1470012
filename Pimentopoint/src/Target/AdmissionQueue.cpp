#include "AdmissionQueue.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// Maximum number of consecutive urgent sub-queries while ordinary ones wait.
    constexpr unsigned maxConsecutiveUrgent = 8;

} // namespace

void AdmissionQueue::push(PendingSubQuery subQuery)
{
    queue(subQuery.context->urgency).push_back(std::move(subQuery));
}

std::optional<PendingSubQuery> AdmissionQueue::pop()
{
    auto& urgent = queue(Urgency::Urgent);
    auto& ordinary = queue(Urgency::Ordinary);
    if (urgent.empty() && ordinary.empty())
        return std::nullopt;
    bool takeUrgent = ordinary.empty() || (!urgent.empty() && m_consecutiveUrgent < maxConsecutiveUrgent);
    m_consecutiveUrgent = takeUrgent && !ordinary.empty() ? m_consecutiveUrgent + 1 : 0;
    auto& chosen = takeUrgent ? urgent : ordinary;
    PendingSubQuery subQuery = std::move(chosen.front());
    chosen.pop_front();
    return subQuery;
}

std::vector<PendingSubQuery> AdmissionQueue::removeExpired(Instant now)
{
    std::vector<PendingSubQuery> expired;
    for (auto& waiting : m_queues) {
        auto firstExpired = std::stable_partition(waiting.begin(), waiting.end(), [&](const PendingSubQuery& subQuery) { return subQuery.deadline > now; });
        std::move(firstExpired, waiting.end(), std::back_inserter(expired));
        waiting.erase(firstExpired, waiting.end());
    }
    return expired;
}

std::vector<PendingSubQuery> AdmissionQueue::removeAll()
{
    std::vector<PendingSubQuery> all;
    for (auto& waiting : m_queues) {
        std::move(waiting.begin(), waiting.end(), std::back_inserter(all));
        waiting.clear();
    }
    return all;
}

bool AdmissionQueue::remove(const AttemptId& attempt)
{
    for (auto& waiting : m_queues) {
        auto found = std::find_if(waiting.begin(), waiting.end(), [&](const PendingSubQuery& subQuery) { return subQuery.attempt == attempt; });
        if (found == waiting.end())
            continue;
        waiting.erase(found);
        return true;
    }
    return false;
}

std::size_t AdmissionQueue::queuedAhead(Urgency urgency) const
{
    std::size_t urgent = queue(Urgency::Urgent).size();
    std::size_t ordinary = queue(Urgency::Ordinary).size();
    if (urgency == Urgency::Ordinary)
        return urgent + ordinary;
    return urgent + std::min<std::size_t>(ordinary, urgent / maxConsecutiveUrgent);
}

} // namespace pimentopoint
