#pragma once

#include "Clock.h"
#include "Fraction.h"

#include <array>
#include <cstdint>
#include <vector>

namespace pimentopoint {

/// \class BurnWindows
/// \ingroup Core
/// \brief Counts good and bad requests over sliding windows.
/// \details The burn rate over a window is the share of bad requests divided by the share that the objective allows:
/// \f$ b = (bad / all) / (1 - objective) \f$. At 1 the error budget lasts exactly its period.
class BurnRateWindows {
public:
    struct Window {
        Duration length;
        std::uint64_t successes = 0;
        std::uint64_t failures = 0;

        std::uint64_t total() const { return successes + failures; }
        /// \returns the burn rate against \a objective; 0 without requests
        double burnRate(Fraction objective) const;
    };

    void record(bool good, Instant now);
    /// \returns the sums over 1 min, 5 min, 30 min and 1 h, up to \a now
    std::vector<Window> windows(Instant now) const;

private:
    struct Bucket {
        std::int64_t index = -1;
        std::uint64_t successes = 0;
        std::uint64_t failures = 0;
    };

    static constexpr std::size_t bucketCount = 361;

    std::array<Bucket, bucketCount> m_buckets;
};

} // namespace pimentopoint
