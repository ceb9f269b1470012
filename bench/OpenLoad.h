/// \file
/// Load at a fixed rate, whether or not earlier queries have ended.
#pragma once

#include "Callers.h"

#include <Pimentopoint/Core>
#include <array>
#include <functional>

namespace pimentopoint::bench {

/// What a stretch of load measured.
struct LoadResult {
    std::vector<double> milliseconds; ///< From when each query was due to its end, in ascending order.
    std::array<std::uint64_t, 5> outcomes {}; ///< By Ending.
    double coverage = 0; ///< Mean.
    double seconds = 0; ///< Until the last query ended.
    std::uint64_t allocations = 0; ///< Of the asking threads.
    double coreSeconds = 0; ///< Of the asking threads.

    std::uint64_t count(Ending ending) const { return outcomes.at(static_cast<std::size_t>(ending)); }
    /// \returns the latency in milliseconds below which the share \a share of the queries ended
    double quantile(double share) const;
    /// \returns whole answers a second
    double goodput() const { return seconds > 0 ? static_cast<double>(count(Ending::Complete)) / seconds : 0; }
};

using QueryFunction = std::function<QueryResult(std::uint64_t number)>;

/// \brief Offers \a rate queries a second for \a length from \a threads threads, each with an asker of its own.
/// \details Latency counts from when a query was due, so that a queue at the caller counts too.
LoadResult runOpenLoad(double rate, Duration length, unsigned threads, const std::function<QueryFunction(unsigned thread)>& makeAsker);

} // namespace pimentopoint::bench
