#include "AggregatorPool.h"

#include <algorithm>
#include <set>
#include <tuple>

namespace pimentopoint {

namespace {

    /// All of a fan-out is given to another data centre if this one has targets of fewer shards than this part of what another one has.
    constexpr double homeReach = 0.5;
    /// Part of the best data centre's shards that the data centre of an aggregating host must have.
    constexpr double goodReach = 0.75;
    /// Shards from which those that this data centre lacks are given away: one merged answer is about as large as two parts.
    constexpr std::size_t leastAway = 3;
    /// Multiple of this host's processor time from which a host of the same data centre is asked: the way there and back costs about
    /// what a fan-out of a dozen shards does.
    constexpr unsigned muchStronger = 2;
    /// Part of the most processor time among the hosts from which one counts as strong.
    constexpr double strongPart = 0.5;
    /// Fan-outs of this host at one aggregating host at a time; further ones go to the next. One at work is some ten thousand bytes of answers.
    constexpr std::size_t mostAtOnce = 8;
    /// After an attempt that cost nothing but its time: a host that was killed is back after about a second.
    constexpr Duration unreachableBackoff = std::chrono::milliseconds(500);
    /// After a call was lost: longer than membership takes to notice a host that is gone; another host, or this one, serves meanwhile.
    constexpr Duration silentBackoff = std::chrono::seconds(4);
    /// Hosts of a data centre that fall silent at about the same time for one cause.
    constexpr std::ptrdiff_t silentHosts = 2;
    /// After a refusal: it is busy, or knows another version for the time that news takes.
    constexpr Duration refusedBackoff = std::chrono::milliseconds(200);
    /// Weight of the latest answer in what is learnt of the ways.
    constexpr double waysRate = 0.1;
    /// Part of the time for an answer that the ways may take; a host that is short of processor time reads its requests late.
    constexpr double mostWays = 0.25;

    /// Part of its weight that a host keeps which gives its fan-outs away; it runs them itself only while no stronger host answers.
    constexpr double spareWeight = 0.25;

