#pragma once

#include "../Core/Clock.h"

#include <cmath>

namespace pimentopoint {

/// \class LoadGauge
/// \ingroup Serve
/// \brief Events a second, averaged over about a second.
class LoadGauge {
public:
    void add(double events, Instant now)
    {
        fade(now);
        m_recent += events;
    }
    double perSecond(Instant now)
    {
        fade(now);
        return m_recent;
    }

private:
    void fade(Instant now)
    {
        // The integral of the decay over all time is one second, so that the sum is a rate.
        m_recent *= std::exp(-std::chrono::duration<double>(now - m_at).count());
        m_at = now;
    }

    double m_recent = 0;
    Instant m_at {};
};

} // namespace pimentopoint
