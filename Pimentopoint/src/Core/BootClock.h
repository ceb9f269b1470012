#pragma once

#include "Clock.h"

#include <ctime>

namespace pimentopoint {

/// \class BootClock
/// \ingroup Core
/// \brief Monotonic time that also counts while the machine is suspended.
/// \details Deadlines of callers go on while a machine sleeps; the steady clock would hand out time that has passed.
class BootClock : public Clock {
public:
    Instant now() const override
    {
        timespec time {};
        clock_gettime(CLOCK_BOOTTIME, &time);
        return Instant(std::chrono::duration_cast<Duration>(std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec)));
    }
};

} // namespace pimentopoint
