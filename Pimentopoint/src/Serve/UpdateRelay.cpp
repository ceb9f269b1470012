#include "UpdateRelay.h"

namespace pimentopoint {

namespace {

    /// Fractions of the maximum update delay: a watch waits for updates for the watch fraction, and its reply may take the margin fraction longer.
    /// When a host becomes unresponsive, its readers lose a watch at that host, its margin and the time of one read of the store.
    constexpr double storeWatchFraction = 0.45;
    constexpr double storeMarginFraction = 0.17;
    constexpr double batchFraction = 0.1; ///< Interval between two watches after an update; limits the calls to the store, each of which has a cost.
    constexpr double hostWatchFraction = 0.2;
    constexpr double hostMarginFraction = 0.12;
    /// Age up to which updates are relayed: a watch of the store and one of a host, their network delays and a margin.
    constexpr double freshFraction = 0.75;
    /// Time without a source after which readers are refused: enough to read from another one.
    constexpr double lostSourceFraction = 0.05;
    /// Time after the start at which the store is watched although no other host of the data centre is known: member lists arrive within it.
    constexpr Duration memberDiscoveryTime = std::chrono::milliseconds(400);
    constexpr Duration cleanupInterval = std::chrono::seconds(5);

    StoreTiming timing(Duration maxUpdateDelay)
    {
        StoreTiming timing;
        timing.watchWait = scaled(maxUpdateDelay, storeWatchFraction);
        timing.watchMargin = scaled(maxUpdateDelay, storeMarginFraction);
        timing.batchInterval = scaled(maxUpdateDelay, batchFraction);
        return timing;
    }

} // namespace

UpdateRelay::UpdateRelay(const MemberRecord& self, Duration maxUpdateDelay, std::uint64_t seed)
    : m_maxUpdateDelay(maxUpdateDelay)
    , m_follower("", timing(maxUpdateDelay), seed)
    , m_source(self)
{
}

void UpdateRelay::tick(Instant now, UpdateActions& actions)
{
    if (!m_startedAt)
        m_startedAt = now;
    startRead(now, actions);
    replyToWaiting(now, actions);
    if (now >= m_nextCleanup) {
        m_nextCleanup = now + cleanupInterval;
        m_mirror.removeExpired(now);
    }
}

void UpdateRelay::startRead(Instant now, UpdateActions& actions)
{
    // Otherwise every host of a fleet that starts would watch the store until it knows the others.
    bool discovering = m_startedAt && now - *m_startedAt < memberDiscoveryTime && !m_source.knowsLocalMembers();
    if (m_follower.complete() && discovering)
        return;
    auto read = m_follower.beginRead(now);
    if (!read)
        return;
    UpdateSource::Choice choice = m_source.choose(now);
    if (choice.host && read->kind == StoreRead::Kind::Watch) {
        read->wait = scaled(m_maxUpdateDelay, hostWatchFraction);
        read->timeout = read->wait + scaled(m_maxUpdateDelay, hostMarginFraction);
    }
    m_readStartedAt = now;
    actions.reads.push_back({ choice, *read });
}

void UpdateRelay::recordConfirmation(const UpdateSource::Choice& source, std::optional<Duration> age, Instant now)
{
    // A host that states no age relays only what is recent enough, but no more is known.
    Instant confirmedAt = source.host ? now - age.value_or(scaled(m_maxUpdateDelay, freshFraction)) : now;
    m_confirmedAt = std::max(m_confirmedAt.value_or(confirmedAt), confirmedAt);
}

void UpdateRelay::recordSourceState(const UpdateSource::Choice& source, bool failed, const std::string& cause, Instant now, UpdateActions& actions)
{
    bool wasLost = m_sourceLostAt.has_value();
    if (failed && !wasLost)
        m_sourceLostAt = now;
    // Two hosts that read from each other would both relay what is outdated.
    if (!failed && !source.isBelow)
        m_sourceLostAt.reset();
    if (wasLost != m_sourceLostAt.has_value())
        actions.sourceChange = { !wasLost, wasLost ? "a read succeeded" : cause };
}

void UpdateRelay::handleResult(const UpdateSource::Choice& source, StoreResult result, std::optional<Duration> statedAge, Instant now, UpdateActions& actions)
{
    bool failed = result.kind == StoreResult::Kind::Failed;
    if (failed) {
        m_source.recordFailure(source, now);
        actions.failedReads.push_back({ source, result.cause, now - m_readStartedAt, age(now) });
    } else {
        m_source.recordSuccess(source);
    }
    actions.previousAge = age(now);
    if (!failed && result.kind != StoreResult::Kind::HistoryLost)
        recordConfirmation(source, statedAge, now);
    recordSourceState(source, failed, result.cause, now, actions);
    StoreUpdate update = m_follower.handleResult(std::move(result), now);
    std::vector<StoreItem> items = m_mirror.apply(update, m_follower.revision(), now);
    actions.updated = actions.updated || !items.empty() || update.allKeys;
    actions.items.insert(actions.items.end(), std::make_move_iterator(items.begin()), std::make_move_iterator(items.end()));
    replyToWaiting(now, actions);
    startRead(now, actions);
}

bool UpdateRelay::isFresh(Instant now) const
{
    bool sourceLost = m_sourceLostAt && now - *m_sourceLostAt >= scaled(m_maxUpdateDelay, lostSourceFraction);
    return m_confirmedAt && now - *m_confirmedAt < scaled(m_maxUpdateDelay, freshFraction) && !sourceLost;
}

void UpdateRelay::handleRead(CallId reader, const StoreRead& read, Instant now, UpdateActions& actions)
{
    // A full read gets a reply even if the known state may be outdated: the reader has no state at all and can't reach the store.
    if (!m_mirror.complete() || (read.kind == StoreRead::Kind::Watch && !isFresh(now)))
        refuse(reader, actions);
    else if (m_mirror.hasUpdates(read))
        reply(reader, read, now, actions);
    else
        m_waiting[reader] = { read, now + read.wait };
}

void UpdateRelay::reply(CallId reader, const StoreRead& read, Instant now, UpdateActions& actions) const
{
    Duration age = m_confirmedAt ? now - *m_confirmedAt : m_maxUpdateDelay;
    actions.replies.push_back({ reader, m_mirror.answer(read), age });
}

void UpdateRelay::refuse(CallId reader, UpdateActions& actions) const
{
    StoreResult refusal;
    refusal.cause = "the updates known here may be outdated";
    actions.replies.push_back({ reader, refusal });
}

void UpdateRelay::replyToWaiting(Instant now, UpdateActions& actions)
{
    bool fresh = isFresh(now);
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
        auto& [reader, each] = *waiting;
        bool due = m_mirror.hasUpdates(each.read) || now >= each.expiresAt;
        if (!due && fresh) {
            ++waiting;
            continue;
        }
        if (fresh)
            reply(reader, each.read, now, actions);
        else
            refuse(reader, actions);
        waiting = m_waiting.erase(waiting);
    }
}

} // namespace pimentopoint
