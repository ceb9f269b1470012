#include "UpdateRelay.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// Time after the start at which the store is watched although no other host of the data centre is known: member lists arrive within it.
    constexpr Duration memberDiscoveryTime = std::chrono::milliseconds(400);
    constexpr Duration cleanupInterval = std::chrono::seconds(5);

    StoreTiming followerTiming(const UpdateTiming& timing)
    {
        StoreTiming followerTiming;
        followerTiming.batchInterval = timing.batchInterval();
        return followerTiming;
    }

    Endpoint endpointOf(const UpdateSource::Choice& source) { return source.host.value_or(Endpoint()); }

} // namespace

UpdateRelay::UpdateRelay(const MemberRecord& self, Duration maxUpdateDelay, std::uint64_t seed)
    : m_timing(maxUpdateDelay)
    , m_follower("", followerTiming(m_timing), seed)
    , m_source(self)
{
}

void UpdateRelay::tick(Instant now, UpdateActions& actions)
{
    if (!m_startedAt)
        m_startedAt = now;
    if (m_tickedAt && now - *m_tickedAt >= m_timing.pauseTime())
        handlePause(now);
    m_tickedAt = now;
    giveUpLateReads(now, actions);
    startRead(now, actions);
    startDirectRead(now, actions);
    collect(m_mirror.endRetention(now), actions);
    replyToWaiting(now, actions);
    if (now >= m_nextCleanup) {
        m_nextCleanup = now + cleanupInterval;
        m_mirror.removeExpired(now);
    }
}

void UpdateRelay::handlePause(Instant now)
{
    for (auto& [number, read] : m_reads) {
        if (now >= read.lateAt)
            read.failed = true;
    }
    if (m_currentRead && m_reads.at(*m_currentRead).failed) {
        abandonCurrentRead();
        m_provenSource.reset();
    }
}

void UpdateRelay::abandonCurrentRead()
{
    if (m_currentRead)
        m_reads.at(*m_currentRead).failed = true;
    m_currentRead.reset();
    m_follower.abandonRead();
}

void UpdateRelay::giveUpLateReads(Instant now, UpdateActions& actions)
{
    for (auto& [number, read] : m_reads) {
        if (read.failed || now < read.lateAt)
            continue;
        read.failed = true;
        recordFailure(read, "no reply in time", now, actions);
        if (m_currentRead == number) {
            abandonCurrentRead();
            m_nextAttemptAt = now;
        }
    }
}

void UpdateRelay::start(const UpdateSource::Choice& source, StoreRead read, Duration lateness, Instant now, UpdateActions& actions)
{
    m_latestNumber = ReadNumber(m_latestNumber.value() + 1);
    read.timeout = read.wait + m_timing.replyTimeout();
    m_reads[m_latestNumber] = { source, read, now, now + read.wait + lateness };
    actions.reads.push_back({ m_latestNumber, source, read });
}

void UpdateRelay::startRead(Instant now, UpdateActions& actions)
{
    if (m_currentRead || now < m_nextAttemptAt)
        return;
    // Otherwise every host of a fleet that starts would watch the store until it knows the others.
    bool discovering = m_startedAt && now - *m_startedAt < memberDiscoveryTime && !m_source.knowsLocalMembers();
    if (m_follower.complete() && discovering)
        return;
    auto choice = m_source.choose(now);
    // A listing has no age that would bound the search for a source.
    if (m_follower.listing() && m_failures && !m_source.isAvoided(UpdateSource::Choice(), now))
        choice = UpdateSource::Choice();
    if (!choice)
        return;
    auto read = m_follower.beginRead(now);
    if (!read)
        return;
    bool store = !choice->host;
    // A source that has not replied to the read before only has to show that it replies at all.
    bool proven = m_provenSource == endpointOf(*choice);
    if (read->kind == StoreRead::Kind::Watch) {
        read->wait = store ? m_timing.storeWatchWait(age(now).value_or(Duration::max())) : (proven ? m_timing.hostWatchWait() : Duration(0));
        start(*choice, *read, m_timing.lateness(store, proven), now, actions);
    } else {
        read->wait = Duration(0);
        start(*choice, *read, m_timing.pageLateness(store), now, actions);
    }
    m_currentRead = m_latestNumber;
}

bool UpdateRelay::isReadingStore() const
{
    return std::any_of(m_reads.begin(), m_reads.end(), [](const auto& each) { return !each.second.source.host && !each.second.failed; });
}

