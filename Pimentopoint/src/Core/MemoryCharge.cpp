#include "MemoryCharge.h"

#include "MemoryBudget.h"

namespace pimentopoint {

MemoryCharge::MemoryCharge(MemoryBudget& budget, std::function<void()> release)
    : m_budget(budget)
    , m_release(std::move(release))
{
}

MemoryCharge::~MemoryCharge()
{
    clear();
}

bool MemoryCharge::set(std::size_t bytes)
{
    m_budget.update(*this, bytes);
    return m_bytes == bytes;
}

void MemoryCharge::clear()
{
    m_budget.setBytes(*this, 0);
}

} // namespace pimentopoint
