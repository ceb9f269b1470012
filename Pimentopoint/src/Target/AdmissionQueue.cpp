#include "AdmissionQueue.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// Urgent sub-queries served in a row while ordinary ones wait.
    constexpr unsigned urgentTurns = 8;

} // namespace

void AdmissionQueue::push(Work work)
{
    line(work.context->urgency).push_back(std::move(work));
}

std::optional<Work> AdmissionQueue::pop()
{
    auto& urgent = line(Urgency::Urgent);
    auto& ordinary = line(Urgency::Ordinary);
    if (urgent.empty() && ordinary.empty())
        return std::nullopt;
    bool takeUrgent = ordinary.empty() || (!urgent.empty() && m_urgentInRow < urgentTurns);
    m_urgentInRow = takeUrgent && !ordinary.empty() ? m_urgentInRow + 1 : 0;
    auto& chosen = takeUrgent ? urgent : ordinary;
    Work work = std::move(chosen.front());
    chosen.pop_front();
    return work;
}

std::vector<Work> AdmissionQueue::removeExpired(Instant now)
{
    std::vector<Work> expired;
    for (auto& waiting : m_lines) {
        auto alive = std::stable_partition(waiting.begin(), waiting.end(), [&](const Work& work) { return work.deadline > now; });
        std::move(alive, waiting.end(), std::back_inserter(expired));
        waiting.erase(alive, waiting.end());
    }
    return expired;
}

std::vector<Work> AdmissionQueue::removeAll()
{
    std::vector<Work> all;
    for (auto& waiting : m_lines) {
        std::move(waiting.begin(), waiting.end(), std::back_inserter(all));
        waiting.clear();
    }
    return all;
}

bool AdmissionQueue::remove(const AttemptId& attempt)
{
    for (auto& waiting : m_lines) {
        auto found = std::find_if(waiting.begin(), waiting.end(), [&](const Work& work) { return work.attempt == attempt; });
        if (found == waiting.end())
            continue;
        waiting.erase(found);
        return true;
    }
    return false;
}

std::size_t AdmissionQueue::ahead(Urgency urgency) const
{
    std::size_t urgent = line(Urgency::Urgent).size();
    std::size_t ordinary = line(Urgency::Ordinary).size();
    if (urgency == Urgency::Ordinary)
        return urgent + ordinary;
    return urgent + std::min<std::size_t>(ordinary, urgent / urgentTurns);
}

} // namespace pimentopoint
