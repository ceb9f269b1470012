/// \file
/// Measurements shared by the benches: heap usage, processor time, and linear fits.
#pragma once

#include <chrono>
#include <cmath>
#include <cstdint>
#include <cstdio>
#include <ctime>
#include <string>
#include <vector>

namespace pimentopoint::bench {

/// Bytes on the heap and number of allocations so far; HeapCount.cpp defines heapUsage().
struct HeapUsage {
    std::int64_t bytes = 0;
    std::int64_t allocations = 0;
};
HeapUsage heapUsage();

/// \returns the processor time of the calling thread in seconds
inline double threadCpuSeconds()
{
    timespec time {};
    clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
    return static_cast<double>(time.tv_sec) + static_cast<double>(time.tv_nsec) * 1e-9;
}

/// \class LinearFit
/// \brief Least-squares line \f$ y = a + b x \f$ through points.
class LinearFit {
public:
    void add(double x, double y)
    {
        m_x.push_back(x);
        m_y.push_back(y);
    }
    double slope() const
    {
        double meanX = mean(m_x);
        double meanY = mean(m_y);
        double covariance = 0;
        double variance = 0;
        for (std::size_t i = 0; i < m_x.size(); ++i) {
            covariance += (m_x[i] - meanX) * (m_y[i] - meanY);
            variance += (m_x[i] - meanX) * (m_x[i] - meanX);
        }
        return variance > 0 ? covariance / variance : 0;
    }
    double intercept() const { return mean(m_y) - slope() * mean(m_x); }
    double at(double x) const { return intercept() + slope() * x; }
    /// \returns the largest deviation from the line as a fraction of the largest y
    double residual() const
    {
        double worst = 0;
        double largest = 1e-12;
        for (std::size_t i = 0; i < m_x.size(); ++i) {
            worst = std::max(worst, std::fabs(m_y[i] - at(m_x[i])));
            largest = std::max(largest, std::fabs(m_y[i]));
        }
        return worst / largest;
    }

private:
    static double mean(const std::vector<double>& values)
    {
        double sum = 0;
        for (double value : values)
            sum += value;
        return sum / static_cast<double>(values.size());
    }

    std::vector<double> m_x;
    std::vector<double> m_y;
};

/// \returns \a value with \a digits decimals
inline std::string formatNumber(double value, int digits = 1)
{
    char buffer[64];
    std::snprintf(buffer, sizeof buffer, "%.*f", digits, value);
    return buffer;
}

} // namespace pimentopoint::bench
