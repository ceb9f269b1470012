#pragma once

#include "Clock.h"
#include "Fraction.h"

#include <array>
#include <cstdint>
#include <vector>

namespace pimentopoint {

/// \class BurnRateWindows
/// \ingroup Core
/// \brief Counts successful and failed requests over sliding windows.
/// \details The burn rate over a window is the fraction of failed requests divided by the fraction that the objective allows:
/// \f$ b = (failures / total) / (1 - objective) \f$. A burn rate of 1 uses up the error budget exactly at the end of its period.
class BurnRateWindows {
public:
    struct Window {
        Duration length;
        std::uint64_t successes = 0;
        std::uint64_t failures = 0;

        std::uint64_t total() const { return successes + failures; }
        /// \returns the burn rate for \a objective; 0 if the window has no requests
        double burnRate(Fraction objective) const;
    };

    void record(bool success, Instant now);
    /// \returns the counts of the last 1 min, 5 min, 30 min and 1 h up to \a now, with a resolution of 10 s
    std::vector<Window> windows(Instant now) const;

private:
    struct Bucket {
        std::int64_t index = -1;
        std::uint64_t successes = 0;
        std::uint64_t failures = 0;
    };

    /// Enough buckets of 10 s for the longest window (1 h).
    static constexpr std::size_t bucketCount = 361;

    std::array<Bucket, bucketCount> m_buckets;
};

} // namespace pimentopoint
