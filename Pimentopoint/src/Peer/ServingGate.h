#pragma once

#include "../Core/Clock.h"

namespace pimentopoint {

/// \class ServingGate
/// \ingroup Peer
/// \brief Decides whether what a process holds is current enough to act on.
/// \details Closed at the start and after a pause. Opens when a member confirms that it holds nothing newer, or, for a
/// process that reaches no member, when the grace period has passed with a configuration in force.
class ServingGate {
public:
    explicit ServingGate(Duration grace = std::chrono::seconds(1))
        : m_gracePeriod(grace)
    {
    }

    /// Closes the gate: at the start, or on waking from a pause.
    void close(Instant now)
    {
        m_open = false;
        m_closedAt = now;
    }
    /// A member answered and holds nothing newer than what is in force here.
    void confirm(bool hasConfiguration)
    {
        if (hasConfiguration)
            m_open = true;
    }
    void tick(Instant now, bool hasConfiguration)
    {
        if (!m_open && hasConfiguration && now - m_closedAt >= m_gracePeriod)
            m_open = true;
    }
    bool isOpen() const { return m_open; }

private:
    Duration m_gracePeriod;
    Instant m_closedAt {};
    bool m_open = false;
};

} // namespace pimentopoint
