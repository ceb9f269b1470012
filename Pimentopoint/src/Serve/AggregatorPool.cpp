#include "AggregatorPool.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace pimentopoint {

namespace {

    /// A whole fan-out is delegated to another data centre if the local one has targets for fewer than this fraction of the shards that the best one serves.
    constexpr double minLocalFraction = 0.5;
    /// The data centre of a remote aggregator must have targets for at least this fraction of the shards that the best one serves.
    constexpr double minRemoteFraction = 0.75;
    /// Fewer remote-only shards than this are not delegated: one merged reply is about as large as the replies of two shards.
    constexpr std::size_t minDelegatedShards = 3;
    /// A local aggregator must have at least this multiple of this host's processor time: the round trip to it costs about as much as a
    /// fan-out of a dozen shards.
    constexpr unsigned strongerMultiple = 2;
    /// A host counts as strong and is preferred if it has at least this fraction of the processor time of the host with the most.
    constexpr double strongFraction = 0.5;
    /// Most fan-outs of this host outstanding at one aggregator; further ones go to the next. Each occupies some ten thousand bytes of replies.
    constexpr std::size_t maxOutstanding = 8;
    /// Backoff after a failure that lost no call, such as a refused connection: a host that was killed is back after about a second.
    constexpr Duration unreachableBackoff = std::chrono::milliseconds(500);
    /// Backoff after a lost call: longer than membership takes to detect a failed host; another host, or this one, serves meanwhile.
    constexpr Duration unresponsiveBackoff = std::chrono::seconds(4);
    /// If at least this many hosts of a data centre are unresponsive at the same time, a common cause is assumed.
    constexpr std::ptrdiff_t unresponsiveHostLimit = 2;
    /// Backoff after a refusal: the host is busy, or has another configuration version for as long as an update takes.
    constexpr Duration refusedBackoff = std::chrono::milliseconds(200);
    /// Weight of the latest reply in the smoothed network delay.
    constexpr double networkDelaySmoothing = 0.1;
    /// Largest fraction of an attempt's timeout that its network delay may take. A longer delay indicates a host short of processor time,
    /// which is slow to read its requests.
    constexpr double maxNetworkDelayFraction = 0.25;

    /// Fraction of its weight that a host keeps if it delegates its fan-outs; it runs them itself only while no stronger host replies.
    constexpr double delegatingWeightFraction = 0.25;

    std::size_t maxShardCount(const std::map<DataCentreName, std::size_t>& shardCounts)
    {
        std::size_t largest = 0;
        for (const auto& [dataCentre, count] : shardCounts)
            largest = std::max(largest, count);
        return largest;
    }

} // namespace

ConnectionWeights connectionWeights(const MemberRecord& self, const std::vector<MemberRecord>& members)
{
    std::map<DataCentreName, std::uint32_t> strongest { { self.dataCentre(), self.millicores() } };
    for (const MemberRecord& member : members) {
        if (member.usable())
            strongest[member.dataCentre()] = std::max(strongest[member.dataCentre()], member.millicores());
    }
    auto weight = [&](const MemberRecord& host) {
        bool delegates = strongest[host.dataCentre()] >= strongerMultiple * host.millicores();
        return host.millicores() * (delegates ? delegatingWeightFraction : 1);
    };
    ConnectionWeights weights { weight(self), weight(self) };
    for (const MemberRecord& member : members)
        weights.total += member.usable() ? weight(member) : 0;
    return weights;
}

AggregatorPool::AggregatorPool(MemberRecord self, Observer observer)
    : m_self(std::move(self))
    , m_observer(std::move(observer))
{
}

void AggregatorPool::setMembers(const std::vector<MemberRecord>& members)
{
    std::map<MemberName, Host> hosts;
    for (const MemberRecord& record : members) {
        if (record.state() != MemberState::Alive || !record.http().port())
            continue;
        auto known = m_hosts.find(record.name());
        bool same = known != m_hosts.end() && known->second.record.incarnation() == record.incarnation();
        Host& host = hosts[record.name()];
        if (same)
            host = std::move(known->second);
        host.record = record;
    }
    m_hosts = std::move(hosts);
    rankHosts();
}

void AggregatorPool::rankHosts()
{
    std::uint32_t largest = m_self.millicores();
    for (const auto& [name, host] : m_hosts)
        largest = std::max(largest, host.record.millicores());
    m_ranked.clear();
    for (const auto& [name, host] : m_hosts)
        m_ranked.push_back(&host);
    auto order = [this, largest](const Host* host) { return std::tuple(host->record.millicores() < strongFraction * largest, hashOf(m_self.name().value() + "/" + host->record.name().value()), host->record.name()); };
    std::sort(m_ranked.begin(), m_ranked.end(), [&](const Host* a, const Host* b) { return order(a) < order(b); });
}

bool AggregatorPool::isAvailable(const Host& host, Instant now) const
{
    bool stalled = std::any_of(host.outstanding.begin(), host.outstanding.end(), [now](const Outstanding& o) { return now > o.dueAt; });
    return !stalled && now >= host.avoidUntil && host.outstanding.size() < maxOutstanding;
}

std::optional<AggregatorPool::Choice> AggregatorPool::chooseStrongerLocal(Instant now) const
{
    if (isUnresponsive(m_self.dataCentre(), now))
        return std::nullopt;
    for (const Host* host : m_ranked) {
        const MemberRecord& record = host->record;
        bool suitable = record.dataCentre() == m_self.dataCentre() && record.millicores() >= strongerMultiple * m_self.millicores();
        if (suitable && isAvailable(*host, now))
            return Choice { Scope::All, record.name(), record.http(), host->networkDelay.value_or(Duration(0)) };
    }
    return std::nullopt;
}

