#include "UpdateSource.h"

#include <algorithm>
#include <limits>
#include <tuple>

namespace pimentopoint {

namespace {

    /// Most hosts that read from the same host: an update of 50 KB takes each of them some milliseconds to send on a link of 100 Mbit/s.
    constexpr std::size_t maxReaders = 32;
    /// Time for which a host that failed as a source is avoided; longer than a restart.
    constexpr Duration hostBackoff = std::chrono::seconds(3);
    /// Time for which the store is avoided after a failure: long enough to try one host in between, short compared with the time within
    /// which updates must arrive. It doubles with each further failure, since every call has a cost, even one that is refused.
    constexpr Duration initialStoreBackoff = std::chrono::milliseconds(250);
    constexpr Duration maxStoreBackoff = std::chrono::seconds(1);
    constexpr unsigned maxBackoffSteps = 8;
    /// Hosts below this one that are tried before those of other data centres.
    constexpr std::size_t localFallbacks = 2;

    /// \returns a key by which hosts are ranked: hosts with more processor time relay updates to more readers
    auto rankOf(const MemberRecord& record)
    {
        return std::tuple(std::numeric_limits<std::uint32_t>::max() - record.millicores(), hashOf(record.name().value()), record.name());
    }

} // namespace

UpdateSource::UpdateSource(MemberRecord self)
    : m_self(std::move(self))
{
}

void UpdateSource::setMembers(const std::vector<MemberRecord>& members)
{
    std::vector<const MemberRecord*> ranked;
    for (const MemberRecord& member : members) {
        if (member.usable())
            ranked.push_back(&member);
    }
    std::sort(ranked.begin(), ranked.end(), [](const MemberRecord* a, const MemberRecord* b) { return rankOf(*a) < rankOf(*b); });
    m_above.clear();
    m_fallbacks.clear();
    m_localCount = 1;
    std::vector<Choice> below;
    std::vector<Choice> remote;
    for (const MemberRecord* member : ranked) {
        bool isLocal = member->dataCentre() == m_self.dataCentre();
        m_localCount += isLocal;
        if (!isLocal)
            remote.push_back({ member->tcp(), false });
        else if (rankOf(*member) < rankOf(m_self))
            m_above.push_back(member->tcp());
        else
            below.push_back({ member->tcp(), true });
    }
    // The store may refuse this host alone, and then the next one serves; or the whole data centre, and then only another one does.
    auto middle = below.begin() + static_cast<std::ptrdiff_t>(std::min(localFallbacks, below.size()));
    m_fallbacks.assign(below.begin(), middle);
    m_fallbacks.insert(m_fallbacks.end(), remote.begin(), remote.end());
    m_fallbacks.insert(m_fallbacks.end(), middle, below.end());
}

bool UpdateSource::isAvoided(const Endpoint& source, Instant now) const
{
    auto found = m_failures.find(source);
    return found != m_failures.end() && now < found->second.avoidUntil;
}

std::optional<Endpoint> UpdateSource::parent(Instant now) const
{
    std::vector<Endpoint> above;
    std::copy_if(m_above.begin(), m_above.end(), std::back_inserter(above), [&](const Endpoint& host) { return !isAvoided(host, now); });
    if (above.empty())
        return std::nullopt;
    // In the order of ranks, hosts 1 to maxReaders read from host 0, the next maxReaders from host 1, and so on.
    return above[(above.size() - 1) / maxReaders];
}

std::optional<UpdateSource::Choice> UpdateSource::choose(Instant now) const
{
    if (auto host = parent(now))
        return Choice { host };
    if (!isAvoided(Endpoint(), now))
        return Choice();
    auto fallback = std::find_if(m_fallbacks.begin(), m_fallbacks.end(), [&](const Choice& choice) { return !isAvoided(*choice.host, now); });
    return fallback == m_fallbacks.end() ? std::nullopt : std::optional(*fallback);
}

void UpdateSource::recordFailure(const Choice& choice, Instant now)
{
    Failure& failure = m_failures[choice.host.value_or(Endpoint())];
    Duration backoff = choice.host ? hostBackoff : std::min(maxStoreBackoff, initialStoreBackoff * (1U << std::min(failure.count, maxBackoffSteps)));
    failure.avoidUntil = now + backoff;
    ++failure.count;
}

void UpdateSource::recordSuccess(const Choice& choice)
{
    m_failures.erase(choice.host.value_or(Endpoint()));
}

} // namespace pimentopoint
