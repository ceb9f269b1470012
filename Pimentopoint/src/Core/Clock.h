#pragma once

#include <chrono>

namespace pimentopoint {

using Duration = std::chrono::microseconds;

/// Clock type of Instant: the monotonic time of one process, in microseconds.
struct MonotonicTimeScale {
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<MonotonicTimeScale, duration>;
    static constexpr bool is_steady = true;
};

using Instant = MonotonicTimeScale::time_point;

/// \returns \a factor times \a duration
constexpr Duration scaled(Duration duration, double factor)
{
    return Duration(static_cast<Duration::rep>(static_cast<double>(duration.count()) * factor));
}

/// \class Clock
/// \ingroup Core
/// \brief Interface of the monotonic clocks.
class Clock {
public:
    virtual ~Clock() = default;
    /// \returns the current instant, which never decreases
    virtual Instant now() const = 0;
};

} // namespace pimentopoint
