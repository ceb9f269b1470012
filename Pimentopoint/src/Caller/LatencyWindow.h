#pragma once

#include "../Core/Clock.h"

#include <array>
#include <cstddef>
#include <mutex>

namespace pimentopoint {

/// \class LatencyWindow
/// \ingroup Caller
/// \brief Keeps the latest sub-query latencies and a quantile of them.
class LatencyWindow {
public:
    /// \param quantile the quantile to compute, 0 to 1
    explicit LatencyWindow(double quantile)
        : m_quantile(quantile)
    {
    }

    void add(Duration latency);
    /// \returns the quantile, or \a fallback until enough latencies have been added
    Duration quantile(Duration fallback) const;

private:
    static constexpr std::size_t capacity = 1024;
    /// Latencies required before the first quantile is computed, and between two computations.
    static constexpr std::size_t minCount = 64;

    void recompute();

    mutable std::mutex m_mutex;
    double m_quantile;
    std::array<Duration, capacity> m_latencies {};
    std::size_t m_count = 0;
    Duration m_quantileValue { 0 };
};

} // namespace pimentopoint
