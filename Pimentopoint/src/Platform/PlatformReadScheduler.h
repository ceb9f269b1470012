#pragma once

#include "../Core/Clock.h"
#include "../Core/Random.h"
#include "../Peer/Messages.h"

#include <array>
#include <cstddef>
#include <utility>
#include <vector>

namespace pimentopoint {

/// Intervals of reads from the platform.
struct PlatformTiming {
    std::size_t watchersPerDataCentre = 2; ///< Members of a data centre that hold a watch.
    Duration watchTimeout = std::chrono::seconds(2); ///< For which the platform holds a watch open.
    Duration initialJitter = std::chrono::seconds(1); ///< Over which first reads are spread.
    Duration pollInterval = std::chrono::seconds(30); ///< Between reads of those who do not watch.
    Duration initialRetryDelay = std::chrono::milliseconds(250); ///< Largest delay before a watcher's first retry.
    Duration maxRetryDelay = std::chrono::seconds(4); ///< Largest delay of a watcher's retry, and of the first retry of others.
};

/// A read that is due; with \c wait 0 the platform answers at once.
struct PlatformRead {
    DocumentKind kind = DocumentKind::Configuration;
    Duration wait { 0 };
};

/// \class PlatformWatch
/// \ingroup Platform
/// \brief Decides when this process reads from the platform.
/// \details A constant number of members per data centre watches; the others read at long, jittered intervals.
/// Retries after a failure back off with full jitter, so that an outage ends without a burst.
class PlatformReadScheduler {
public:
    enum class Result {
        Newer,
        Unchanged,
        Failed,
    };

    PlatformReadScheduler(PlatformTiming timing, std::uint64_t seed, Instant now);

    /// \brief Marks the reads that are due as begun and returns them.
    /// \param watcher whether this process is one of those that watch
    std::vector<PlatformRead> startDueReads(Instant now, bool watcher);
    /// Notes the end of a read.
    void recordResult(DocumentKind kind, Result result, Instant now, bool watcher);

    /// \returns the rank by which watchers are chosen; the least ones watch
    static std::pair<std::uint64_t, MemberName> rank(const MemberRecord& record);
    /// \returns whether \a self is among the watchers of its data centre, given the usable \a members of the fleet
    static bool isWatcher(const MemberRecord& self, const std::vector<MemberRecord>& members, std::size_t watchers);

private:
    struct ReadState {
        Instant due;
        bool running = false;
        unsigned failures = 0;
    };

    Duration randomDelay(Duration longest) { return Duration(static_cast<Duration::rep>(m_random.fraction() * static_cast<double>(longest.count()))); }

    PlatformTiming m_timing;
    Random m_random;
    std::array<ReadState, 2> m_reads;
};

} // namespace pimentopoint
