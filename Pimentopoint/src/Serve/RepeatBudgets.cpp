#include "RepeatBudgets.h"

#include <algorithm>
#include <cmath>

namespace pimentopoint {

namespace {

    /// Part of the slack that all hosts together may save up; the rest covers hosts that count each other differently.
    constexpr double savedSlack = 0.7;
    /// Repeats that a process may make at once when it starts, but for a part of its share of the slack, if that is less.
    constexpr double firstCredit = 1.5;
    constexpr double firstSlack = 0.3;

} // namespace

void RepeatBudgets::setShares(double single, double fanOut)
{
    m_singleShare = single;
    m_fanOutShare = fanOut;
}

void RepeatBudgets::earn(const ServiceName& service, bool shard, Instant now)
{
    auto [at, fresh] = m_budgets.try_emplace(service);
    Budget& budget = at->second;
    double slack = m_limits.slack * (shard ? m_fanOutShare : m_singleShare);
    double passed = std::chrono::duration<double>(now - budget.earnedAt) / std::chrono::duration<double>(m_limits.window);
    budget.recentCalls = budget.recentCalls * std::exp(-passed) + 1;
    budget.earnedAt = now;
    double spare = m_limits.ratio.value() - m_limits.share.value();
    budget.credit.setMaxCredit(spare * budget.recentCalls + savedSlack * slack);
    if (fresh)
        budget.credit.earn(1, Fraction(std::min(firstCredit, firstSlack * slack)));
    budget.credit.earn(1, m_limits.share);
}

} // namespace pimentopoint
