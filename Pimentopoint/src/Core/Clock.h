#pragma once

#include <chrono>

namespace pimentopoint {

using Duration = std::chrono::microseconds;

/// Tag of the time scale that all decisions use: monotonic, of one process.
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
/// \brief Source of the monotonic time of this process.
class Clock {
public:
    virtual ~Clock() = default;
    /// \returns the present instant; never smaller than one returned before
    virtual Instant now() const = 0;
};

} // namespace pimentopoint
