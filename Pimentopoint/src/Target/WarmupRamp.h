#pragma once

#include "../Core/Clock.h"
#include "../Peer/Messages.h"
#include "Share.h"

#include <optional>

namespace pimentopoint {

/// \class ColdRamp
/// \ingroup Target
/// \brief Limits the concurrent work of one gateway at one target by what the target's replies prove.
/// \details
/// - Cold: the cold limit holds. It ends after \c coldTime of service without a sign of trouble, or at once with the
///   first reply that matches a hint: same incarnation, usual service time.
/// - Ramping: the limit doubles with each round of replies up to the share.
/// - Warm: the whole share.
/// - Doubted: a slow reply, a lost connection or a shed request, with no later request served as usual meanwhile; the cold limit holds until a reply to a request sent
///   since is as usual (back to what was before) or several are not (cold).
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
    /// \returns the most requests that may be at work at the target now
    std::uint32_t limit(const Share& share) const;
    /// \returns evidence for other gateways; empty unless warm
    WarmthHint warmth() const;
    /// \returns the usual service time; 0 before the first reply
    Duration serviceTime() const { return m_serviceTime; }
    /// \returns whether \a serviceTime is no sign of trouble
    bool isNormal(Duration serviceTime) const { return usual(serviceTime, m_serviceTime); }

    /// Takes evidence from another gateway's time with the target.
    void applyHint(const WarmthHint& hint);
    /// A reply to a request sent at \a sentAt; the ramp ends at the slots of \a share.
    void handleReply(Incarnation incarnation, Duration serviceTime, const Share& share, Instant sentAt, Instant now);
    /// The target refused a request because it had too much to do.
    void handleShed(Instant sentAt, Instant now);
    /// A connection broke, was replaced or went silent.
    /// \param sentAt when the request that was on it was sent
    void handleConnectionLost(Instant sentAt, Instant now);

private:
    static bool usual(Duration serviceTime, Duration usualTime);
    void becomeCold(Instant now);
    void suspect(Instant now);
    /// \returns whether a request sent after \a sentAt was served as usual, so that trouble with an earlier one is its own
    bool hasNormalReplySince(Instant sentAt) const { return m_lastNormalSentAt > sentAt; }
    void updateServiceTime(Duration serviceTime, int weight);
    void resolveSuspicion(bool asUsual, Instant now);
    void advance(const Share& share, Instant now);

    State m_state = State::Cold;
    State m_stateBeforeSuspicion = State::Cold;
    Instant m_stateSince;
    std::optional<Instant> m_servingSince;
    std::uint32_t m_rampLimit = 0;
    std::uint32_t m_roundReplies = 0;
    unsigned m_failuresWhileSuspected = 0;
    Instant m_lastNormalSentAt {}; ///< The latest send among requests served as usual.
    Incarnation m_incarnation;
    Duration m_serviceTime { 0 };
    WarmthHint m_hint;
};

} // namespace pimentopoint
