#include "ExtraAttemptBudgets.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// Part of the slack that all hosts together may save up; the rest covers hosts that count each other differently.
    constexpr double savedSlack = 0.7;
    /// Repeats that a process may make at once when it starts, but for a part of its share of the slack, if that is less.
    constexpr double firstCredit = 1.5;
    constexpr double firstSlack = 0.3;

} // namespace

void ExtraAttemptBudgets::setHostFractions(double single, double fanOut)
{
    m_singleFraction = single;
    m_fanOutFraction = fanOut;
}

void ExtraAttemptBudgets::recordRequest(const ServiceName& service, bool shard, Instant now)
{
    auto [at, fresh] = m_budgets.try_emplace(service, m_limits.window);
    Budget& budget = at->second;
    double slack = m_limits.slack * (shard ? m_fanOutFraction : m_singleFraction);
    budget.recentRequests.add(1, now);
    double spare = m_limits.ratio.value() - m_limits.earnedFraction.value();
    budget.credit.setMaxCredit(spare * budget.recentRequests.value(now) + savedSlack * slack);
    if (fresh)
        budget.credit.addCredit(1, Fraction(std::min(firstCredit, firstSlack * slack)));
    budget.credit.addCredit(1, m_limits.earnedFraction);
}

bool ExtraAttemptBudgets::tryAcquire(const ServiceName& service)
{
    auto found = m_budgets.find(service);
    return found != m_budgets.end() && found->second.credit.tryAcquire();
}

} // namespace pimentopoint
