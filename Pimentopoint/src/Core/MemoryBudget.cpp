#include "MemoryBudget.h"

#include "MemoryCharge.h"

#include <algorithm>

namespace pimentopoint {

void MemoryBudget::setBytes(MemoryCharge& charge, std::size_t bytes)
{
    if (!charge.m_bytes && bytes) {
        charge.m_position = m_charges.size();
        m_charges.push_back(&charge);
    } else if (charge.m_bytes && !bytes) {
        m_charges[charge.m_position] = m_charges.back();
        m_charges[charge.m_position]->m_position = charge.m_position;
        m_charges.pop_back();
    }
    m_usedBytes = m_usedBytes - charge.m_bytes + bytes;
    charge.m_bytes = bytes;
}

void MemoryBudget::update(MemoryCharge& charge, std::size_t bytes)
{
    setBytes(charge, bytes);
    while (m_usedBytes > m_limitBytes) {
        MemoryCharge& largest = **std::max_element(m_charges.begin(), m_charges.end(), [](const MemoryCharge* a, const MemoryCharge* b) { return a->m_bytes < b->m_bytes; });
        setBytes(largest, 0);
        ++m_releases;
        if (&largest != &charge)
            largest.m_release();
    }
}

} // namespace pimentopoint
