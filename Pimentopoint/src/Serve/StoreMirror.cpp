#include "StoreMirror.h"

#include <algorithm>
#include <string_view>

namespace pimentopoint {

namespace {

    /// Time for which removals are kept; a reader that was disconnected for longer has to list everything.
    constexpr Duration removalRetention = std::chrono::seconds(60);

} // namespace

std::vector<StoreItem> StoreMirror::apply(const StoreUpdate& update, std::uint64_t revision, Instant now)
{
    std::vector<StoreItem> changed;
    std::map<std::string_view, std::size_t> positions; ///< Positions of the items in \c changed, by key.
    for (const StoreItem& item : update.changes) {
        auto [at, added] = m_entries.try_emplace(item.key);
        if (!added && item.revision <= at->second.revision)
            continue;
        at->second = { item.value, item.revision, item.removed, now };
        auto [position, first] = positions.try_emplace(item.key, changed.size());
        if (first)
            changed.push_back(item);
        else
            changed[position->second] = item;
    }
    if (update.allKeys) {
        for (auto& [key, entry] : m_entries) {
            if (entry.removed || update.allKeys->contains(key) || entry.revision > revision)
                continue;
            entry = { {}, revision, true, now };
            changed.push_back({ key, {}, revision, true });
        }
        if (!m_historyStart)
            m_historyStart = revision;
    }
    m_revision = std::max(m_revision, revision);
    return changed;
}

StoreResult StoreMirror::answer(const StoreRead& read) const
{
    StoreResult result;
    result.revision = m_revision;
    bool page = read.kind == StoreRead::Kind::Page;
    if (!m_historyStart) {
        result.cause = "store has not been read yet";
        return result;
    }
    if (!page && read.afterRevision < *m_historyStart) {
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
