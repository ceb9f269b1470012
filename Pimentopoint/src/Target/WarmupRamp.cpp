#include "WarmupRamp.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// Longest time for which a target is taken to be cold while it serves without trouble.
    constexpr Duration coldTime = std::chrono::seconds(5);
    /// A service time beyond so many times the usual one is a sign of a cold target.
    constexpr int slowFactor = 3;
    /// Service times that differ by less are never told apart.
    constexpr Duration slowFloor = std::chrono::milliseconds(4);
    /// Unusual replies in a row that turn doubt into a cold start.
    constexpr unsigned unusualRepliesForCold = 2;
    /// Weight of a new service time in the average, as one part in so many.
    constexpr int averageWeight = 16;
    /// The same while the target is cold.
    constexpr int coldAverageWeight = 4;

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

bool WarmupRamp::usual(Duration serviceTime, Duration usualTime)
{
    return serviceTime <= std::max(usualTime * slowFactor, usualTime + slowFloor);
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
        // A cold target in trouble starts its cold time anew.
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

void WarmupRamp::updateServiceTime(Duration serviceTime, int weight)
{
    if (!m_serviceTime.count())
        m_serviceTime = serviceTime;
    else
        m_serviceTime += (serviceTime - m_serviceTime) / weight;
}

void WarmupRamp::applyHint(const WarmthHint& hint)
{
    if (m_state == State::Cold && hint.incarnation.value())
        m_hint = hint;
}

void WarmupRamp::resolveSuspicion(bool asUsual, Instant now)
{
    if (asUsual) {
        m_state = m_stateBeforeSuspicion;
        m_stateSince = now;
        return;
    }
    if (++m_failuresWhileSuspected >= unusualRepliesForCold)
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
        bool proven = m_hint.incarnation == incarnation && m_hint.incarnation.value()
            && usual(serviceTime, Duration(m_hint.serviceTime));
        if (proven) {
            m_state = State::Warm;
            m_serviceTime = Duration(m_hint.serviceTime);
        }
        // While a target is cold its average follows it quickly to the warm value.
        updateServiceTime(serviceTime, coldAverageWeight);
        return advance(share, now);
    }
    bool asUsual = isNormal(serviceTime);
    if (asUsual)
        m_lastNormalSentAt = std::max(m_lastNormalSentAt, sentAt);
    if (m_state == State::Suspected) {
        if (sentAt >= m_stateSince)
            resolveSuspicion(asUsual, now);
        return;
    }
    if (!asUsual) {
        if (!hasNormalReplySince(sentAt))
            suspect(now);
        return;
    }
    updateServiceTime(serviceTime, averageWeight);
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
