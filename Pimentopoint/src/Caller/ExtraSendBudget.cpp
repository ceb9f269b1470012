#include "ExtraSendBudget.h"

#include <algorithm>

namespace pimentopoint {

void ExtraSendBudget::earn(std::uint64_t count, Fraction share)
{
    std::lock_guard lock(m_mutex);
    m_credit = std::min(m_credit + static_cast<double>(count) * share.value(), m_maxCredit);
}

void ExtraSendBudget::setMaxCredit(double credit)
{
    std::lock_guard lock(m_mutex);
    m_maxCredit = std::max(1.0, credit);
    m_credit = std::min(m_credit, m_maxCredit);
}

bool ExtraSendBudget::spend()
{
    std::lock_guard lock(m_mutex);
    if (m_credit < 1)
        return false;
    m_credit -= 1;
    return true;
}

} // namespace pimentopoint
