#pragma once

#include "Clock.h"

#include <ctime>

namespace pimentopoint {

/// \class BootClock
/// \ingroup Core
/// \brief Monotonic clock that also advances while the machine is suspended.
/// \details The deadlines of callers continue to run while the machine is suspended. The steady clock stops during that time
/// and would make requests appear to have time left after their deadline.
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
