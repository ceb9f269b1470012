#pragma once

#include "StoreFollower.h"

#include <map>

namespace pimentopoint {

/// \class StoreMirror
/// \ingroup Serve
/// \brief What a host knows of the platform's store, kept so that other hosts can read it from here.
/// \details Answers a StoreRead as the store would: all items, or what changed after a revision. Removals are remembered for a
/// while; who asks for changes from before that has to read everything.
class StoreMirror {
public:
    /// \returns what is new here: items with a larger revision than the one known, and what a full reading no longer has
    std::vector<StoreItem> apply(const StoreUpdate& news, std::uint64_t asOf, Instant now);

    /// \returns whether everything was read once
    bool complete() const { return m_historyStart.has_value(); }
    std::uint64_t revision() const { return m_revision; }
    /// \returns whether an answer to \a read has anything to say now
    bool hasUpdates(const StoreRead& read) const { return read.kind == StoreRead::Kind::Page || m_revision > read.afterRevision || !m_historyStart || read.afterRevision < *m_historyStart; }
    /// \returns the answer to \a read
    StoreResult answer(const StoreRead& read) const;
    /// Drops removals that are older than any reader's gap.
    void removeExpired(Instant now);

private:
    struct Entry {
        std::string value;
        std::uint64_t revision = 0;
        bool removed = false;
        Instant changedAt {};
    };

    std::map<std::string, Entry> m_entries;
    std::optional<std::uint64_t> m_historyStart; ///< Changes after this revision are all known.
    std::uint64_t m_revision = 0;
};

} // namespace pimentopoint
