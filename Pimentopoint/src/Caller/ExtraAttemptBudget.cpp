#include "ExtraAttemptBudget.h"

#include <algorithm>

namespace pimentopoint {

void ExtraAttemptBudget::addCredit(std::uint64_t count, Fraction fraction)
{
    std::lock_guard lock(m_mutex);
    m_credit = std::min(m_credit + static_cast<double>(count) * fraction.value(), m_maxCredit);
}

void ExtraAttemptBudget::setMaxCredit(double credit)
{
    std::lock_guard lock(m_mutex);
    m_maxCredit = std::max(1.0, credit);
    m_credit = std::min(m_credit, m_maxCredit);
}

bool ExtraAttemptBudget::tryAcquire(double maxDebt)
{
    std::lock_guard lock(m_mutex);
    if (m_credit < 1 - maxDebt)
        return false;
    m_credit -= 1;
    return true;
}

} // namespace pimentopoint