void UpdateRelay::startDirectRead(Instant now, UpdateActions& actions)
{
    // A host that has just started with a page of unknown age finds a source before it reads the store.
    Instant confirmedAt = m_confirmedAt.value_or(*m_startedAt);
    bool old = m_follower.complete() && !m_follower.listing() && now - confirmedAt >= m_timing.directReadAge(m_source.rankFraction());
    if (!old) {
        m_oldSince.reset();
        return;
    }
    if (!m_oldSince)
        m_oldSince = now;
    if (now - *m_oldSince < m_timing.directReadDelay() || isReadingStore() || m_source.isAvoided(UpdateSource::Choice(), now))
        return;
    StoreRead read;
    read.kind = StoreRead::Kind::Watch;
    read.afterRevision = m_follower.position().revision;
    read.era = m_follower.position().era;
    start({}, read, m_timing.lateness(true, false), now, actions);
}

void UpdateRelay::recordFailure(const OutstandingRead& read, const std::string& cause, Instant now, UpdateActions& actions)
{
    m_source.recordFailure(read.source, now);
    actions.failedReads.push_back({ read.source, cause, now - read.startedAt, age(now) });
    ++m_failures;
    if (!read.source.host && !m_storeLostAt)
        m_storeLostAt = now;
    if (!m_sourceLostAt) {
        m_sourceLostAt = now;
        actions.sourceChange = { true, read.source, cause };
    }
}

void UpdateRelay::recordConfirmation(const OutstandingRead& read, std::optional<ReplyAge> replyAge, Instant now)
{
    Instant confirmedAt = now;
    if (read.source.host) {
        // The relay held the read from its arrival, which was not before the start of the read. A relay that states no age relays
        // only what is recent enough, but no more is known.
        confirmedAt = replyAge ? read.startedAt + replyAge->held - replyAge->age : now - m_timing.freshAge();
    } else if (now >= read.lateAt) {
        confirmedAt = read.startedAt;
    }
    m_confirmedAt = std::max(m_confirmedAt.value_or(confirmedAt), confirmedAt);
}

void UpdateRelay::recordSuccess(const OutstandingRead& read, const StoreResult& result, std::optional<ReplyAge> replyAge, Instant now, UpdateActions& actions)
{
    m_source.recordSuccess(read.source);
    m_failures = 0;
    m_nextAttemptAt = now;
    // Two hosts that read from each other would both relay what is outdated.
    if (!read.source.isBelow) {
        m_storeLostAt.reset();
        if (m_sourceLostAt)
            actions.sourceChange = { false, read.source, "a read succeeded" };
        m_sourceLostAt.reset();
    }
    bool stale = !read.source.host && read.read.mayBeStale;
    // Changes of a later era are not used, and the pages of a listing only together.
    bool used = result.kind == StoreResult::Kind::Changes ? result.era == m_follower.position().era : result.kind == StoreResult::Kind::Items && !result.hasMore;
    if (used && !stale)
        recordConfirmation(read, replyAge, now);
}

StoreUpdate UpdateRelay::applyToFollower(ReadNumber number, const OutstandingRead& read, StoreResult result, Instant now)
{
    if (m_currentRead == number) {
        m_currentRead.reset();
        m_provenSource = endpointOf(read.source);
        return m_follower.handleResult(std::move(result), now);
    }
    if (m_follower.handleLaterEra(result.era)) {
        abandonCurrentRead();
        return {};
    }
    switch (result.kind) {
    case StoreResult::Kind::Changes:
        return m_follower.listing() ? StoreUpdate() : m_follower.handleAdditionalChanges(std::move(result));
    case StoreResult::Kind::Items: {
        // A late first page is as good as that of the read that replaced it.
        bool wanted = m_follower.listing() && m_currentRead && read.read.afterKey.empty() && m_reads.at(*m_currentRead).read.afterKey.empty();
        if (!wanted)
            return {};
        m_reads.at(*m_currentRead).failed = true;
        m_currentRead.reset();
        return m_follower.handleResult(std::move(result), now);
    }
    case StoreResult::Kind::HistoryLost:
        if (!read.source.host && !m_follower.listing()) {
            m_follower.handleHistoryLost();
            abandonCurrentRead();
        }
        return {};
    case StoreResult::Kind::Failed:
        return {};
    }
    return {};
}

void UpdateRelay::observe(const OutstandingRead& read, const StoreResult& result, UpdateActions& actions) const
{
    const StorePosition& known = m_follower.position();
    if (m_follower.complete() && result.era > m_follower.latestEra())
        actions.eraChange = { read.source, known.era, result.era, known.revision, result.revision };
    else if (result.kind == StoreResult::Kind::Items && result.era == known.era && result.revision < known.revision)
        actions.outdatedListing = { read.source, known.revision, result.revision };
}

