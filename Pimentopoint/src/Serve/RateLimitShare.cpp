#include "RateLimitShare.h"

#include <algorithm>
#include <cmath>

namespace pimentopoint {

namespace {

    /// What a target tolerates in a window, by the platform's rules: this multiple of its limit, and some requests more.
    constexpr double windowSeconds = 4;
    constexpr double toleratedMultiple = 1.5;
    constexpr double toleratedExtra = 5;
    /// Fraction of that which the hosts use; the rest covers hosts that disagree on their number.
    constexpr double usedFraction = 0.9;
    /// The same where a random choice of hosts sends, whose number varies.
    constexpr double usedFractionOfChosen = 0.5;
    /// Fraction of the tolerated requests that hosts which are not chosen may use to learn whether the limit still holds.
    constexpr double probeFraction = 0.1;
    constexpr double minLifetimeSeconds = 10;
    /// A bucket of this capacity holds one request; slightly less than two, so that a window never sees a second one.
    constexpr double fractionBelowNext = 0.99;

    Duration seconds(double value)
    {
        constexpr double maxSeconds = 3600;
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(std::min(value, maxSeconds)));
    }

} // namespace

RateLimitShare::RateLimitShare(double limit, double fraction, double draw, Instant now)
    : m_limit(limit)
    , m_fraction(fraction)
    , m_draw(draw)
    , m_refilledAt(now)
    , m_statedAt(now)
{
    update();
    // Hosts learn of a limit at about the same time; a random initial credit keeps them from sending in step.
    m_credit = m_burst * draw;
}

void RateLimitShare::setLimit(double limit, Instant now)
{
    m_statedAt = now;
    if (limit == m_limit)
        return;
    refill(now);
    m_limit = limit;
    update();
}

void RateLimitShare::setFraction(double fraction, Instant now)
{
    if (fraction == m_fraction)
        return;
    refill(now);
    m_fraction = fraction;
    update();
}

void RateLimitShare::update()
{
    double tolerated = m_fraction * (toleratedMultiple * windowSeconds * m_limit + toleratedExtra);
    double quota = std::floor(usedFraction * tolerated);
    m_rate = m_limit * m_fraction;
    if (quota < 1) {
        double chosenFraction = std::min(1.0, usedFractionOfChosen * tolerated);
        quota = m_draw < chosenFraction ? 1 : 0;
        m_rate = quota > 0 ? m_rate / chosenFraction : 0;
    }
    // A bucket lets through at most its capacity and what it earns within a window.
    m_rate = std::min(m_rate, std::max(0.0, quota - 1 + fractionBelowNext) / windowSeconds);
    m_burst = quota > 0 ? std::max(1.0, quota + fractionBelowNext - m_rate * windowSeconds) : 0;
    m_credit = std::min(m_credit, m_burst);
    m_lifetime = seconds(std::max(minLifetimeSeconds, windowSeconds / (probeFraction * std::max(tolerated, 1e-6))));
}

void RateLimitShare::refill(Instant now)
{
    m_credit = std::min(m_burst, m_credit + m_rate * std::chrono::duration<double>(now - m_refilledAt).count());
    m_refilledAt = now;
}

bool RateLimitShare::allows(Instant now)
{
    refill(now);
    return m_credit >= 1;
}

void RateLimitShare::recordRequest(Instant now)
{
    refill(now);
    m_credit -= 1;
}

Duration RateLimitShare::wait(Instant now)
{
    refill(now);
    Duration untilExpired = std::max(Duration(0), m_statedAt + m_lifetime - now);
    if (m_credit >= 1)
        return Duration(0);
    return m_rate > 0 ? std::min(untilExpired, seconds((1 - m_credit) / m_rate)) : untilExpired;
}

} // namespace pimentopoint
