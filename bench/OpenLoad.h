/// \file
/// Open-loop load: queries are due at a fixed rate, whether or not earlier ones have ended. Depends on Core.
#pragma once

#include "Callers.h"

#include <Pimentopoint/Core>
#include <array>
#include <functional>

namespace pimentopoint::bench {

/// Measurements of one run of load.
struct LoadResult {
    std::vector<double> milliseconds; ///< Latency of each query from when it was due, in ascending order.
    std::array<std::uint64_t, 5> outcomes {}; ///< Number of queries by QueryOutcome.
    double coverage = 0; ///< Mean coverage of the answers.
    double seconds = 0; ///< From the start of the load until the last query ended.
    std::uint64_t allocations = 0; ///< Of the load threads.
    double coreSeconds = 0; ///< Processor time of the load threads.

    std::uint64_t count(QueryOutcome outcome) const { return outcomes.at(static_cast<std::size_t>(outcome)); }
    /// \returns the latency in milliseconds within which \a fraction of the queries ended
    double quantile(double fraction) const;
    /// \returns complete answers per second
    double goodput() const { return seconds > 0 ? static_cast<double>(count(QueryOutcome::Complete)) / seconds : 0; }
};

using QueryFunction = std::function<QueryResult(std::uint64_t number)>;

/// \brief Sends \a rate queries per second for \a length from \a threads threads, each with a query function of its own.
/// \details Latency counts from when a query was due, which includes the time that it waits for a free thread.
LoadResult runOpenLoad(double rate, Duration length, unsigned threads, const std::function<QueryFunction(unsigned thread)>& makeQueryFunction);

} // namespace pimentopoint::bench
