#include "QueryRun.h"

#include "../Core/util/Constants.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// Time kept back to merge and write the answer.
    constexpr Duration answerMargin = std::chrono::milliseconds(4);
    /// The same, as one part in so many of a short deadline.
    constexpr int answerMarginPart = 10;
    /// Shortest wait before a hedge.
    constexpr Duration shortestHedgeDelay = std::chrono::milliseconds(1);
    /// Most hedges of one send: of many shards, one may be late twice.
    constexpr unsigned maxHedges = 2;
    constexpr unsigned maxHedgeDoublings = 16;
    /// Time left below which nothing new is sent.
    constexpr Duration leastUsefulTime = std::chrono::milliseconds(1);
    /// Wait before a coverage-first query tries refused shards anew.
    constexpr Duration retryPause = std::chrono::milliseconds(15);
    /// Most rounds over the replicas of one shard.
    constexpr unsigned maxRounds = 4;
    /// Shards that take more than this part of the time allowed, as one in so many, have waited long.
    constexpr int congestionPart = 3;
    /// A replan needs this part of the whole time to be left, as one in so many.
    constexpr int replanPart = 3;

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
    , m_frontName(searchFront)
    , m_nextAttempt(firstAttempt)
    , m_start(start)
    , m_deadline(deadline)
    , m_replyDeadline(deadline - std::min(answerMargin, (deadline - start) / answerMarginPart))
{
    plan();
}

void QueryRun::plan()
{
    m_front = m_documents.configuration->searchFront(m_frontName);
    m_group = &m_documents.configuration->shardGroups()[m_front->shardGroup()];
    m_coveredKeys = 0;
    m_doneShards = 0;
    m_halfDoneAt.reset();
    m_shards.clear();
    m_shards.resize(m_group->shards().size());
    for (std::size_t i = 0; i < m_shards.size(); ++i)
        m_shards[i].shard = &m_group->shards()[i];
    Duration half = m_front->latencyObjective() / 2;
    Duration learned = m_environment.latencies.quantile(half);
    // Where latency is weighed, a hedge is to come back within the objective.
    m_hedgeDelay = std::max(shortestHedgeDelay, m_front->weighs() == Weighs::Latency ? std::min(learned, half) : learned);
}

RunActions QueryRun::begin(Instant now)
{
    RunActions actions;
    for (std::size_t i = 0; i < m_shards.size(); ++i) {
        if (send(i, SendKind::First, now, actions))
            continue;
        m_shards[i].refusal = NotRunReason::Unreachable;
        retryLater(m_shards[i], now);
    }
    m_environment.budget.earn(actions.sends.size(), m_front->extraSends());
    settle(now, actions);
    return actions;
}

bool QueryRun::send(std::size_t index, SendKind kind, Instant now, RunActions& actions)
{
    ShardRun& run = m_shards[index];
    if (m_replyDeadline - now < leastUsefulTime)
        return false;
    auto route = m_environment.router.choose(m_documents, *run.shard, m_front->urgency(), run.exclusions);
    if (!route)
        return false;
    bool extra = kind == SendKind::Hedge || kind == SendKind::Retry;
    if (extra && !m_environment.budget.spend())
        return false;
    m_answer.firstSends += kind == SendKind::First || kind == SendKind::Reroute ? 1 : 0;
    m_answer.hedges += kind == SendKind::Hedge ? 1 : 0;
    m_answer.retries += kind == SendKind::Retry ? 1 : 0;
    std::uint64_t number = m_nextAttempt++;
    m_attempts.emplace(number, Attempt { index, *route, now });
    ++run.outstanding;
    run.hedges = kind == SendKind::Hedge ? run.hedges + 1 : 0;
    run.hedgeTries = 0;
    run.sentAt = now;
    run.retryAt.reset();
    m_environment.router.sent(*route);
    actions.sends.push_back({ *route, { number, route->target, run.shard->range(), route->hint } });
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

void QueryRun::accept(ShardRun& run, const SubReply& reply, Instant now)
{
    m_coveredKeys += run.accept(reply);
    m_doneShards += run.done;
    if (!m_halfDoneAt && 2 * m_doneShards >= m_shards.size())
        m_halfDoneAt = now;
}

RunActions QueryRun::replied(const SubReply& reply, Instant now)
{
    RunActions actions;
    auto found = m_attempts.find(reply.attempt);
    if (m_finished || found == m_attempts.end())
        return actions;
    Attempt attempt = found->second;
    m_attempts.erase(found);
    ShardRun& run = m_shards[attempt.shard];
    --run.outstanding;
    m_environment.router.ended(attempt.route, &reply);
    bool usable = reply.outcome == Outcome::Answered && reply.snapshot == m_group->snapshot();
    if (usable && !run.done)
        accept(run, reply, now);
    if (usable)
        m_environment.latencies.add(now - attempt.sentAt);
    if (run.done)
        cancelOthers(attempt.shard, actions);
    else
        handleFailure(attempt.shard, attempt, reply, now, actions);
    settle(now, actions);
    return actions;
}

RunActions QueryRun::failAttempts(const std::function<bool(const Attempt&)>& selected, const SubReply& reply, Instant now)
{
    RunActions actions;
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
        m_environment.router.ended(attempt.route, nullptr);
        if (!m_shards[attempt.shard].done)
            handleFailure(attempt.shard, attempt, reply, now, actions);
    }
    settle(now, actions);
    return actions;
}

