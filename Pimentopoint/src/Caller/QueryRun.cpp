#include "QueryRun.h"

#include "../Core/util/Constants.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// Time reserved before the deadline to merge and write the answer.
    constexpr Duration answerMargin = std::chrono::milliseconds(4);
    /// The reserved time is at most the time from the start of the query to its deadline, divided by this.
    constexpr int answerMarginDivisor = 10;
    constexpr Duration minHedgeDelay = std::chrono::milliseconds(1);
    /// Maximum number of hedges that follow one attempt; more than one, because among many shards the first hedge of some shard may be slow too.
    constexpr unsigned maxConsecutiveHedges = 2;
    constexpr unsigned maxHedgeBackoffSteps = 16;
    /// Remaining time below which no attempt is started.
    constexpr Duration minRemainingTime = std::chrono::milliseconds(1);
    /// Delay before a query that prefers coverage retries refused shards; multiplied by the number of rounds.
    constexpr Duration retryDelay = std::chrono::milliseconds(15);
    /// Maximum rounds over the replicas of one shard.
    constexpr unsigned maxRetryRounds = 4;
    /// A query was delayed if half of its shards took longer than the time from its start to its reply deadline, divided by this.
    constexpr int congestionDivisor = 3;
    /// A query is replanned only if the remaining time exceeds the time from its start to its reply deadline, divided by this.
    constexpr int replanDivisor = 3;

} // namespace

bool RouteExclusions::excludes(TargetId target, const MemberName& gateway) const
{
    bool targetExcluded = std::find(targets.begin(), targets.end(), target) != targets.end();
    return targetExcluded || std::find(routes.begin(), routes.end(), std::pair(target, gateway)) != routes.end();
}

QueryRun::QueryRun(QueryEnvironment environment, PinnedDocuments documents, const SearchFrontName& searchFront,
    std::uint64_t firstAttempt, Instant start, Instant deadline)
    : m_environment(std::move(environment))
    , m_documents(std::move(documents))
    , m_searchFrontName(searchFront)
    , m_nextAttempt(firstAttempt)
    , m_start(start)
    , m_deadline(deadline)
    , m_replyDeadline(deadline - std::min(answerMargin, (deadline - start) / answerMarginDivisor))
{
    plan();
}

void QueryRun::plan()
{
    m_searchFront = m_documents.configuration->searchFront(m_searchFrontName);
    m_shardGroup = &m_documents.configuration->shardGroups()[m_searchFront->shardGroup()];
    m_coveredKeys = 0;
    m_doneShards = 0;
    m_halfDoneAt.reset();
    m_shards.clear();
    m_shards.resize(m_shardGroup->shards().size());
    for (std::size_t i = 0; i < m_shards.size(); ++i)
        m_shards[i].shard = &m_shardGroup->shards()[i];
    Duration halfObjective = m_searchFront->latencyObjective() / 2;
    Duration observed = m_environment.latencies.quantile(halfObjective);
    // If the search front prefers latency, a hedge must be able to reply within the latency objective.
    m_hedgeDelay = std::max(minHedgeDelay, m_searchFront->preference() == Preference::Latency ? std::min(observed, halfObjective) : observed);
}

QueryActions QueryRun::begin(Instant now)
{
    QueryActions actions;
    for (std::size_t i = 0; i < m_shards.size(); ++i) {
        if (startAttempt(i, AttemptKind::First, now, actions))
            continue;
        m_shards[i].notRunReason = NotRunReason::Unreachable;
        scheduleRetry(m_shards[i], now);
    }
    m_environment.budget.addCredit(actions.attempts.size(), m_searchFront->extraAttemptRatio());
    finishIfDone(now, actions);
    return actions;
}

