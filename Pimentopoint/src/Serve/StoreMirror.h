#pragma once

#include "StoreFollower.h"

#include <map>

namespace pimentopoint {

/// \class StoreMirror
/// \ingroup Serve
/// \brief Copy of the platform's store on a host, from which other hosts can read.
/// \details Replies to a StoreRead as the store would: with all items, or with the changes after a revision. Removals are kept for a
/// limited time; a reader that requests changes from before that has to list everything.
class StoreMirror {
public:
    /// \returns the items that changed: those with a larger revision than the known one, only the latest of several changes of a key, and
    /// removals of items that a full listing no longer has
    std::vector<StoreItem> apply(const StoreUpdate& update, std::uint64_t revision, Instant now);

    /// \returns whether a full listing was applied at least once
    bool complete() const { return m_historyStart.has_value(); }
    std::uint64_t revision() const { return m_revision; }
    /// \returns whether \a read can be served now rather than wait for changes
    bool hasUpdates(const StoreRead& read) const { return read.kind == StoreRead::Kind::Page || m_revision > read.afterRevision || !m_historyStart || read.afterRevision < *m_historyStart; }
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

    std::map<std::string, Entry> m_entries;
    std::optional<std::uint64_t> m_historyStart; ///< Revision after which all changes are known.
    std::uint64_t m_revision = 0;
};

} // namespace pimentopoint
