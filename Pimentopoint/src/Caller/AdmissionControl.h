#pragma once

#include "../Core/Clock.h"
#include "../Core/Random.h"

#include <mutex>

namespace pimentopoint {

/// How far the targets of a query were congested.
enum class Congestion {
    None,
    Delayed, ///< At least half of its shards took long, and all completed.
    Refused, ///< At least half took long or were refused, and not all completed.
};

/// \class AdmissionControl
/// \ingroup Caller
/// \brief Limits how many queries of one search front start while its targets are overloaded.
/// \details A query that cannot complete in time uses capacity of some targets before others refuse it, so that few queries get
/// a complete answer. The admitted fraction is reduced when queries that started since the latest reduction were congested:
/// slightly if they were delayed, more if they were refused. Otherwise it increases slowly, and it returns to 1 once no query
/// has been congested for a while.
class AdmissionControl {
public:
    explicit AdmissionControl(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// \returns whether the next query may start
    bool admit(Instant now);
    /// Records the completion of a query that started at \a began.
    void recordCompletion(Congestion congestion, Instant began, Instant now);
    /// \returns the fraction of queries that may start, 0 to 1
    double admittedFraction() const;

private:
    void closePeriod(Instant now);

    mutable std::mutex m_mutex;
    Random m_random;
    double m_admittedFraction = 1;
    unsigned m_completed = 0;
    unsigned m_delayed = 0;
    unsigned m_refused = 0;
    Instant m_periodStart {};
    Instant m_lastReductionAt {}; ///< Queries that started earlier don't reflect the latest reduction.
    Instant m_lastCongestedAt {};
};

} // namespace pimentopoint