std::optional<AggregatorPool::Choice> AggregatorPool::chooseRemote(Scope scope, const std::map<DataCentreName, std::size_t>& shardCounts, Instant now) const
{
    double minCount = minRemoteFraction * static_cast<double>(maxShardCount(shardCounts));
    std::set<DataCentreName> excluded;
    for (const auto& [dataCentre, count] : shardCounts) {
        if (isUnresponsive(dataCentre, now))
            excluded.insert(dataCentre);
    }
    for (const Host* host : m_ranked) {
        const MemberRecord& record = host->record;
        auto found = shardCounts.find(record.dataCentre());
        bool suitable = record.dataCentre() != m_self.dataCentre() && !excluded.contains(record.dataCentre()) && found != shardCounts.end() && static_cast<double>(found->second) >= minCount;
        if (suitable && isAvailable(*host, now))
            return Choice { scope, record.name(), record.http(), host->networkDelay.value_or(Duration(0)) };
    }
    return std::nullopt;
}

std::optional<AggregatorPool::Choice> AggregatorPool::choose(const ShardAvailability& availability, bool remoteOnly, Instant now) const
{
    auto found = availability.shardCounts.find(m_self.dataCentre());
    std::size_t localCount = found == availability.shardCounts.end() ? 0 : found->second;
    bool lacksMost = static_cast<double>(localCount) < minLocalFraction * static_cast<double>(maxShardCount(availability.shardCounts));
    if (lacksMost && !remoteOnly)
        return chooseRemote(Scope::All, availability.shardCounts, now);
    std::optional<Choice> choice;
    if (!remoteOnly)
        choice = chooseStrongerLocal(now);
    if (!choice && availability.remoteOnlyShards.size() >= minDelegatedShards)
        choice = chooseRemote(Scope::RemoteOnlyShards, availability.remoteOnlyShardCounts, now);
    return choice;
}

void AggregatorPool::recordAttempt(const MemberName& name, AttemptNumber attempt, Duration timeout, Instant now)
{
    auto found = m_hosts.find(name);
    if (found != m_hosts.end())
        found->second.outstanding.push_back({ attempt, now, now + timeout });
}

std::optional<AggregatorPool::Outstanding> AggregatorPool::removeOutstanding(const MemberName& name, AttemptNumber attempt)
{
    auto found = m_hosts.find(name);
    if (found == m_hosts.end())
        return std::nullopt;
    auto& outstanding = found->second.outstanding;
    auto at = std::find_if(outstanding.begin(), outstanding.end(), [attempt](const Outstanding& o) { return o.attempt == attempt; });
    if (at == outstanding.end())
        return std::nullopt;
    Outstanding removed = *at;
    outstanding.erase(at);
    return removed;
}

void AggregatorPool::avoid(Host& host, Duration backoff, Instant now)
{
    host.avoidUntil = std::max(host.avoidUntil, now + backoff);
}

void AggregatorPool::suspect(Host& host, Duration backoff, std::string_view reason, Instant now)
{
    avoid(host, backoff, now);
    if (++host.consecutiveFailures == 1)
        m_observer(host.record.name(), "aggregator-doubted", reason);
}

void AggregatorPool::recordUnresponsive(Host& host, std::string_view reason, Instant now)
{
    suspect(host, unresponsiveBackoff, reason, now);
    host.unresponsiveUntil = now + unresponsiveBackoff;
}

bool AggregatorPool::isUnresponsive(const DataCentreName& dataCentre, Instant now) const
{
    auto count = std::count_if(m_hosts.begin(), m_hosts.end(), [&](const auto& entry) { return entry.second.record.dataCentre() == dataCentre && now < entry.second.unresponsiveUntil; });
    return count >= unresponsiveHostLimit;
}

void AggregatorPool::recordReply(const MemberName& name, AttemptNumber attempt, const TargetReply& reply, Instant now)
{
    auto completed = removeOutstanding(name, attempt);
    if (!completed)
        return;
    Host& host = m_hosts.at(name);
    if (reply.outcome != TargetReply::ReplyOutcome::Answered) {
        if (reply.outcome == TargetReply::ReplyOutcome::NotSent)
            suspect(host, unreachableBackoff, reply.cause, now);
        else
            recordUnresponsive(host, reply.cause, now);
        return;
    }
    if (reply.notRun) {
        avoid(host, refusedBackoff, now);
        return;
    }
    Duration delay = std::max(Duration(0), now - completed->sentAt - reply.processingTime);
    host.networkDelay = host.networkDelay ? *host.networkDelay + scaled(delay - *host.networkDelay, networkDelaySmoothing) : delay;
    if (delay > scaled(completed->dueAt - completed->sentAt, maxNetworkDelayFraction)) {
        suspect(host, unreachableBackoff, "network delay of its reply was too long", now);
        return;
    }
    if (host.consecutiveFailures)
        m_observer(name, "aggregator-trusted", "host replied");
    host.consecutiveFailures = 0;
}

void AggregatorPool::recordAbandoned(const MemberName& name, AttemptNumber attempt, bool unresponsive, Instant now)
{
    if (removeOutstanding(name, attempt) && unresponsive)
        recordUnresponsive(m_hosts.at(name), "host did not acknowledge in time", now);
}

} // namespace pimentopoint
