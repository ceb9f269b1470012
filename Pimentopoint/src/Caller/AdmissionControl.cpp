#include "AdmissionControl.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// Minimum time between two adjustments of the admitted fraction.
    constexpr Duration period = std::chrono::milliseconds(100);
    /// Fraction of the queries of a period that may be congested without a reduction.
    constexpr double toleratedCongestion = 0.1;
    /// Relative reductions if every query of a period was delayed, and if every one was refused.
    constexpr double reductionIfDelayed = 0.03;
    constexpr double reductionIfRefused = 0.06;
    constexpr double increaseFactor = 1.02;
    constexpr double minAdmittedFraction = 0.05;
    /// Time without a congested query after which all queries are admitted.
    constexpr Duration recoveryTime = std::chrono::seconds(2);

} // namespace

bool AdmissionControl::admit(Instant now)
{
    std::lock_guard lock(m_mutex);
    if (now - m_lastCongestedAt >= recoveryTime)
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
    double delayed = static_cast<double>(m_delayed) / static_cast<double>(m_completed);
    double refused = static_cast<double>(m_refused) / static_cast<double>(m_completed);
    if (delayed + refused > toleratedCongestion) {
        m_admittedFraction = std::max(minAdmittedFraction, m_admittedFraction * (1 - reductionIfDelayed * delayed - reductionIfRefused * refused));
        m_lastReductionAt = now;
    } else {
        m_admittedFraction = std::min(1.0, m_admittedFraction * increaseFactor);
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
