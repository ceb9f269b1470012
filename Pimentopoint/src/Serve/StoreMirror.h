#pragma once

#include "StoreFollower.h"

#include <map>

namespace pimentopoint {

/// \class StoreMirror
/// \ingroup Serve
/// \brief Copy of the platform's store on a host, from which other hosts can read.
/// \details Replies to a StoreRead as the store would: with all items, or with the changes after a revision. Removals are kept for a
/// limited time; a reader that requests changes from before that has to list everything.
///
/// A store that has returned from an older copy lacks what was written since, until its writers have written again. Where its listing
/// differs from what was known, what was known is kept for that time, unless a write of the new era comes first.
class StoreMirror {
public:
    /// \brief Applies \a update, after which the store's content at \a position is known.
    /// \returns the items that changed: those with a larger revision than the known one, only the latest of several changes of a key, and
    /// removals of items that a full listing no longer has. Items that may be older than what was known have StoreItem::mayBeOlder set.
    std::vector<StoreItem> apply(const StoreUpdate& update, StorePosition position, Instant now);
    /// \returns the changes by which what was kept since the store returned now gives way to the store's content
    std::vector<StoreItem> endRetention(Instant now);

    /// \returns whether a full listing was applied at least once
    bool complete() const { return m_historyStart.has_value(); }
    const StorePosition& position() const { return m_position; }
    /// \returns whether \a read can be served now rather than wait for changes
    bool hasUpdates(const StoreRead& read) const { return read.kind == StoreRead::Kind::Page || m_position.revision > read.afterRevision || !hasHistory(read); }
    StoreResult answer(const StoreRead& read) const;
    /// Deletes removals that are older than the time for which they are kept.
    void removeExpired(Instant now);

private:
    struct Entry {
        std::string value;
        std::uint64_t revision = 0;
        bool removed = false;
        Instant changedAt {};
    };

    /// \returns whether all changes since the revision that \a read states are known
    bool hasHistory(const StoreRead& read) const;
    /// Replaces the content by a listing whose revisions can't be compared with the known ones.
    std::vector<StoreItem> replace(const StoreUpdate& listing, StorePosition position, Instant now);

    std::map<std::string, Entry> m_entries;
    std::optional<std::uint64_t> m_historyStart; ///< Revision after which all changes are known.
    StorePosition m_position;
    std::map<std::string, Entry> m_retained; ///< What was known before the store returned and is kept for a while.
    Instant m_retainedUntil {};
};

} // namespace pimentopoint
