#include "RepeatBudgets.h"

#include <algorithm>

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
    auto [at, fresh] = m_budgets.try_emplace(service, m_limits.window);
    Budget& budget = at->second;
    double slack = m_limits.slack * (shard ? m_fanOutShare : m_singleShare);
    budget.recentCalls.add(1, now);
    double spare = m_limits.ratio.value() - m_limits.share.value();
    budget.credit.setMaxCredit(spare * budget.recentCalls.value(now) + savedSlack * slack);
    if (fresh)
        budget.credit.earn(1, Fraction(std::min(firstCredit, firstSlack * slack)));
    budget.credit.earn(1, m_limits.share);
}

bool RepeatBudgets::spend(const ServiceName& service)
{
    auto found = m_budgets.find(service);
    return found != m_budgets.end() && found->second.credit.spend();
}

} // namespace pimentopoint
