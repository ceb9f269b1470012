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
        read.afterRevision = m_position.revision;
        read.era = m_position.era;
    }
    return read;
}

void StoreFollower::restartListing()
{
    m_listing = true;
    m_afterKey.clear();
    m_listedKeys.clear();
    m_listedItems.clear();
    m_listingPosition = {};
}

StoreUpdate StoreFollower::applyPage(StoreResult& result)
{
    StoreUpdate update;
    if (m_afterKey.empty())
        m_listingPosition = { result.era, result.revision };
    for (const StoreItem& item : result.items)
        m_listedKeys.insert(item.key);
    bool ended = !result.hasMore || result.items.empty();
    if (!ended)
        m_afterKey = result.items.back().key;
    update.changes = std::move(result.items);
    if (m_complete && m_listingPosition.era != m_position.era) {
        m_listedItems.insert(m_listedItems.end(), std::make_move_iterator(update.changes.begin()), std::make_move_iterator(update.changes.end()));
        update.changes.clear();
        if (ended)
            update.changes = std::move(m_listedItems);
    }
    if (ended) {
        update.allKeys = std::move(m_listedKeys);
        m_position = m_listingPosition;
        m_leastRevision = m_position.revision;
        m_complete = true;
        restartListing();
        m_listing = false;
    }
    return update;
}

bool StoreFollower::isOutdated(const StoreResult& result) const
{
    if (result.kind == StoreResult::Kind::Failed)
        return false;
    if (result.era != m_latestEra)
        return result.era < m_latestEra;
    std::uint64_t leastRevision = result.era == m_position.era ? m_leastRevision : 0;
    return result.kind == StoreResult::Kind::Items && result.revision < std::max(leastRevision, m_listingPosition.revision);
}

bool StoreFollower::requiresListing(const StoreResult& result) const
{
    if (result.kind == StoreResult::Kind::Items)
        return !m_afterKey.empty() && result.era > m_listingPosition.era;
    return result.era > m_position.era;
}

bool StoreFollower::handleLaterEra(StoreEra era)
{
    if (era <= m_latestEra)
        return false;
    m_latestEra = era;
    handleHistoryLost();
    return true;
}

StoreUpdate StoreFollower::handleResult(StoreResult result, Instant now)
{
    m_readOutstanding = false;
    if (isOutdated(result)) {
        // The source's listing is older than the known revision, so items missing from it have not necessarily been removed.
        if (result.kind == StoreResult::Kind::Items)
            handleHistoryLost();
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
    m_latestEra = std::max(m_latestEra, result.era);
    if (result.kind == StoreResult::Kind::HistoryLost || requiresListing(result)) {
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
    if (result.era != m_position.era)
        return update;
    std::stable_sort(result.items.begin(), result.items.end(), [](const StoreItem& a, const StoreItem& b) { return a.revision < b.revision; });
    for (StoreItem& item : result.items) {
        if (item.revision > m_position.revision)
            update.changes.push_back(std::move(item));
    }
    m_position.revision = std::max(m_position.revision, result.revision);
    m_leastRevision = m_position.revision;
    return update;
}

} // namespace pimentopoint
