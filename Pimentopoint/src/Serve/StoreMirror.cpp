#include "StoreMirror.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace pimentopoint {

namespace {

    /// Time for which removals are kept; a reader that was disconnected for longer has to list everything.
    constexpr Duration removalRetention = std::chrono::seconds(60);
    /// Time for which what was known is kept after the store returned: its writers have written again within about two seconds.
    constexpr Duration returnRetention = std::chrono::milliseconds(2500);

} // namespace

std::vector<StoreItem> StoreMirror::apply(const StoreUpdate& update, StorePosition position, Instant now)
{
    bool comparable = position.era == m_position.era && position.revision >= m_position.revision;
    if (complete() && update.allKeys && !comparable)
        return replace(update, position, now);
    std::vector<StoreItem> changed;
    std::map<std::string_view, std::size_t> positions; ///< Positions of the items in \c changed, by key.
    for (const StoreItem& item : update.changes) {
        auto [at, added] = m_entries.try_emplace(item.key);
        if (!added && complete() && item.revision <= at->second.revision)
            continue;
        at->second = { item.value, item.revision, item.removed, now };
        m_retained.erase(item.key);
        auto [index, first] = positions.try_emplace(item.key, changed.size());
        if (first)
            changed.push_back(item);
        else
            changed[index->second] = item;
    }
    if (update.allKeys) {
        for (auto& [key, entry] : m_entries) {
            if (entry.removed || update.allKeys->contains(key) || (complete() && entry.revision > position.revision))
                continue;
            entry = { {}, position.revision, true, now };
            m_retained.erase(key);
            changed.push_back({ key, {}, position.revision, true });
        }
        if (!m_historyStart)
            m_historyStart = position.revision;
    }
    m_position = std::max(m_position, position);
    return changed;
}

std::vector<StoreItem> StoreMirror::replace(const StoreUpdate& listing, StorePosition position, Instant now)
{
    std::map<std::string, Entry> known = std::exchange(m_entries, {});
    for (auto& [key, entry] : m_retained)
        known[key] = std::move(entry);
    m_retained.clear();
    std::vector<StoreItem> changed;
    for (const StoreItem& item : listing.changes) {
        m_entries[item.key] = { item.value, item.revision, false, now };
        auto found = known.find(item.key);
        if (found == known.end()) {
            changed.push_back(item);
            continue;
        }
        bool same = !found->second.removed && found->second.value == item.value;
        if (!same) {
            changed.push_back(item);
            changed.back().mayBeOlder = true;
            m_retained.insert(std::move(*found));
        }
        known.erase(found);
    }
    std::erase_if(known, [](const auto& each) { return each.second.removed; });
    m_retained.merge(known);
    m_retainedUntil = now + returnRetention;
    m_historyStart = position.revision;
    m_position = position;
    return changed;
}

std::vector<StoreItem> StoreMirror::endRetention(Instant now)
{
    std::vector<StoreItem> changed;
    if (now < m_retainedUntil)
        return changed;
    for (const auto& [key, retained] : std::exchange(m_retained, {})) {
        auto found = m_entries.find(key);
        bool removed = found == m_entries.end() || found->second.removed;
        changed.push_back({ key, removed ? std::string() : found->second.value, removed ? m_position.revision : found->second.revision, removed });
    }
    return changed;
}

bool StoreMirror::hasHistory(const StoreRead& read) const
{
    bool otherEra = read.era && *read.era != m_position.era;
    return m_historyStart && !otherEra && read.afterRevision >= *m_historyStart;
}

StoreResult StoreMirror::answer(const StoreRead& read) const
{
    StoreResult result;
    result.era = m_position.era;
    result.revision = m_position.revision;
    bool page = read.kind == StoreRead::Kind::Page;
    if (!m_historyStart) {
        result.cause = "store has not been read yet";
        return result;
    }
    if (!page && !hasHistory(read)) {
        result.kind = StoreResult::Kind::HistoryLost;
        return result;
    }
    result.kind = page ? StoreResult::Kind::Items : StoreResult::Kind::Changes;
    for (const auto& [key, entry] : m_entries) {
        bool wanted = page ? !entry.removed : entry.revision > read.afterRevision;
        if (wanted && key.starts_with(read.prefix))
            result.items.push_back({ key, entry.value, entry.revision, entry.removed });
    }
    return result;
}

void StoreMirror::removeExpired(Instant now)
{
    std::erase_if(m_entries, [&](const auto& each) {
        const Entry& entry = each.second;
        if (!entry.removed || now - entry.changedAt < removalRetention)
            return false;
        m_historyStart = std::max(m_historyStart.value_or(0), entry.revision);
        return true;
    });
}

} // namespace pimentopoint
