#pragma once

#include "../Core/Clock.h"
#include "../Core/Random.h"
#include "../Peer/Messages.h"

#include <array>
#include <cstddef>
#include <utility>
#include <vector>

namespace pimentopoint {

/// Parameters of the reads from the platform.
struct PlatformTiming {
    std::size_t watchersPerDataCentre = 2; ///< Number of members per data centre that watch the platform with long polls.
    Duration watchTimeout = std::chrono::seconds(2); ///< Time for which the platform holds a long poll open.
    Duration initialJitter = std::chrono::seconds(1); ///< Upper bound of the random delay before the first read, and of the delay after becoming a watcher.
    Duration pollInterval = std::chrono::seconds(30); ///< Mean time between reads of members that do not watch.
    Duration initialRetryDelay = std::chrono::milliseconds(250); ///< Upper bound of the delay before a watcher's first retry.
    Duration maxRetryDelay = std::chrono::seconds(4); ///< Upper bound of the delay of a watcher's retries and of the first retry of other members.
};

/// A read that is due; if \c wait is 0, the platform replies at once.
struct PlatformRead {
    DocumentKind kind = DocumentKind::Configuration;
    Duration wait { 0 };
};

/// \class PlatformReadScheduler
/// \ingroup Platform
/// \brief Decides when this process reads from the platform.
/// \details A fixed number of members per data centre watch the platform with long polls; the others read at long intervals with
/// jitter. Retries use exponential backoff with jitter, so that the end of an outage causes no burst of reads.
class PlatformReadScheduler {
public:
    enum class Result {
        Newer,
        Unchanged,
        Failed,
    };

    PlatformReadScheduler(PlatformTiming timing, std::uint64_t seed, Instant now);

    /// \brief Marks the reads that are due as running and returns them.
    /// \param watcher whether this process watches the platform
    std::vector<PlatformRead> startDueReads(Instant now, bool watcher);
    /// Records the result of a read and schedules the next one.
    void recordResult(DocumentKind kind, Result result, Instant now, bool watcher);

    /// \returns the rank of \a record; the members of a data centre with the lowest ranks are its watchers
    static std::pair<std::uint64_t, MemberName> rank(const MemberRecord& record);
    /// \returns whether \a self is a watcher, that is, among the first \a watchers usable \a members of its data centre by rank
    static bool isWatcher(const MemberRecord& self, const std::vector<MemberRecord>& members, std::size_t watchers);

private:
    struct ReadState {
        Instant due;
        bool running = false;
        unsigned failures = 0;
    };

    Duration randomDelay(Duration maxDelay) { return Duration(static_cast<Duration::rep>(m_random.fraction() * static_cast<double>(maxDelay.count()))); }

    PlatformTiming m_timing;
    Random m_random;
    std::array<ReadState, 2> m_reads;
};

} // namespace pimentopoint