bool QueryRun::startAttempt(std::size_t index, AttemptKind kind, Instant now, QueryActions& actions)
{
    ShardProgress& progress = m_shards[index];
    if (m_replyDeadline - now < minRemainingTime)
        return false;
    auto route = m_environment.router.choose(m_documents, *progress.shard, m_searchFront->urgency(), progress.exclusions);
    if (!route)
        return false;
    bool extra = kind == AttemptKind::Hedge || kind == AttemptKind::Retry;
    if (extra && !m_environment.budget.tryAcquire())
        return false;
    m_answer.firstAttempts += kind == AttemptKind::First || kind == AttemptKind::Reroute ? 1 : 0;
    m_answer.hedges += kind == AttemptKind::Hedge ? 1 : 0;
    m_answer.retries += kind == AttemptKind::Retry ? 1 : 0;
    std::uint64_t number = m_nextAttempt++;
    m_attempts.emplace(number, Attempt { index, *route, now });
    ++progress.outstanding;
    progress.consecutiveHedges = kind == AttemptKind::Hedge ? progress.consecutiveHedges + 1 : 0;
    progress.hedgeBackoffSteps = 0;
    progress.lastAttemptAt = now;
    progress.retryAt.reset();
    m_environment.router.recordSent(*route);
    actions.attempts.push_back({ *route, { number, route->target, progress.shard->range(), route->hint } });
    return true;
}

void QueryRun::bind(const std::vector<std::uint64_t>& attempts, std::uint64_t tag, std::uint64_t connection)
{
    for (std::uint64_t number : attempts) {
        auto found = m_attempts.find(number);
        if (found == m_attempts.end())
            continue;
        found->second.tag = tag;
        found->second.connection = connection;
    }
}

void QueryRun::acceptReply(ShardProgress& progress, const SubReply& reply, Instant now)
{
    m_coveredKeys += progress.accept(reply);
    m_doneShards += progress.done;
    if (!m_halfDoneAt && 2 * m_doneShards >= m_shards.size())
        m_halfDoneAt = now;
}

QueryActions QueryRun::handleReply(const SubReply& reply, Instant now)
{
    QueryActions actions;
    auto found = m_attempts.find(reply.attempt);
    if (m_finished || found == m_attempts.end())
        return actions;
    Attempt attempt = found->second;
    m_attempts.erase(found);
    ShardProgress& progress = m_shards[attempt.shard];
    --progress.outstanding;
    m_environment.router.recordEnd(attempt.route, &reply);
    bool usable = reply.outcome == Outcome::Answered && reply.snapshot == m_shardGroup->snapshot();
    if (usable && !progress.done)
        acceptReply(progress, reply, now);
    if (usable)
        m_environment.latencies.add(now - attempt.sentAt);
    if (progress.done)
        cancelOutstanding(attempt.shard, actions);
    else
        handleFailure(attempt.shard, attempt, reply, now, actions);
    finishIfDone(now, actions);
    return actions;
}

QueryActions QueryRun::failAttempts(const std::function<bool(const Attempt&)>& selected, const SubReply& reply, Instant now)
{
    QueryActions actions;
    std::vector<std::uint64_t> numbers;
    for (const auto& [number, attempt] : m_attempts) {
        if (selected(attempt))
            numbers.push_back(number);
    }
    std::sort(numbers.begin(), numbers.end());
    for (std::uint64_t number : numbers) {
        auto found = m_attempts.find(number);
        if (m_finished || found == m_attempts.end())
            continue;
        Attempt attempt = found->second;
        m_attempts.erase(found);
        --m_shards[attempt.shard].outstanding;
        m_environment.router.recordEnd(attempt.route, nullptr);
        if (!m_shards[attempt.shard].done)
            handleFailure(attempt.shard, attempt, reply, now, actions);
    }
    finishIfDone(now, actions);
    return actions;
}

QueryActions QueryRun::handleUnsent(std::uint64_t tag, Instant now)
{
    SubReply reply;
    reply.outcome = Outcome::NotRun;
    reply.notRunReason = NotRunReason::Unreachable;
    return failAttempts([tag](const Attempt& attempt) { return attempt.tag == tag; }, reply, now);
}

QueryActions QueryRun::handleConnectionLost(std::uint64_t connection, Instant now)
{
    SubReply reply;
    reply.outcome = Outcome::Unknown;
    reply.unknownReason = UnknownReason::ConnectionLost;
    reply.reachedTarget = true;
    return failAttempts([connection](const Attempt& attempt) { return attempt.connection == connection; }, reply, now);
}

