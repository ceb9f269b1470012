#include "NewsSource.h"

#include "../Platform/PlatformWatch.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// Hosts of a data centre that follow the store. One suffices: its silence is noticed within the time of a short watch.
    constexpr std::size_t followers = 1;
    /// For which a host that failed as a source is left alone: longer than a restart.
    constexpr Duration avoidHost = std::chrono::seconds(3);
    /// For which the store is left alone: long enough to ask one host in between, short beside the time in which news must be known.
    constexpr Duration avoidStore = std::chrono::milliseconds(250);

} // namespace

NewsSource::NewsSource(MemberRecord self)
    : m_self(std::move(self))
{
}

bool NewsSource::follows() const
{
    return PlatformWatch::isWatcher(m_self, m_members, followers);
}

bool NewsSource::usable(const Choice& choice, Instant now) const
{
    auto found = m_avoidUntil.find(choice.host.value_or(Endpoint()));
    return found == m_avoidUntil.end() || now >= found->second;
}

NewsSource::Choice NewsSource::choose(Instant now) const
{
    if (!follows()) {
        for (const MemberRecord& member : m_members) {
            std::vector<MemberRecord> others { m_self };
            std::copy_if(m_members.begin(), m_members.end(), std::back_inserter(others), [&](const MemberRecord& other) { return other.name() != member.name(); });
            bool candidate = member.usable() && member.dataCentre() == m_self.dataCentre() && PlatformWatch::isWatcher(member, others, followers);
            if (candidate && usable({ member.tcp() }, now))
                return { member.tcp() };
        }
    }
    if (usable({}, now))
        return {};
    for (bool home : { true, false }) {
        for (const MemberRecord& member : m_members) {
            if (member.usable() && (member.dataCentre() == m_self.dataCentre()) == home && usable({ member.tcp() }, now))
                return { member.tcp() };
        }
    }
    return {};
}

void NewsSource::failed(const Choice& choice, Instant now)
{
    m_avoidUntil[choice.host.value_or(Endpoint())] = now + (choice.host ? avoidHost : avoidStore);
}

void NewsSource::succeeded(const Choice& choice)
{
    m_avoidUntil.erase(choice.host.value_or(Endpoint()));
}

} // namespace pimentopoint
