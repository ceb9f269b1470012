#pragma once

#include "../Core/Clock.h"

namespace pimentopoint {

/// \class ServingGate
/// \ingroup Peer
/// \brief Decides whether the documents of a process are current enough to serve requests.
/// \details Closed at the start and after a pause. Opens once a configuration is active and either a member has confirmed
/// that it has no newer documents or the grace period has passed, as a process may reach no member.
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
    /// Opens the gate if the grace period has passed.
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
