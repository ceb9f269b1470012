#include "PlatformWatch.h"

#include <algorithm>

namespace pimentopoint {

PlatformWatch::PlatformWatch(PlatformTiming timing, std::uint64_t seed, Instant now)
    : m_timing(timing)
    , m_random(seed)
{
    for (Slot& slot : m_slots)
        slot.due = now + jittered(m_timing.startSpread);
}

std::vector<PlatformRead> PlatformWatch::begin(Instant now, bool watcher)
{
    std::vector<PlatformRead> reads;
    for (std::size_t i = 0; i < m_slots.size(); ++i) {
        Slot& slot = m_slots[i];
        // A process that becomes a watcher does not wait out the long interval of the others.
        if (watcher && !slot.failures)
            slot.due = std::min(slot.due, now + m_timing.startSpread);
        if (slot.running || now < slot.due)
            continue;
        slot.running = true;
        reads.push_back({ static_cast<DocumentKind>(i), watcher ? m_timing.watchWait : Duration(0) });
    }
    return reads;
}

void PlatformWatch::finish(DocumentKind kind, Result result, Instant now, bool watcher)
{
    constexpr unsigned maxDoublings = 10;
    Slot& slot = m_slots.at(static_cast<std::size_t>(kind));
    slot.running = false;
    if (result == Result::Failed) {
        Duration longest = watcher ? m_timing.longestRetry : m_timing.fallbackInterval;
        Duration first = watcher ? m_timing.firstRetry : m_timing.longestRetry;
        Duration bound = std::min(longest, first * (1U << std::min(slot.failures, maxDoublings)));
        ++slot.failures;
        slot.due = now + bound / 2 + jittered(bound / 2);
        return;
    }
    slot.failures = 0;
    Duration interval = watcher ? Duration(0) : m_timing.fallbackInterval / 2 + jittered(m_timing.fallbackInterval);
    slot.due = now + interval;
}

std::pair<std::uint64_t, MemberName> PlatformWatch::rank(const MemberRecord& record)
{
    return { hashOf(record.name().value()), record.name() };
}

bool PlatformWatch::isWatcher(const MemberRecord& self, const std::vector<MemberRecord>& members, std::size_t watchers)
{
    auto own = rank(self);
    auto ahead = std::count_if(members.begin(), members.end(), [&](const MemberRecord& member) {
        return member.usable() && member.dataCentre() == self.dataCentre() && rank(member) < own;
    });
    return static_cast<std::size_t>(ahead) < watchers;
}

} // namespace pimentopoint