    std::size_t mostShards(const std::map<DataCentreName, std::size_t>& shards)
    {
        std::size_t most = 0;
        for (const auto& [dataCentre, count] : shards)
            most = std::max(most, count);
        return most;
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
        bool givesAway = strongest[host.dataCentre()] >= muchStronger * host.millicores();
        return host.millicores() * (givesAway ? spareWeight : 1);
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
    std::uint32_t most = m_self.millicores();
    for (const auto& [name, host] : m_hosts)
        most = std::max(most, host.record.millicores());
    m_ranked.clear();
    for (const auto& [name, host] : m_hosts)
        m_ranked.push_back(&host);
    auto order = [this, most](const Host* host) { return std::tuple(host->record.millicores() < strongPart * most, hashOf(m_self.name().value() + "/" + host->record.name().value()), host->record.name()); };
    std::sort(m_ranked.begin(), m_ranked.end(), [&](const Host* a, const Host* b) { return order(a) < order(b); });
}

bool AggregatorPool::isAvailable(const Host& host, Instant now) const
{
    bool stalled = std::any_of(host.outstanding.begin(), host.outstanding.end(), [now](const Outstanding& o) { return now > o.dueAt; });
    return !stalled && now >= host.avoidUntil && host.outstanding.size() < mostAtOnce;
}

std::optional<AggregatorPool::Choice> AggregatorPool::chooseStrongerLocal(Instant now) const
{
    if (isUnresponsive(m_self.dataCentre(), now))
        return std::nullopt;
    for (const Host* host : m_ranked) {
        const MemberRecord& record = host->record;
        bool suits = record.dataCentre() == m_self.dataCentre() && record.millicores() >= muchStronger * m_self.millicores();
        if (suits && isAvailable(*host, now))
            return Choice { Scope::All, record.name(), record.http(), host->networkDelay.value_or(Duration(0)) };
    }
    return std::nullopt;
}

std::optional<AggregatorPool::Choice> AggregatorPool::chooseRemote(Scope scope, const std::map<DataCentreName, std::size_t>& shards, Instant now) const
{
    double enough = goodReach * static_cast<double>(mostShards(shards));
    std::set<DataCentreName> left;
    for (const auto& [dataCentre, count] : shards) {
        if (isUnresponsive(dataCentre, now))
            left.insert(dataCentre);
    }
    for (const Host* host : m_ranked) {
        const MemberRecord& record = host->record;
        auto found = shards.find(record.dataCentre());
        bool suits = record.dataCentre() != m_self.dataCentre() && !left.contains(record.dataCentre()) && found != shards.end() && static_cast<double>(found->second) >= enough;
        if (suits && isAvailable(*host, now))
            return Choice { scope, record.name(), record.http(), host->networkDelay.value_or(Duration(0)) };
    }
    return std::nullopt;
}

std::optional<AggregatorPool::Choice> AggregatorPool::choose(const ShardAvailability& reach, bool onlyAway, Instant now) const
{
    auto found = reach.shardCounts.find(m_self.dataCentre());
    std::size_t atHome = found == reach.shardCounts.end() ? 0 : found->second;
    bool lacksMost = static_cast<double>(atHome) < homeReach * static_cast<double>(mostShards(reach.shardCounts));
    if (lacksMost && !onlyAway)
        return chooseRemote(Scope::All, reach.shardCounts, now);
    std::optional<Choice> choice;
    if (!onlyAway)
        choice = chooseStrongerLocal(now);
    if (!choice && reach.remoteOnlyShards.size() >= leastAway)
        choice = chooseRemote(Scope::RemoteOnlyShards, reach.remoteOnlyShardCounts, now);
    return choice;
}

void AggregatorPool::recordAttempt(const MemberName& name, AttemptNumber send, Duration patience, Instant now)
{
    auto found = m_hosts.find(name);
    if (found != m_hosts.end())
        found->second.outstanding.push_back({ send, now, now + patience });
}

std::optional<AggregatorPool::Outstanding> AggregatorPool::removeOutstanding(const MemberName& name, AttemptNumber send)
{
    auto found = m_hosts.find(name);
    if (found == m_hosts.end())
        return std::nullopt;
    auto& outstanding = found->second.outstanding;
    auto at = std::find_if(outstanding.begin(), outstanding.end(), [send](const Outstanding& o) { return o.attempt == send; });
    if (at == outstanding.end())
        return std::nullopt;
    Outstanding taken = *at;
    outstanding.erase(at);
    return taken;
}

void AggregatorPool::avoid(Host& host, Duration backoff, Instant now)
{
    host.avoidUntil = std::max(host.avoidUntil, now + backoff);
}

void AggregatorPool::suspect(Host& host, Duration backoff, std::string_view why, Instant now)
{
    avoid(host, backoff, now);
    if (++host.consecutiveFailures == 1)
        m_observer(host.record.name(), "aggregator-doubted", why);
}

void AggregatorPool::recordUnresponsive(Host& host, std::string_view why, Instant now)
{
    suspect(host, silentBackoff, why, now);
    host.unresponsiveUntil = now + silentBackoff;
}

bool AggregatorPool::isUnresponsive(const DataCentreName& dataCentre, Instant now) const
{
    auto count = std::count_if(m_hosts.begin(), m_hosts.end(), [&](const auto& entry) { return entry.second.record.dataCentre() == dataCentre && now < entry.second.unresponsiveUntil; });
    return count >= silentHosts;
}

void AggregatorPool::recordReply(const MemberName& name, AttemptNumber send, const TargetReply& reply, Instant now)
{
    auto exchange = removeOutstanding(name, send);
    if (!exchange)
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
    Duration ways = std::max(Duration(0), now - exchange->sentAt - reply.processingTime);
    host.networkDelay = host.networkDelay ? *host.networkDelay + scaled(ways - *host.networkDelay, waysRate) : ways;
    if (ways > scaled(exchange->dueAt - exchange->sentAt, mostWays)) {
        suspect(host, unreachableBackoff, "its answer was long on the way", now);
        return;
    }
    if (host.consecutiveFailures)
        m_observer(name, "aggregator-trusted", "it answered");
    host.consecutiveFailures = 0;
}

void AggregatorPool::recordAbandoned(const MemberName& name, AttemptNumber send, bool silent, Instant now)
{
    if (removeOutstanding(name, send) && silent)
        recordUnresponsive(m_hosts.at(name), "it did not answer", now);
}

} // namespace pimentopoint
