#include "RouteStatistics.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// Quantile of the latencies used as straggler threshold; hedges of the slowest 8 % fit the budget of extra attempts and leave some of it for retries.
    constexpr double stragglerQuantile = 0.92;
    /// Bounds on the straggler threshold as fractions of the objective; the lower bound also covers a busy network.
    constexpr double minThresholdFraction = 0.12;
    constexpr double maxThresholdFraction = 0.5;
    /// Expected latency before the first reply, as a fraction of the objective.
    constexpr double initialLatencyFraction = 0.15;
    /// Weight of the latest reply in the mean latency.
    constexpr double meanSmoothingFactor = 0.02;

} // namespace

RouteStatistics::RouteStatistics()
    : m_latencies(stragglerQuantile)
{
}

Duration RouteStatistics::stragglerThreshold(const RoutePolicy& route) const
{
    Duration threshold = m_latencies.quantile(scaled(route.objective, 2 * initialLatencyFraction));
    return std::clamp(threshold, scaled(route.objective, minThresholdFraction), scaled(route.objective, maxThresholdFraction));
}

Duration RouteStatistics::expectedLatency(const RoutePolicy& route) const
{
    if (m_meanMicroseconds <= 0)
        return scaled(route.objective, initialLatencyFraction);
    return Duration(static_cast<Duration::rep>(m_meanMicroseconds));
}

void RouteStatistics::recordLatency(Duration latency, Duration stragglerThreshold)
{
    m_latencies.add(latency);
    auto micros = static_cast<double>(std::min(latency, 2 * stragglerThreshold).count());
    m_meanMicroseconds = m_meanMicroseconds <= 0 ? micros : m_meanMicroseconds + meanSmoothingFactor * (micros - m_meanMicroseconds);
}

ServiceName RouteStatistics::nextService(const RoutePolicy& route)
{
    // Smooth weighted round-robin: each service gains its weight as credit; the one with the most credit is chosen and pays the sum of the weights.
    double sum = 0;
    const WeightedService* best = nullptr;
    for (const WeightedService& each : route.services) {
        double& credit = m_serviceCredits[each.service];
        credit += each.weight;
        sum += each.weight;
        if (!best || credit > m_serviceCredits[best->service])
            best = &each;
    }
    m_serviceCredits[best->service] -= sum;
    return best->service;
}

} // namespace pimentopoint
