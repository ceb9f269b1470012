#pragma once

#include "../Core/Clock.h"

namespace pimentopoint {

/// \class ServingGate
/// \ingroup Peer
/// \brief Decides whether the documents of a process are current enough to serve requests.
/// \details Closed at the start and after a pause. Opens when a member confirms that it has nothing newer, or, for a process
/// that reaches no member, when the grace period has passed and a configuration is active.
class ServingGate {
public:
    explicit ServingGate(Duration grace = std::chrono::seconds(1))
        : m_gracePeriod(grace)
    {
    }

    /// Closes the gate, at the start or after a pause.
    void close(Instant now)
    {
        m_open = false;
        m_closedAt = now;
    }
    /// Called when a member replied and has no newer documents than this process.
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
