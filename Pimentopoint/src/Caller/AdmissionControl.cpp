#include "AdmissionControl.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    constexpr Duration period = std::chrono::milliseconds(100);
    /// Part of the queries of a period that may be congested without a cut.
    constexpr double tolerated = 0.1;
    /// Cuts when every query waited, and when every one was refused.
    constexpr double cutWhenWaited = 0.03;
    constexpr double cutWhenRefused = 0.06;
    constexpr double rise = 1.02;
    constexpr double leastShare = 0.05;
    /// Time without a congested query after which all begin again.
    constexpr Duration calmTime = std::chrono::seconds(2);

} // namespace

bool AdmissionControl::admit(Instant now)
{
    std::lock_guard lock(m_mutex);
    if (now - m_lastCongestedAt >= calmTime)
        m_admittedFraction = 1;
    return m_admittedFraction >= 1 || m_random.chance(m_admittedFraction);
}

void AdmissionControl::recordCompletion(Congestion congestion, Instant began, Instant now)
{
    std::lock_guard lock(m_mutex);
    if (congestion != Congestion::None)
        m_lastCongestedAt = now;
    if (began < m_lastReductionAt)
        return;
    ++m_completed;
    m_delayed += congestion == Congestion::Delayed;
    m_refused += congestion == Congestion::Refused;
    if (now - m_periodStart < period)
        return;
    closePeriod(now);
    m_periodStart = now;
}

void AdmissionControl::closePeriod(Instant now)
{
    double waited = static_cast<double>(m_delayed) / static_cast<double>(m_completed);
    double refused = static_cast<double>(m_refused) / static_cast<double>(m_completed);
    if (waited + refused > tolerated) {
        m_admittedFraction = std::max(leastShare, m_admittedFraction * (1 - cutWhenWaited * waited - cutWhenRefused * refused));
        m_lastReductionAt = now;
    } else {
        m_admittedFraction = std::min(1.0, m_admittedFraction * rise);
    }
    m_completed = 0;
    m_delayed = 0;
    m_refused = 0;
}

double AdmissionControl::admittedFraction() const
{
    std::lock_guard lock(m_mutex);
    return m_admittedFraction;
}

} // namespace pimentopoint
