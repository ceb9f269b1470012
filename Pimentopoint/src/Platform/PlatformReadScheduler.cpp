#include "PlatformReadScheduler.h"

#include <algorithm>

namespace pimentopoint {

PlatformReadScheduler::PlatformReadScheduler(PlatformTiming timing, std::uint64_t seed, Instant now)
    : m_timing(timing)
    , m_random(seed)
{
    for (ReadState& slot : m_reads)
        slot.due = now + randomDelay(m_timing.initialJitter);
}

std::vector<PlatformRead> PlatformReadScheduler::startDueReads(Instant now, bool watcher)
{
    std::vector<PlatformRead> reads;
    for (std::size_t i = 0; i < m_reads.size(); ++i) {
        ReadState& slot = m_reads[i];
        // A process that becomes a watcher does not wait out the long interval of the others.
        if (watcher && !slot.failures)
            slot.due = std::min(slot.due, now + m_timing.initialJitter);
        if (slot.running || now < slot.due)
            continue;
        slot.running = true;
        reads.push_back({ static_cast<DocumentKind>(i), watcher ? m_timing.watchTimeout : Duration(0) });
    }
    return reads;
}

void PlatformReadScheduler::recordResult(DocumentKind kind, Result result, Instant now, bool watcher)
{
    constexpr unsigned maxDoublings = 10;
    ReadState& slot = m_reads.at(static_cast<std::size_t>(kind));
    slot.running = false;
    if (result == Result::Failed) {
        Duration longest = watcher ? m_timing.maxRetryDelay : m_timing.pollInterval;
        Duration first = watcher ? m_timing.initialRetryDelay : m_timing.maxRetryDelay;
        Duration bound = std::min(longest, first * (1U << std::min(slot.failures, maxDoublings)));
        ++slot.failures;
        slot.due = now + bound / 2 + randomDelay(bound / 2);
        return;
    }
    slot.failures = 0;
    Duration interval = watcher ? Duration(0) : m_timing.pollInterval / 2 + randomDelay(m_timing.pollInterval);
    slot.due = now + interval;
}

std::pair<std::uint64_t, MemberName> PlatformReadScheduler::rank(const MemberRecord& record)
{
    return { hashOf(record.name().value()), record.name() };
}

bool PlatformReadScheduler::isWatcher(const MemberRecord& self, const std::vector<MemberRecord>& members, std::size_t watchers)
{
    auto own = rank(self);
    auto ahead = std::count_if(members.begin(), members.end(), [&](const MemberRecord& member) {
        return member.usable() && member.dataCentre() == self.dataCentre() && rank(member) < own;
    });
    return static_cast<std::size_t>(ahead) < watchers;
}

} // namespace pimentopoint
