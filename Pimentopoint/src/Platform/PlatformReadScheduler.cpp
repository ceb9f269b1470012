#include "PlatformReadScheduler.h"

#include <algorithm>

namespace pimentopoint {

PlatformReadScheduler::PlatformReadScheduler(PlatformTiming timing, std::uint64_t seed, Instant now)
    : m_timing(timing)
    , m_random(seed)
{
    for (ReadState& state : m_reads)
        state.due = now + randomDelay(m_timing.initialJitter);
}

std::vector<PlatformRead> PlatformReadScheduler::startDueReads(Instant now, bool watcher)
{
    std::vector<PlatformRead> reads;
    for (std::size_t i = 0; i < m_reads.size(); ++i) {
        ReadState& state = m_reads[i];
        // A process that has become a watcher does not wait for the rest of its pollInterval.
        if (watcher && !state.failures)
            state.due = std::min(state.due, now + m_timing.initialJitter);
        if (state.running || now < state.due)
            continue;
        state.running = true;
        reads.push_back({ static_cast<DocumentKind>(i), watcher ? m_timing.watchTimeout : Duration(0) });
    }
    return reads;
}

void PlatformReadScheduler::recordResult(DocumentKind kind, Result result, Instant now, bool watcher)
{
    constexpr unsigned maxDoublings = 10;
    ReadState& state = m_reads.at(static_cast<std::size_t>(kind));
    state.running = false;
    if (result == Result::Failed) {
        Duration maxDelay = watcher ? m_timing.maxRetryDelay : m_timing.pollInterval;
        Duration initialDelay = watcher ? m_timing.initialRetryDelay : m_timing.maxRetryDelay;
        Duration delayBound = std::min(maxDelay, initialDelay * (1U << std::min(state.failures, maxDoublings)));
        ++state.failures;
        state.due = now + delayBound / 2 + randomDelay(delayBound / 2);
        return;
    }
    state.failures = 0;
    Duration interval = watcher ? Duration(0) : m_timing.pollInterval / 2 + randomDelay(m_timing.pollInterval);
    state.due = now + interval;
}

std::pair<std::uint64_t, MemberName> PlatformReadScheduler::rank(const MemberRecord& record)
{
    return { hashOf(record.name().value()), record.name() };
}

bool PlatformReadScheduler::isWatcher(const MemberRecord& self, const std::vector<MemberRecord>& members, std::size_t watchers)
{
    auto ownRank = rank(self);
    auto lowerRanked = std::count_if(members.begin(), members.end(), [&](const MemberRecord& member) {
        return member.usable() && member.dataCentre() == self.dataCentre() && rank(member) < ownRank;
    });
    return static_cast<std::size_t>(lowerRanked) < watchers;
}

} // namespace pimentopoint
