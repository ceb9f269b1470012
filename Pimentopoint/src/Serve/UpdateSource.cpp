#include "UpdateSource.h"

#include "../Platform/PlatformReadScheduler.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// Time for which a host that failed as a source is avoided; longer than a restart.
    constexpr Duration hostBackoff = std::chrono::seconds(3);
    /// Time for which the store is avoided after a failure: long enough to try one host in between, short compared with the time within which updates must arrive.
    constexpr Duration storeBackoff = std::chrono::milliseconds(250);

} // namespace

UpdateSource::UpdateSource(MemberRecord self)
    : m_self(std::move(self))
{
}

void UpdateSource::setMembers(std::vector<MemberRecord> members)
{
    m_members = std::move(members);
    m_leader.reset();
    auto lowest = PlatformReadScheduler::rank(m_self);
    for (const MemberRecord& member : m_members) {
        if (!member.usable() || member.dataCentre() != m_self.dataCentre())
            continue;
        auto rank = PlatformReadScheduler::rank(member);
        if (rank < lowest) {
            lowest = rank;
            m_leader = member.tcp();
        }
    }
}

bool UpdateSource::isUsable(const Choice& choice, Instant now) const
{
    auto found = m_avoidUntil.find(choice.host.value_or(Endpoint()));
    return found == m_avoidUntil.end() || now >= found->second;
}

UpdateSource::Choice UpdateSource::choose(Instant now) const
{
    if (m_leader && isUsable({ m_leader }, now))
        return { m_leader };
    if (isUsable({}, now))
        return {};
    for (bool local : { true, false }) {
        for (const MemberRecord& member : m_members) {
            if (member.usable() && (member.dataCentre() == m_self.dataCentre()) == local && isUsable({ member.tcp() }, now))
                return { member.tcp() };
        }
    }
    return {};
}

void UpdateSource::recordFailure(const Choice& choice, Instant now)
{
    m_avoidUntil[choice.host.value_or(Endpoint())] = now + (choice.host ? hostBackoff : storeBackoff);
}

void UpdateSource::recordSuccess(const Choice& choice)
{
    m_avoidUntil.erase(choice.host.value_or(Endpoint()));
}

} // namespace pimentopoint
