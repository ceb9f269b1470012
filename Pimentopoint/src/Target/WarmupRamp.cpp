#include "WarmupRamp.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// Longest time for which a target is assumed to be cold while it serves without failures.
    constexpr Duration coldTime = std::chrono::seconds(5);
    /// A service time above this multiple of the average is slow and suggests that the target is cold.
    constexpr int slowFactor = 3;
    /// A service time that exceeds the average by at most this much is never slow.
    constexpr Duration slowFloor = std::chrono::milliseconds(4);
    /// Consecutive slow replies or shed requests after which a suspected target is assumed to be cold.
    constexpr unsigned failuresForCold = 2;
    /// A new service time moves the average by its difference from it, divided by this.
    constexpr int averageDivisor = 16;
    /// The divisor while the target is cold.
    constexpr int coldAverageDivisor = 4;

} // namespace

std::uint32_t WarmupRamp::limit(const Share& share) const
{
    switch (m_state) {
    case State::Warm:
        return share.slots();
    case State::Ramping:
        return std::clamp(m_rampLimit, share.coldLimit(), share.slots());
    case State::Cold:
    case State::Suspected:
        break;
    }
    return share.coldLimit();
}

WarmthHint WarmupRamp::warmth() const
{
    if (m_state != State::Warm)
        return {};
    return { m_incarnation, static_cast<std::uint32_t>(m_serviceTime.count()) };
}

bool WarmupRamp::isNormal(Duration serviceTime, Duration averageTime)
{
    return serviceTime <= std::max(averageTime * slowFactor, averageTime + slowFloor);
}

void WarmupRamp::becomeCold(Instant now)
{
    m_state = State::Cold;
    m_stateSince = now;
    m_servingSince.reset();
    m_lastNormalSentAt = {};
    m_hint = {};
}

void WarmupRamp::suspect(Instant now)
{
    if (m_state == State::Cold) {
        // A failure of a cold target restarts its cold time.
        m_servingSince.reset();
        return;
    }
    if (m_state == State::Suspected)
        return;
    m_stateBeforeSuspicion = m_state;
    m_state = State::Suspected;
    m_stateSince = now;
    m_failuresWhileSuspected = 0;
}

void WarmupRamp::updateServiceTime(Duration serviceTime, int divisor)
{
    if (!m_serviceTime.count())
        m_serviceTime = serviceTime;
    else
        m_serviceTime += (serviceTime - m_serviceTime) / divisor;
}

void WarmupRamp::applyHint(const WarmthHint& hint)
{
    if (m_state == State::Cold && hint.incarnation.value())
        m_hint = hint;
}

void WarmupRamp::resolveSuspicion(bool normal, Instant now)
{
    if (normal) {
        m_state = m_stateBeforeSuspicion;
        m_stateSince = now;
        return;
    }
    if (++m_failuresWhileSuspected >= failuresForCold)
        becomeCold(now);
}

void WarmupRamp::advance(const Share& share, Instant now)
{
    if (m_state == State::Cold) {
        if (!m_servingSince)
            m_servingSince = now;
        if (now - *m_servingSince < coldTime)
            return;
        m_state = State::Ramping;
        m_rampLimit = std::max(share.coldLimit(), 1U);
        m_roundReplies = 0;
        return;
    }
    if (m_state != State::Ramping || ++m_roundReplies < m_rampLimit)
        return;
    m_roundReplies = 0;
    m_rampLimit *= 2;
    if (m_rampLimit >= share.slots())
        m_state = State::Warm;
}

void WarmupRamp::handleReply(Incarnation incarnation, Duration serviceTime, const Share& share, Instant sentAt, Instant now)
{
    bool restarted = m_incarnation.value() && incarnation != m_incarnation;
    m_incarnation = incarnation;
    if (restarted && m_state != State::Cold)
        becomeCold(now);
    if (m_state == State::Cold) {
        bool warm = m_hint.incarnation == incarnation && m_hint.incarnation.value()
            && isNormal(serviceTime, Duration(m_hint.serviceTime));
        if (warm) {
            m_state = State::Warm;
            m_serviceTime = Duration(m_hint.serviceTime);
        }
        // While a target is cold, the average follows its service times faster, so that it soon reaches the warm value.
        updateServiceTime(serviceTime, coldAverageDivisor);
        return advance(share, now);
    }
    bool normal = isNormal(serviceTime);
    if (normal)
        m_lastNormalSentAt = std::max(m_lastNormalSentAt, sentAt);
    if (m_state == State::Suspected) {
        if (sentAt >= m_stateSince)
            resolveSuspicion(normal, now);
        return;
    }
    if (!normal) {
        if (!hasNormalReplySince(sentAt))
            suspect(now);
        return;
    }
    updateServiceTime(serviceTime, averageDivisor);
    advance(share, now);
}

void WarmupRamp::handleShed(Instant sentAt, Instant now)
{
    if (m_state == State::Suspected && sentAt >= m_stateSince)
        return resolveSuspicion(false, now);
    suspect(now);
}

void WarmupRamp::handleConnectionLost(Instant sentAt, Instant now)
{
    if (!hasNormalReplySince(sentAt))
        suspect(now);
}

} // namespace pimentopoint