RunActions QueryRun::unsent(std::uint64_t tag, Instant now)
{
    SubReply reply;
    reply.outcome = Outcome::NotRun;
    reply.notRun = NotRunReason::Unreachable;
    return failAttempts([tag](const Attempt& attempt) { return attempt.tag == tag; }, reply, now);
}

RunActions QueryRun::connectionLost(std::uint64_t connection, Instant now)
{
    SubReply reply;
    reply.outcome = Outcome::Unknown;
    reply.unknown = UnknownReason::ConnectionLost;
    reply.reachedTarget = true;
    return failAttempts([connection](const Attempt& attempt) { return attempt.connection == connection; }, reply, now);
}

void QueryRun::handleFailure(std::size_t index, const Attempt& attempt, const SubReply& reply, Instant now, RunActions& actions)
{
    ShardRun& run = m_shards[index];
    if (reply.outcome == Outcome::NotRun) {
        run.refusal = reply.notRun;
    } else {
        bool stated = reply.outcome == Outcome::Unknown;
        run.uncertainty = stated ? reply.unknown : UnknownReason::InvalidReply;
    }
    if (reply.reachedTarget || reply.outcome != Outcome::NotRun)
        run.exclusions.targets.push_back(attempt.route.target);
    else
        run.exclusions.routes.emplace_back(attempt.route.target, attempt.route.gateway);
    if (reply.notRun == NotRunReason::Leaving || reply.notRun == NotRunReason::TakenOut)
        run.exclusions.targets.push_back(attempt.route.target);
    if (!run.outstanding)
        tryAgain(index, reply, now, actions);
}

void QueryRun::tryAgain(std::size_t index, const SubReply& reply, Instant now, RunActions& actions)
{
    ShardRun& run = m_shards[index];
    bool mayHaveRun = run.uncertainty != UnknownReason::None || !run.covered.empty();
    if (mayHaveRun && !m_front->repeatable()) {
        run.failed = true;
        return;
    }
    bool loadsTarget = mayHaveRun || reply.reachedTarget;
    if (send(index, loadsTarget ? SendKind::Retry : SendKind::Reroute, now, actions))
        return;
    if (reply.notRun == NotRunReason::SnapshotGone && replan(now, actions))
        return;
    retryLater(run, now);
}

void QueryRun::retryLater(ShardRun& run, Instant now)
{
    bool mayHaveRun = run.uncertainty != UnknownReason::None;
    bool worthwhile = m_front->weighs() == Weighs::Coverage && ++run.rounds < maxRounds && !mayHaveRun
        && now + retryPause + leastUsefulTime < m_replyDeadline;
    run.failed = !worthwhile;
    if (!worthwhile)
        return;
    run.exclusions = {};
    run.retryAt = now + retryPause * run.rounds;
}

bool QueryRun::replan(Instant now, RunActions& actions)
{
    bool timeLeft = (m_replyDeadline - now) * replanPart > m_replyDeadline - m_start;
    if (m_replanned || !timeLeft || !m_front->repeatable())
        return false;
    PinnedDocuments newer = m_environment.documents();
    const SearchFront* front = newer.configuration->searchFront(m_frontName);
    bool changed = front && newer.configuration->version() > m_documents.configuration->version();
    if (!changed)
        return false;
    for (const auto& [number, attempt] : m_attempts) {
        actions.cancels.push_back({ attempt.route.endpoint, number });
        m_environment.router.abandoned(attempt.route);
    }
    m_mayHaveRun = true;
    m_attempts.clear();
    actions.sends.clear();
    m_documents = std::move(newer);
    m_replanned = true;
    plan();
    for (std::size_t i = 0; i < m_shards.size(); ++i) {
        if (!send(i, SendKind::First, now, actions))
            m_shards[i].failed = true;
    }
    return true;
}