void UpdateRelay::collect(std::vector<StoreItem> items, UpdateActions& actions) const
{
    actions.updated = actions.updated || !items.empty();
    actions.items.insert(actions.items.end(), std::make_move_iterator(items.begin()), std::make_move_iterator(items.end()));
}

void UpdateRelay::handleResult(ReadNumber number, StoreResult result, std::optional<ReplyAge> replyAge, Instant now, UpdateActions& actions)
{
    auto found = m_reads.find(number);
    if (found == m_reads.end())
        return;
    OutstandingRead read = found->second;
    m_reads.erase(found);
    if (result.kind != StoreResult::Kind::Failed && result.era < m_follower.latestEra()) {
        result = StoreResult();
        result.cause = "the reply is of an earlier era of the store";
    }
    if (result.kind == StoreResult::Kind::Failed) {
        if (!read.failed)
            recordFailure(read, result.cause, now, actions);
        if (m_currentRead == number) {
            m_currentRead.reset();
            m_follower.abandonRead();
            m_nextAttemptAt = now + m_timing.retryDelay(m_failures);
        }
    } else {
        actions.previousAge = age(now);
        observe(read, result, actions);
        recordSuccess(read, result, replyAge, now, actions);
        bool revisionUnknown = result.kind == StoreResult::Kind::HistoryLost && !read.source.host;
        StoreUpdate update = applyToFollower(number, read, std::move(result), now);
        if (revisionUnknown)
            m_follower.forgetRevision();
        actions.updated = actions.updated || update.allKeys;
        collect(m_mirror.apply(update, m_follower.position(), now), actions);
    }
    replyToWaiting(now, actions);
    startRead(now, actions);
}

bool UpdateRelay::hasLostStore(Instant now) const
{
    return m_storeLostAt && now - *m_storeLostAt >= m_timing.lostStoreTime();
}

bool UpdateRelay::isFresh(Instant now) const
{
    return m_confirmedAt && now - *m_confirmedAt < m_timing.freshAge() && !hasLostStore(now);
}

void UpdateRelay::handleRead(CallId reader, const StoreRead& read, Instant now, UpdateActions& actions)
{
    WaitingRead waiting { read, now, m_confirmedAt };
    // A full read gets a reply even if the known state may be outdated: the reader has no state at all and can't reach the store.
    bool relayable = read.kind == StoreRead::Kind::Page || isFresh(now);
    // What a reader of a later era knows is newer.
    bool earlier = read.era && *read.era > m_mirror.position().era;
    if (!m_mirror.complete() || earlier || (!relayable && hasLostStore(now)))
        refuse(reader, actions);
    else if (relayable && (m_mirror.hasUpdates(read) || read.wait <= Duration(0)))
        reply(reader, waiting, now, actions);
    else
        m_waiting[reader] = waiting;
}

void UpdateRelay::reply(CallId reader, const WaitingRead& waiting, Instant now, UpdateActions& actions) const
{
    // What was never confirmed may be of any age.
    ReplyAge replyAge { age(now).value_or(std::chrono::hours(1)), now - waiting.arrivedAt };
    actions.replies.push_back({ reader, m_mirror.answer(waiting.read), replyAge });
}

void UpdateRelay::refuse(CallId reader, UpdateActions& actions) const
{
    StoreResult refusal;
    refusal.cause = "the updates known here may be outdated";
    actions.replies.push_back({ reader, refusal, {} });
}

void UpdateRelay::replyToWaiting(Instant now, UpdateActions& actions)
{
    bool fresh = isFresh(now);
    for (auto waiting = m_waiting.begin(); waiting != m_waiting.end();) {
        auto& [reader, each] = *waiting;
        bool confirmed = m_confirmedAt && each.confirmedAt && *m_confirmedAt - *each.confirmedAt >= m_timing.confirmationStep();
        bool due = confirmed || m_mirror.hasUpdates(each.read) || now - each.arrivedAt >= each.read.wait;
        // A host that is about to read the store would otherwise lose all its readers.
        bool mayBecomeFresh = !fresh && !hasLostStore(now) && now - each.arrivedAt < m_timing.refusalDelay();
        if ((!due && fresh) || mayBecomeFresh) {
            ++waiting;
            continue;
        }
        if (fresh)
            reply(reader, each, now, actions);
        else
            refuse(reader, actions);
        waiting = m_waiting.erase(waiting);
    }
}

} // namespace pimentopoint
