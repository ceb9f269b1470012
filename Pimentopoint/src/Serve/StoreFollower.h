#pragma once

#include "../Core/Clock.h"
#include "../Core/Random.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pimentopoint {

/// A key of the platform's store as it is, or was removed, at a revision.
struct StoreItem {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool removed = false;
};

/// A read that is due.
struct StoreRead {
    enum class Kind : std::uint8_t {
        Page, ///< Items from \c afterKey on.
        Watch, ///< What changed after \c afterRevision; waits if nothing did.
    };
    Kind kind = Kind::Page;
    std::string prefix;
    std::string afterKey;
    std::uint64_t afterRevision = 0;
    Duration wait { 0 }; ///< For which the store may hold a watch open.
    Duration timeout { 0 }; ///< After which the read has failed.
};

/// What became of a read.
struct StoreResult {
    enum class Kind : std::uint8_t {
        Items,
        Changes,
        HistoryLost, ///< The changes since the revision are no longer known.
        Failed,
    };
    Kind kind = Kind::Failed;
    std::vector<StoreItem> items;
    bool hasMore = false; ///< Further pages follow.
    std::uint64_t revision = 0; ///< The store's revision.
    std::string cause; ///< Of a failure.
};

/// What a result brings.
struct StoreUpdate {
    std::vector<StoreItem> changes; ///< In the order of their revisions; older ones than known are left out.
    std::optional<std::set<std::string>> allKeys; ///< After a full reading: what exists.
};

/// Intervals of a StoreFollower.
struct StoreTiming {
    Duration watchWait = std::chrono::seconds(3); ///< Short of the time in which news must be known after a lost answer.
    Duration watchMargin = std::chrono::milliseconds(800); ///< Beyond the wait; a slow store's answer takes some hundred milliseconds.
    Duration readTimeout = std::chrono::milliseconds(1000); ///< Of a page; a slow store's answer takes some hundred milliseconds.
    Duration batchInterval = std::chrono::milliseconds(150); ///< Between two watches after news, so that a series of changes is one answer.
    Duration initialRetryDelay = std::chrono::milliseconds(100); ///< Largest delay after a first failure.
    Duration maxRetryDelay = std::chrono::milliseconds(500); ///< Largest delay; a store that is back is read within a second.
};

/// \class StoreFollower
/// \ingroup Serve
/// \brief Decides how a prefix of the platform's store is followed: read in pages, then watched, read anew when history is lost.
class StoreFollower {
public:
    StoreFollower(std::string prefix, StoreTiming timing, std::uint64_t seed);

    /// \returns the read to begin at \a now, or nothing while one runs or none is due
    std::optional<StoreRead> beginRead(Instant now);
    StoreUpdate handleResult(StoreResult result, Instant now);
    /// \returns when begin() has a read; nothing while one runs
    std::optional<Instant> nextReadAt() const;

    /// \returns whether a full reading has ended once
    bool complete() const { return m_complete; }
    std::uint64_t revision() const { return m_revision; }

private:
    void restartListing();
    StoreUpdate applyPage(StoreResult& result);
    /// \returns whether \a result is a reading from before what is known, or from before the reading's first page
    bool isOutdated(const StoreResult& result) const;

    std::string m_prefix;
    StoreTiming m_timing;
    Random m_random;
    Instant m_nextReadAt {};
    bool m_readOutstanding = false;
    bool m_listing = true; ///< In pages; otherwise watching.
    bool m_complete = false;
    std::string m_afterKey;
    std::uint64_t m_listingRevision = 0; ///< Of the first page: later changes come by the watch.
    std::set<std::string> m_listedKeys;
    std::uint64_t m_revision = 0;
    unsigned m_failures = 0;
};

} // namespace pimentopoint
