#pragma once

#include "../Core/Clock.h"

namespace pimentopoint {

/// \class HeartbeatMonitor
/// \ingroup Peer
/// \brief Decides when a connection that awaits a reply is sent a heartbeat, and when it is closed as unresponsive.
class HeartbeatMonitor {
public:
    enum class Action {
        None, ///< Nothing is due.
        SendHeartbeat, ///< Send a heartbeat.
        Close, ///< Close the connection.
    };

    HeartbeatMonitor(Duration heartbeatTimeout, Duration closeTimeout)
        : m_heartbeatTimeout(heartbeatTimeout)
        , m_closeTimeout(closeTimeout)
    {
    }

    void recordSent(Instant now)
    {
        if (m_awaitingReply)
            return;
        m_awaitingReply = true;
        m_awaitingSince = now;
    }
    void recordReceived()
    {
        m_awaitingReply = false;
        m_heartbeatSent = false;
    }
    Action tick(Instant now)
    {
        if (!m_awaitingReply || now - m_awaitingSince < m_heartbeatTimeout)
            return Action::None;
        if (now - m_awaitingSince >= m_closeTimeout)
            return Action::Close;
        if (m_heartbeatSent)
            return Action::None;
        m_heartbeatSent = true;
        return Action::SendHeartbeat;
    }

private:
    Duration m_heartbeatTimeout;
    Duration m_closeTimeout;
    bool m_awaitingReply = false;
    bool m_heartbeatSent = false;
    Instant m_awaitingSince {};
};

} // namespace pimentopoint
