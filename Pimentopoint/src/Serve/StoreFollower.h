#pragma once

#include "../Core/Clock.h"
#include "../Core/Ids.h"
#include "../Core/Random.h"

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace pimentopoint {

/// Point in the history of the platform's store. Revisions are comparable within an era only.
struct StorePosition {
    StoreEra era;
    std::uint64_t revision = 0;
    auto operator<=>(const StorePosition&) const = default;
};

/// A key of the platform's store with its value, or its removal, as of a revision.
struct StoreItem {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool removed = false;
    bool mayBeOlder = false; ///< Whether it may be older than what was known: it comes from the listing of a store that has returned from a copy.
};

/// A request to the platform's store or to a host that mirrors it.
struct StoreRead {
    enum class Kind : std::uint8_t {
        Page, ///< Reads the items after \c afterKey.
        Watch, ///< Reads the changes after \c afterRevision; waits if there are none.
    };
    Kind kind = Kind::Page;
    std::string prefix;
    std::string afterKey;
    std::uint64_t afterRevision = 0;
    std::optional<StoreEra> era; ///< Era of \c afterRevision; nothing if the reader, a host of an earlier version, states none.
    bool mayBeStale = false; ///< Whether a page may be older than the store's latest revision; such reads cost the store less.
    Duration wait { 0 }; ///< Longest time for which the store may hold a watch open.
    Duration timeout { 0 }; ///< Time after which the read fails.
};

/// Result of a read.
struct StoreResult {
    enum class Kind : std::uint8_t {
        Items,
        Changes,
        HistoryLost, ///< The source no longer has all changes since the requested revision.
        Failed,
    };
    Kind kind = Kind::Failed;
    std::vector<StoreItem> items;
    bool hasMore = false; ///< Whether further pages follow.
    StoreEra era; ///< Era to which the revisions belong; 0 if the source states none.
    std::uint64_t revision = 0; ///< Revision of the store that the result reflects.
    std::size_t unreadableItems = 0; ///< Number of items that were left out because they could not be read.
    std::string cause; ///< Cause of a failure, or why the first of these items could not be read.
};

/// Changes that a result brings.
struct StoreUpdate {
    std::vector<StoreItem> changes; ///< Items of a page, or the changes of a watch in revision order without those already known.
    std::optional<std::set<std::string>> allKeys; ///< Set when a full listing ends: all existing keys.
};

/// Intervals of a StoreFollower.
struct StoreTiming {
    Duration batchInterval = std::chrono::milliseconds(150); ///< Interval between watches after an update, so that a series of changes arrives as one reply.
    Duration initialRetryDelay = std::chrono::milliseconds(100); ///< Largest delay after the first failure.
    Duration maxRetryDelay = std::chrono::milliseconds(500); ///< Largest delay after any failure, so that a store that recovers is read within a second.
};

/// \class StoreFollower
/// \ingroup Serve
/// \brief Follows a prefix of the platform's store: lists it in pages, then watches it, and lists it again if the source
/// no longer has all changes since the known revision, or if the store has returned from an older copy.
/// \details The first listing may be stale: the watch that follows it brings all later changes at once. If the source lacks them, or
/// has pages of different ages, the next listing must be current. Results of an era before the latest known one are not used; a listing
/// of a later era is reported when it has ended.
class StoreFollower {
public:
    StoreFollower(std::string prefix, StoreTiming timing, std::uint64_t seed);

    /// \returns the read to start at \a now, whose wait and timeout the caller sets, or nothing while one is outstanding or none is due
    std::optional<StoreRead> beginRead(Instant now);
    StoreUpdate handleResult(StoreResult result, Instant now);
    /// Ends the outstanding read without a result, so that the next one may start at once.
    void abandonRead() { m_readOutstanding = false; }
    /// Handles the result of a watch that was started besides the outstanding read.
    StoreUpdate handleAdditionalChanges(StoreResult result) { return applyChanges(result); }
    /// \returns whether a listing is in progress; otherwise the store is watched
    bool listing() const { return m_listing; }
    /// Starts a new listing, which must be current, because changes since the known revision are lost.
    void handleHistoryLost();
    /// \brief Handles that a result besides the outstanding read shows \a era: starts a new listing if it is later than the latest known one.
    /// \returns whether it is later
    bool handleLaterEra(StoreEra era);
    /// Records that the store itself no longer knows the known revision, so that the next listing may be of an earlier one.
    void forgetRevision() { m_leastRevision = 0; }
    /// \returns the latest era that any result stated
    StoreEra latestEra() const { return m_latestEra; }
    /// \returns when the next read is due; nothing while one is outstanding
    std::optional<Instant> nextReadAt() const;

    /// \returns whether a full listing has ended at least once
    bool complete() const { return m_complete; }
    const StorePosition& position() const { return m_position; }

private:
    void restartListing();
    StoreUpdate applyPage(StoreResult& result);
    StoreUpdate applyChanges(StoreResult& result);
    /// \returns whether \a result is of an earlier era, or a listing older than the known revision or than the first page of the current listing
    bool isOutdated(const StoreResult& result) const;
    /// \returns whether \a result shows a later era without being the first page of a listing
    bool requiresListing(const StoreResult& result) const;

    std::string m_prefix;
    StoreTiming m_timing;
    Random m_random;
    Instant m_nextReadAt {};
    bool m_readOutstanding = false;
    bool m_listing = true; ///< Whether a listing is in progress; otherwise the store is watched.
    bool m_complete = false;
    std::string m_afterKey;
    StorePosition m_listingPosition; ///< Position of the first page; the watch delivers later changes.
    std::set<std::string> m_listedKeys;
    std::vector<StoreItem> m_listedItems; ///< Items of the current listing, if it is of a later era than \c m_position.
    StorePosition m_position;
    std::uint64_t m_leastRevision = 0; ///< Listings of the known era that are older are outdated.
    StoreEra m_latestEra;
    bool m_mayBeStale = true; ///< Whether the next listing may be stale.
    unsigned m_failures = 0;
};

} // namespace pimentopoint
