#include "StoreFollower.h"

#include <algorithm>

namespace pimentopoint {

StoreFollower::StoreFollower(std::string prefix, StoreTiming timing, std::uint64_t seed)
    : m_prefix(std::move(prefix))
    , m_timing(timing)
    , m_random(seed)
{
}

std::optional<Instant> StoreFollower::due() const
{
    return m_running ? std::nullopt : std::optional(m_due);
}

std::optional<StoreRead> StoreFollower::begin(Instant now)
{
    if (m_running || now < m_due)
        return std::nullopt;
    m_running = true;
    StoreRead read;
    read.prefix = m_prefix;
    if (m_reading) {
        read.kind = StoreRead::Kind::Page;
        read.afterKey = m_afterKey;
        read.timeout = m_timing.readTimeout;
    } else {
        read.kind = StoreRead::Kind::Watch;
        read.afterRevision = m_revision;
        read.wait = m_timing.watchWait;
        read.timeout = m_timing.watchWait + m_timing.watchSlack;
    }
    return read;
}

void StoreFollower::restart()
{
    m_reading = true;
    m_afterKey.clear();
    m_keys.clear();
    m_readAsOf = 0;
}

StoreNews StoreFollower::takePage(StoreResult& result)
{
    StoreNews news;
    if (m_afterKey.empty())
        m_readAsOf = result.asOf;
    for (const StoreItem& item : result.items)
        m_keys.insert(item.key);
    if (result.more && !result.items.empty()) {
        m_afterKey = result.items.back().key;
    } else {
        news.allKeys = std::move(m_keys);
        m_revision = m_readAsOf;
        m_complete = true;
        restart();
        m_reading = false;
    }
    news.changes = std::move(result.items);
    return news;
}

bool StoreFollower::goesBack(const StoreResult& result) const
{
    return result.kind == StoreResult::Kind::Items && result.asOf < std::max(m_revision, m_readAsOf);
}

StoreNews StoreFollower::finish(StoreResult result, Instant now)
{
    m_running = false;
    if (goesBack(result)) {
        // Another host's reading from before ours: what it lacks is not gone.
        restart();
        result.kind = StoreResult::Kind::Failed;
    }
    if (result.kind == StoreResult::Kind::Failed) {
        Duration longest = std::min(m_timing.longestRetry, m_timing.firstRetry * (1U << std::min(m_failures, 6U)));
        ++m_failures;
        m_due = now + Duration(static_cast<Duration::rep>((1 + m_random.fraction()) / 2 * static_cast<double>(longest.count())));
        return {};
    }
    m_failures = 0;
    m_due = now;
    if (result.kind == StoreResult::Kind::HistoryLost) {
        restart();
        return {};
    }
    if (result.kind == StoreResult::Kind::Items)
        return takePage(result);
    StoreNews news;
    std::stable_sort(result.items.begin(), result.items.end(), [](const StoreItem& a, const StoreItem& b) { return a.revision < b.revision; });
    for (StoreItem& item : result.items) {
        if (item.revision > m_revision)
            news.changes.push_back(std::move(item));
    }
    m_revision = std::max(m_revision, result.asOf);
    if (!news.changes.empty())
        m_due = now + m_timing.gatherTime;
    return news;
}

} // namespace pimentopoint
