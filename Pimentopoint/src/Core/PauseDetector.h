#pragma once

#include "Clock.h"
#include "util/Constants.h"

#include <optional>

namespace pimentopoint {

/// \class PauseDetector
/// \ingroup Core
/// \brief Detects that the process was paused: two successive ticks are further apart than the threshold.
class PauseDetector {
public:
    explicit PauseDetector(Duration threshold = pauseThreshold)
        : m_threshold(threshold)
    {
    }

    /// \returns whether the process paused between the last tick and \a now
    bool tick(Instant now)
    {
        bool paused = m_last && now - *m_last > m_threshold;
        m_last = now;
        return paused;
    }

    /// \returns whether tick() would report a pause at \a now, without changing the state
    bool overdue(Instant now) const { return m_last && now - *m_last > m_threshold; }

private:
    Duration m_threshold;
    std::optional<Instant> m_last;
};

} // namespace pimentopoint
