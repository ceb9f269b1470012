#include "ExtraAttemptBudgets.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// Fraction of the slack that all hosts together may accumulate; the rest covers hosts that disagree on the number of hosts.
    constexpr double accumulatedSlackFraction = 0.7;
    /// Credit with which a service starts, so that extra attempts are possible from its first request on; the fraction
    /// \c initialSlackFraction of this host's slack if that is less.
    constexpr double initialCredit = 1.5;
    constexpr double initialSlackFraction = 0.3;

} // namespace

void ExtraAttemptBudgets::setHostFractions(double single, double fanOut)
{
    m_singleFraction = single;
    m_fanOutFraction = fanOut;
}

void ExtraAttemptBudgets::recordRequest(const ServiceName& service, bool shard, Instant now)
{
    auto [at, added] = m_budgets.try_emplace(service, m_limits.window);
    Budget& budget = at->second;
    double slack = m_limits.slack * (shard ? m_fanOutFraction : m_singleFraction);
    budget.recentRequests.add(1, now);
    double accumulatedFraction = m_limits.ratio.value() - m_limits.earnedFraction.value();
    budget.credit.setMaxCredit(accumulatedFraction * budget.recentRequests.value(now) + accumulatedSlackFraction * slack);
    if (added)
        budget.credit.addCredit(1, Fraction(std::min(initialCredit, initialSlackFraction * slack)));
    budget.credit.addCredit(1, m_limits.earnedFraction);
}

bool ExtraAttemptBudgets::tryAcquire(const ServiceName& service, bool inDebt)
{
    auto found = m_budgets.find(service);
    return found != m_budgets.end() && found->second.credit.tryAcquire(inDebt ? 1 : 0);
}

} // namespace pimentopoint
