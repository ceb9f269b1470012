#include "ExtraSendBudget.h"

#include <algorithm>

namespace pimentopoint {

void ExtraSendBudget::earn(std::uint64_t count, Fraction share)
{
    std::lock_guard lock(m_mutex);
    m_credit = std::min(m_credit + static_cast<double>(count) * share.value(), maxCredit);
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
