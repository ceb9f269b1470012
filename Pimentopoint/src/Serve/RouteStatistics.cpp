#include "RouteStatistics.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// A send that takes longer than this share of all does is late; the rest fits the budget of repeats with room for retries.
    constexpr double lateQuantile = 0.92;
    /// Bounds on the time after which a send is late, as parts of the objective; the lower one also covers a busy network.
    constexpr double earliestLate = 0.12;
    constexpr double latestLate = 0.5;
    /// Expected time before the first reply, as a part of the objective.
    constexpr double firstGuess = 0.15;
    constexpr double meanRate = 0.02;

} // namespace

RouteStatistics::RouteStatistics()
    : m_latencies(lateQuantile)
{
}

Duration RouteStatistics::stragglerThreshold(const RoutePolicy& route) const
{
    Duration late = m_latencies.quantile(scaled(route.objective, 2 * firstGuess));
    return std::clamp(late, scaled(route.objective, earliestLate), scaled(route.objective, latestLate));
}

Duration RouteStatistics::expectedLatency(const RoutePolicy& route) const
{
    if (m_meanMicroseconds <= 0)
        return scaled(route.objective, firstGuess);
    return Duration(static_cast<Duration::rep>(m_meanMicroseconds));
}

void RouteStatistics::recordLatency(Duration taken, Duration late)
{
    m_latencies.add(taken);
    auto micros = static_cast<double>(std::min(taken, 2 * late).count());
    m_meanMicroseconds = m_meanMicroseconds <= 0 ? micros : m_meanMicroseconds + meanRate * (micros - m_meanMicroseconds);
}

ServiceName RouteStatistics::nextService(const RoutePolicy& route)
{
    // Smooth weighted turns: each service gains its weight, the one with most is taken and pays the sum.
    double sum = 0;
    const WeightedService* best = nullptr;
    for (const WeightedService& each : route.services) {
        double& turn = m_serviceCredits[each.service];
        turn += each.weight;
        sum += each.weight;
        if (!best || turn > m_serviceCredits[best->service])
            best = &each;
    }
    m_serviceCredits[best->service] -= sum;
    return best->service;
}

} // namespace pimentopoint