void QueryRun::handleFailure(std::size_t index, const Attempt& attempt, const SubReply& reply, Instant now, QueryActions& actions)
{
    ShardProgress& progress = m_shards[index];
    if (reply.outcome == Outcome::NotRun) {
        progress.notRunReason = reply.notRunReason;
    } else {
        bool reported = reply.outcome == Outcome::Unknown;
        progress.unknownReason = reported ? reply.unknownReason : UnknownReason::InvalidReply;
    }
    if (reply.reachedTarget || reply.outcome != Outcome::NotRun)
        progress.exclusions.targets.push_back(attempt.route.target);
    else
        progress.exclusions.routes.emplace_back(attempt.route.target, attempt.route.gateway);
    if (reply.notRunReason == NotRunReason::Leaving || reply.notRunReason == NotRunReason::TakenOut)
        progress.exclusions.targets.push_back(attempt.route.target);
    if (!progress.outstanding)
        resend(index, reply, now, actions);
}

void QueryRun::resend(std::size_t index, const SubReply& reply, Instant now, QueryActions& actions)
{
    ShardProgress& progress = m_shards[index];
    bool mayHaveRun = progress.unknownReason != UnknownReason::None || !progress.covered.empty();
    if (mayHaveRun && !m_searchFront->idempotent()) {
        progress.failed = true;
        return;
    }
    bool loadsTarget = mayHaveRun || reply.reachedTarget;
    if (startAttempt(index, loadsTarget ? AttemptKind::Retry : AttemptKind::Reroute, now, actions))
        return;
    if (reply.notRunReason == NotRunReason::SnapshotGone && replan(now, actions))
        return;
    scheduleRetry(progress, now);
}

void QueryRun::scheduleRetry(ShardProgress& progress, Instant now)
{
    bool mayHaveRun = progress.unknownReason != UnknownReason::None;
    bool worthwhile = m_searchFront->preference() == Preference::Coverage && ++progress.retryRounds < maxRetryRounds && !mayHaveRun
        && now + retryDelay + minRemainingTime < m_replyDeadline;
    progress.failed = !worthwhile;
    if (!worthwhile)
        return;
    progress.exclusions = {};
    progress.retryAt = now + retryDelay * progress.retryRounds;
}

bool QueryRun::replan(Instant now, QueryActions& actions)
{
    bool timeLeft = (m_replyDeadline - now) * replanDivisor > m_replyDeadline - m_start;
    if (m_replanned || !timeLeft || !m_searchFront->idempotent())
        return false;
    PinnedDocuments newest = m_environment.documents();
    const SearchFront* searchFront = newest.configuration->searchFront(m_searchFrontName);
    bool changed = searchFront && newest.configuration->version() > m_documents.configuration->version();
    if (!changed)
        return false;
    for (const auto& [number, attempt] : m_attempts) {
        actions.cancels.push_back({ attempt.route.endpoint, number });
        m_environment.router.recordAbandoned(attempt.route);
    }
    m_mayHaveRun = true;
    m_attempts.clear();
    actions.attempts.clear();
    m_documents = std::move(newest);
    m_replanned = true;
    plan();
    for (std::size_t i = 0; i < m_shards.size(); ++i) {
        if (!startAttempt(i, AttemptKind::First, now, actions))
            m_shards[i].failed = true;
    }
    return true;
}

void QueryRun::cancelOutstanding(std::size_t shard, QueryActions& actions)
{
    for (auto attempt = m_attempts.begin(); attempt != m_attempts.end();) {
        if (attempt->second.shard != shard) {
            ++attempt;
            continue;
        }
        actions.cancels.push_back({ attempt->second.route.endpoint, attempt->first });
        m_environment.router.recordAbandoned(attempt->second.route);
        attempt = m_attempts.erase(attempt);
    }
    m_shards[shard].outstanding = 0;
}

bool QueryRun::mayHedge(const ShardProgress& progress) const
{
    return m_searchFront->idempotent() && !progress.done && progress.outstanding && progress.consecutiveHedges < maxConsecutiveHedges;
}

