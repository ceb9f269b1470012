#pragma once

#include "Clock.h"

namespace pimentopoint {

/// \class SystemClock
/// \ingroup Core
/// \brief Monotonic clock that stops while the machine is suspended (std::chrono::steady_clock).
class SystemClock : public Clock {
public:
    Instant now() const override
    {
        auto sinceStart = std::chrono::steady_clock::now().time_since_epoch();
        return Instant(std::chrono::duration_cast<Duration>(sinceStart));
    }
};

} // namespace pimentopoint
