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
    if (now - m_lastCongested >= calmTime)
        m_share = 1;
    return m_share >= 1 || m_random.chance(m_share);
}

void AdmissionControl::ended(Congestion congestion, Instant began, Instant now)
{
    std::lock_guard lock(m_mutex);
    if (congestion != Congestion::None)
        m_lastCongested = now;
    if (began < m_cutAt)
        return;
    ++m_ended;
    m_waited += congestion == Congestion::Waited;
    m_refused += congestion == Congestion::Refused;
    if (now - m_periodStart < period)
        return;
    closePeriod(now);
    m_periodStart = now;
}

void AdmissionControl::closePeriod(Instant now)
{
    double waited = static_cast<double>(m_waited) / static_cast<double>(m_ended);
    double refused = static_cast<double>(m_refused) / static_cast<double>(m_ended);
    if (waited + refused > tolerated) {
        m_share = std::max(leastShare, m_share * (1 - cutWhenWaited * waited - cutWhenRefused * refused));
        m_cutAt = now;
    } else {
        m_share = std::min(1.0, m_share * rise);
    }
    m_ended = 0;
    m_waited = 0;
    m_refused = 0;
}

double AdmissionControl::share() const
{
    std::lock_guard lock(m_mutex);
    return m_share;
}

} // namespace pimentopoint