void QueryRun::cancelOthers(std::size_t shard, RunActions& actions)
{
    for (auto attempt = m_attempts.begin(); attempt != m_attempts.end();) {
        if (attempt->second.shard != shard) {
            ++attempt;
            continue;
        }
        actions.cancels.push_back({ attempt->second.route.endpoint, attempt->first });
        m_environment.router.abandoned(attempt->second.route);
        attempt = m_attempts.erase(attempt);
    }
    m_shards[shard].outstanding = 0;
}

bool QueryRun::mayHedge(const ShardRun& run) const
{
    return m_front->repeatable() && !run.done && run.outstanding && run.hedges < maxHedges;
}

void QueryRun::hedgeDue(Instant now, RunActions& actions)
{
    for (std::size_t i = 0; i < m_shards.size(); ++i) {
        ShardRun& run = m_shards[i];
        if (!mayHedge(run) || now < hedgeAt(run))
            continue;
        // Each try without a route or credit doubles the wait for the next.
        run.hedgeTries = std::min(run.hedgeTries + 1, maxHedgeDoublings);
        RouteExclusions before = run.exclusions;
        for (const auto& [number, attempt] : m_attempts) {
            if (attempt.shard == i)
                run.exclusions.targets.push_back(attempt.route.target);
        }
        if (!send(i, SendKind::Hedge, now, actions))
            run.exclusions = before;
    }
}

void QueryRun::retryDue(Instant now, RunActions& actions)
{
    for (std::size_t i = 0; i < m_shards.size(); ++i) {
        ShardRun& run = m_shards[i];
        if (!run.retryAt || now < *run.retryAt || run.done)
            continue;
        run.retryAt.reset();
        if (!send(i, SendKind::Reroute, now, actions))
            retryLater(run, now);
    }
}

RunActions QueryRun::timer(Instant now)
{
    RunActions actions;
    if (m_finished)
        return actions;
    retryDue(now, actions);
    hedgeDue(now, actions);
    settle(now, actions);
    return actions;
}

Instant QueryRun::patienceEnd() const
{
    if (m_front->weighs() == Weighs::Coverage)
        return m_replyDeadline;
    return std::min(m_replyDeadline, m_start + m_front->latencyObjective());
}

Instant QueryRun::nextWake() const
{
    Instant wake = m_replyDeadline;
    Instant patience = patienceEnd();
    for (const ShardRun& run : m_shards) {
        if (run.done)
            continue;
        if (run.retryAt)
            wake = std::min(wake, *run.retryAt);
        if (mayHedge(run))
            wake = std::min(wake, hedgeAt(run));
    }
    return coveredSoFar().reaches(m_front->enoughCoverage()) ? std::min(wake, patience) : wake;
}

Fraction QueryRun::coveredSoFar() const
{
    return Fraction(static_cast<double>(m_coveredKeys) / static_cast<double>(keySpaceEnd));
}

bool QueryRun::everythingEnded() const
{
    return std::all_of(m_shards.begin(), m_shards.end(), [](const ShardRun& run) {
        return run.done || (!run.outstanding && !run.retryAt);
    });
}

void QueryRun::settle(Instant now, RunActions& actions)
{
    if (m_finished)
        return;
    bool outOfTime = now >= m_replyDeadline;
    bool outOfPatience = now >= patienceEnd() && coveredSoFar().reaches(m_front->enoughCoverage());
    if (outOfTime || outOfPatience || everythingEnded())
        finish(actions);
}

Congestion QueryRun::congestion() const
{
    auto count = static_cast<std::size_t>(std::count_if(m_shards.begin(), m_shards.end(), [](const ShardRun& run) { return run.refusedForLoad(); }));
    bool halfRefused = 2 * count >= m_shards.size();
    bool halfLate = m_halfDoneAt && *m_halfDoneAt - m_start > (m_replyDeadline - m_start) / congestionPart;
    if (!halfRefused && !halfLate)
        return Congestion::None;
    return m_doneShards < m_shards.size() ? Congestion::Refused : Congestion::Waited;
}

void QueryRun::finish(RunActions& actions)
{
    m_finished = true;
    actions.finished = true;
    actions.sends.clear();
    for (const auto& [number, attempt] : m_attempts) {
        actions.cancels.push_back({ attempt.route.endpoint, number });
        m_environment.router.abandoned(attempt.route);
        m_shards[attempt.shard].uncertainty = UnknownReason::Deadline;
    }
    m_attempts.clear();
    m_answer.snapshot = m_group->snapshot();
    m_answer.configuration = m_documents.configuration->version();
    internal::mergeShards(m_shards, m_mayHaveRun, m_front->repeatable(), m_answer);
}

} // namespace pimentopoint