void QueryRun::startDueHedges(Instant now, QueryActions& actions)
{
    for (std::size_t i = 0; i < m_shards.size(); ++i) {
        ShardProgress& progress = m_shards[i];
        if (!mayHedge(progress) || now < nextHedgeAt(progress))
            continue;
        // A hedge that finds no route or no credit doubles the delay before the next one.
        progress.hedgeBackoffSteps = std::min(progress.hedgeBackoffSteps + 1, maxHedgeBackoffSteps);
        RouteExclusions previousExclusions = progress.exclusions;
        for (const auto& [number, attempt] : m_attempts) {
            if (attempt.shard == i)
                progress.exclusions.targets.push_back(attempt.route.target);
        }
        if (!startAttempt(i, AttemptKind::Hedge, now, actions))
            progress.exclusions = previousExclusions;
    }
}

void QueryRun::startDueRetries(Instant now, QueryActions& actions)
{
    for (std::size_t i = 0; i < m_shards.size(); ++i) {
        ShardProgress& progress = m_shards[i];
        if (!progress.retryAt || now < *progress.retryAt || progress.done)
            continue;
        progress.retryAt.reset();
        if (!startAttempt(i, AttemptKind::Reroute, now, actions))
            scheduleRetry(progress, now);
    }
}

QueryActions QueryRun::handleTimer(Instant now)
{
    QueryActions actions;
    if (m_finished)
        return actions;
    startDueRetries(now, actions);
    startDueHedges(now, actions);
    finishIfDone(now, actions);
    return actions;
}

Instant QueryRun::partialAnswerAt() const
{
    if (m_searchFront->preference() == Preference::Coverage)
        return m_replyDeadline;
    return std::min(m_replyDeadline, m_start + m_searchFront->latencyObjective());
}

Instant QueryRun::nextWakeup() const
{
    Instant wakeup = m_replyDeadline;
    Instant partialAt = partialAnswerAt();
    for (const ShardProgress& progress : m_shards) {
        if (progress.done)
            continue;
        if (progress.retryAt)
            wakeup = std::min(wakeup, *progress.retryAt);
        if (mayHedge(progress))
            wakeup = std::min(wakeup, nextHedgeAt(progress));
    }
    return coveredFraction().reaches(m_searchFront->enoughCoverage()) ? std::min(wakeup, partialAt) : wakeup;
}

Fraction QueryRun::coveredFraction() const
{
    return Fraction(static_cast<double>(m_coveredKeys) / static_cast<double>(keySpaceEnd));
}

bool QueryRun::allShardsEnded() const
{
    return std::all_of(m_shards.begin(), m_shards.end(), [](const ShardProgress& progress) {
        return progress.done || (!progress.outstanding && !progress.retryAt);
    });
}

void QueryRun::finishIfDone(Instant now, QueryActions& actions)
{
    if (m_finished)
        return;
    bool timedOut = now >= m_replyDeadline;
    bool partialAllowed = now >= partialAnswerAt() && coveredFraction().reaches(m_searchFront->enoughCoverage());
    if (timedOut || partialAllowed || allShardsEnded())
        finish(actions);
}

Congestion QueryRun::congestion() const
{
    auto count = static_cast<std::size_t>(std::count_if(m_shards.begin(), m_shards.end(), [](const ShardProgress& progress) { return progress.refusedByOverload(); }));
    bool halfRefused = 2 * count >= m_shards.size();
    bool halfDelayed = m_halfDoneAt && *m_halfDoneAt - m_start > (m_replyDeadline - m_start) / congestionDivisor;
    if (!halfRefused && !halfDelayed)
        return Congestion::None;
    return m_doneShards < m_shards.size() ? Congestion::Refused : Congestion::Delayed;
}

void QueryRun::finish(QueryActions& actions)
{
    m_finished = true;
    actions.finished = true;
    actions.attempts.clear();
    for (const auto& [number, attempt] : m_attempts) {
        actions.cancels.push_back({ attempt.route.endpoint, number });
        m_environment.router.recordAbandoned(attempt.route);
        m_shards[attempt.shard].unknownReason = UnknownReason::Deadline;
    }
    m_attempts.clear();
    m_answer.snapshot = m_shardGroup->snapshot();
    m_answer.configuration = m_documents.configuration->version();
    internal::mergeShards(m_shards, m_mayHaveRun, m_searchFront->idempotent(), m_answer);
}

} // namespace pimentopoint
