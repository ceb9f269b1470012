#include "StoreFollower.h"

#include <algorithm>

namespace pimentopoint {

StoreFollower::StoreFollower(std::string prefix, StoreTiming timing, std::uint64_t seed)
    : m_prefix(std::move(prefix))
    , m_timing(timing)
    , m_random(seed)
{
}

std::optional<Instant> StoreFollower::nextReadAt() const
{
    return m_readOutstanding ? std::nullopt : std::optional(m_nextReadAt);
}

std::optional<StoreRead> StoreFollower::beginRead(Instant now)
{
    if (m_readOutstanding || now < m_nextReadAt)
        return std::nullopt;
    m_readOutstanding = true;
    StoreRead read;
    read.prefix = m_prefix;
    if (m_listing) {
        read.kind = StoreRead::Kind::Page;
        read.afterKey = m_afterKey;
        read.mayBeStale = m_mayBeStale;
    } else {
        read.kind = StoreRead::Kind::Watch;
        read.afterRevision = m_revision;
    }
    return read;
}

void StoreFollower::restartListing()
{
    m_listing = true;
    m_afterKey.clear();
    m_listedKeys.clear();
    m_listingRevision = 0;
}

StoreUpdate StoreFollower::applyPage(StoreResult& result)
{
    StoreUpdate update;
    if (m_afterKey.empty())
        m_listingRevision = result.revision;
    for (const StoreItem& item : result.items)
        m_listedKeys.insert(item.key);
    if (result.hasMore && !result.items.empty()) {
        m_afterKey = result.items.back().key;
    } else {
        update.allKeys = std::move(m_listedKeys);
        m_revision = m_listingRevision;
        m_complete = true;
        restartListing();
        m_listing = false;
    }
    update.changes = std::move(result.items);
    return update;
}

bool StoreFollower::isOutdated(const StoreResult& result) const
{
    return result.kind == StoreResult::Kind::Items && result.revision < std::max(m_revision, m_listingRevision);
}

StoreUpdate StoreFollower::handleResult(StoreResult result, Instant now)
{
    m_readOutstanding = false;
    if (isOutdated(result)) {
        // The source's listing is older than the known revision, so items missing from it have not necessarily been removed.
        m_mayBeStale = false;
        restartListing();
        result.kind = StoreResult::Kind::Failed;
    }
    if (result.kind == StoreResult::Kind::Failed) {
        Duration maxDelay = std::min(m_timing.maxRetryDelay, m_timing.initialRetryDelay * (1U << std::min(m_failures, 6U)));
        ++m_failures;
        m_nextReadAt = now + Duration(static_cast<Duration::rep>((1 + m_random.fraction()) / 2 * static_cast<double>(maxDelay.count())));
        return {};
    }
    m_failures = 0;
    m_nextReadAt = now;
    if (result.kind == StoreResult::Kind::HistoryLost) {
        handleHistoryLost();
        return {};
    }
    if (result.kind == StoreResult::Kind::Items)
        return applyPage(result);
    StoreUpdate update = applyChanges(result);
    if (!update.changes.empty())
        m_nextReadAt = now + m_timing.batchInterval;
    return update;
}

void StoreFollower::handleHistoryLost()
{
    m_mayBeStale = false;
    restartListing();
}

StoreUpdate StoreFollower::applyChanges(StoreResult& result)
{
    StoreUpdate update;
    std::stable_sort(result.items.begin(), result.items.end(), [](const StoreItem& a, const StoreItem& b) { return a.revision < b.revision; });
    for (StoreItem& item : result.items) {
        if (item.revision > m_revision)
            update.changes.push_back(std::move(item));
    }
    m_revision = std::max(m_revision, result.revision);
    return update;
}

} // namespace pimentopoint
