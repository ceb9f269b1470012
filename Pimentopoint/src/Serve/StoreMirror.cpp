#include "StoreMirror.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// For which removals are remembered: a reader that was away for longer reads everything.
    constexpr Duration removalMemory = std::chrono::seconds(60);

} // namespace

std::vector<StoreItem> StoreMirror::apply(const StoreUpdate& news, std::uint64_t asOf, Instant now)
{
    std::vector<StoreItem> fresh;
    for (const StoreItem& item : news.changes) {
        auto [at, added] = m_entries.try_emplace(item.key);
        if (!added && item.revision <= at->second.revision)
            continue;
        at->second = { item.value, item.revision, item.removed, now };
        fresh.push_back(item);
    }
    if (news.allKeys) {
        for (auto& [key, entry] : m_entries) {
            if (entry.removed || news.allKeys->contains(key) || entry.revision > asOf)
                continue;
            entry = { {}, asOf, true, now };
            fresh.push_back({ key, {}, asOf, true });
        }
        if (!m_historyStart)
            m_historyStart = asOf;
    }
    m_revision = std::max(m_revision, asOf);
    return fresh;
}

StoreResult StoreMirror::answer(const StoreRead& read) const
{
    StoreResult result;
    result.revision = m_revision;
    bool page = read.kind == StoreRead::Kind::Page;
    if (!m_historyStart) {
        result.cause = "nothing was read yet";
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
        if (!entry.removed || now - entry.changedAt < removalMemory)
            return false;
        m_historyStart = std::max(m_historyStart.value_or(0), entry.revision);
        return true;
    });
}

} // namespace pimentopoint
