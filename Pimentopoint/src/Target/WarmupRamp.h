#pragma once

#include "../Core/Clock.h"
#include "../Peer/Messages.h"
#include "Share.h"

#include <optional>

namespace pimentopoint {

/// \class WarmupRamp
/// \ingroup Target
/// \brief Limits the requests of one gateway outstanding at one target, by the target's state as inferred from its replies.
/// \details
/// - Cold: the cold limit applies. The state ends after \c coldTime of service without a failure, or at once with the
///   first reply that matches a hint of another gateway: same incarnation, normal service time.
/// - Ramping: the limit doubles after as many normal replies as the limit, until it reaches the share.
/// - Warm: the whole share applies.
/// - Suspected: entered after a shed request, and after a slow reply or a lost connection unless a request sent later
///   has already had a normal reply. The cold limit applies until a request sent since then has a normal reply (back to
///   the previous state) or several are slow or shed (cold).
class WarmupRamp {
public:
    enum class State {
        Cold,
        Ramping,
        Warm,
        Suspected,
    };

    explicit WarmupRamp(Instant now)
        : m_stateSince(now)
    {
    }

    State state() const { return m_state; }
    /// \returns the maximum number of outstanding requests in the current state
    std::uint32_t limit(const Share& share) const;
    /// \returns evidence for other gateways that the target is warm; empty in other states
    WarmthHint warmth() const;
    /// \returns the moving average of service times; 0 before the first reply
    Duration serviceTime() const { return m_serviceTime; }
    /// \returns whether \a serviceTime is normal, that is not slow compared with the average
    bool isNormal(Duration serviceTime) const { return isNormal(serviceTime, m_serviceTime); }

    /// Applies evidence of another gateway that the target is warm.
    void applyHint(const WarmthHint& hint);
    /// Handles a reply to a request sent at \a sentAt; the ramp ends at the slots of \a share.
    void handleReply(Incarnation incarnation, Duration serviceTime, const Share& share, Instant sentAt, Instant now);
    /// Handles a request that the target refused because of overload.
    void handleShed(Instant sentAt, Instant now);
    /// Handles a failed exchange: the connection could not be opened, broke or became unresponsive, or the reply was invalid.
    /// \param sentAt when the request of that exchange was sent
    void handleConnectionLost(Instant sentAt, Instant now);

private:
    static bool isNormal(Duration serviceTime, Duration averageTime);
    void becomeCold(Instant now);
    void suspect(Instant now);
    /// \returns whether a request sent after \a sentAt had a normal reply, so that a failure of an earlier request concerns only that request
    bool hasNormalReplySince(Instant sentAt) const { return m_lastNormalSentAt > sentAt; }
    void updateServiceTime(Duration serviceTime, int divisor);
    void resolveSuspicion(bool normal, Instant now);
    void advance(const Share& share, Instant now);

    State m_state = State::Cold;
    State m_stateBeforeSuspicion = State::Cold;
    Instant m_stateSince;
    std::optional<Instant> m_servingSince;
    std::uint32_t m_rampLimit = 0;
    std::uint32_t m_roundReplies = 0;
    unsigned m_failuresWhileSuspected = 0;
    Instant m_lastNormalSentAt {}; ///< Latest send time of a request with a normal reply.
    Incarnation m_incarnation;
    Duration m_serviceTime { 0 };
    WarmthHint m_hint;
};

} // namespace pimentopoint
