#pragma once

#include "../Core/Clock.h"
#include "../Core/Random.h"

#include <mutex>

namespace pimentopoint {

/// How a query met the queues of its targets.
enum class Congestion {
    None,
    Delayed, ///< Most of its shards waited long.
    Refused, ///< Most waited long, and one was refused or not done in time.
};

/// \class AdmissionControl
/// \ingroup Caller
/// \brief Decides which queries of one search front begin when its targets have more to do than they can.
/// \details A query that begins without a chance takes the time of others at some targets and is refused at the next, so that
/// few are whole. The share of queries that begin falls when queries that began since the latest cut were congested, a little
/// if they waited and more if they were refused, rises slowly otherwise, and is whole once no query was congested for a while.
class AdmissionControl {
public:
    explicit AdmissionControl(std::uint64_t seed)
        : m_random(seed)
    {
    }

    /// \returns whether the next query begins
    bool admit(Instant now);
    /// Notes the end of a query that began at \a began.
    void recordCompletion(Congestion congestion, Instant began, Instant now);
    /// \returns the share of queries that begin, 0 to 1
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
    Instant m_lastReductionAt {}; ///< What began before shows nothing of the latest cut.
    Instant m_lastCongestedAt {};
};

} // namespace pimentopoint
