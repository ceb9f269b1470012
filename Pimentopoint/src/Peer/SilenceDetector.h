#pragma once

#include "../Core/Clock.h"

namespace pimentopoint {

/// \class SilenceDetector
/// \ingroup Peer
/// \brief Finds connections on which nothing arrives any more though something is due.
class SilenceDetector {
public:
    enum class Verdict {
        Quiet, ///< Nothing to do.
        Probe, ///< Send a heartbeat.
        Dead, ///< Close the connection.
    };

    SilenceDetector(Duration probeAfter, Duration deadAfter)
        : m_probeAfter(probeAfter)
        , m_deadAfter(deadAfter)
    {
    }

    void sent(Instant now)
    {
        if (m_awaiting)
            return;
        m_awaiting = true;
        m_since = now;
    }
    void received()
    {
        m_awaiting = false;
        m_probed = false;
    }
    Verdict tick(Instant now)
    {
        if (!m_awaiting || now - m_since < m_probeAfter)
            return Verdict::Quiet;
        if (now - m_since >= m_deadAfter)
            return Verdict::Dead;
        if (m_probed)
            return Verdict::Quiet;
        m_probed = true;
        return Verdict::Probe;
    }

private:
    Duration m_probeAfter;
    Duration m_deadAfter;
    bool m_awaiting = false;
    bool m_probed = false;
    Instant m_since {};
};

} // namespace pimentopoint
