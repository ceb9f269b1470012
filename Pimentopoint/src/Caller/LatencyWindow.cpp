#include "LatencyWindow.h"

#include <algorithm>

namespace pimentopoint {

void LatencyWindow::add(Duration latency)
{
    std::lock_guard lock(m_mutex);
    m_latencies[m_count++ % capacity] = latency;
    if (m_count % minCount == 0)
        recompute();
}

void LatencyWindow::recompute()
{
    std::array<Duration, capacity> sorted = m_latencies;
    std::size_t size = std::min(m_count, capacity);
    auto rank = static_cast<std::ptrdiff_t>(m_quantile * static_cast<double>(size - 1));
    std::nth_element(sorted.begin(), sorted.begin() + rank, sorted.begin() + static_cast<std::ptrdiff_t>(size));
    m_quantileValue = sorted[static_cast<std::size_t>(rank)];
}

Duration LatencyWindow::quantile(Duration fallback) const
{
    std::lock_guard lock(m_mutex);
    return m_count < minCount ? fallback : m_quantileValue;
}

} // namespace pimentopoint
