#include "TicketLedger.h"

namespace pimentopoint {

void TicketLedger::forgetOld(Part& shard, Instant now) const
{
    while (!shard.order.empty()) {
        auto oldest = shard.entries.find(shard.order.front());
        bool keep = now - oldest->second.issuedAt < m_lifetime || oldest->second.state == State::Running;
        if (keep)
            return;
        shard.entries.erase(oldest);
        shard.order.pop_front();
    }
}

std::optional<std::uint64_t> TicketLedger::issue(Instant now)
{
    std::lock_guard numberLock(m_numberMutex);
    std::uint64_t number = m_lastNumber + 1;
    Part& shard = part(number);
    std::lock_guard lock(shard.mutex);
    forgetOld(shard, now);
    if (shard.entries.size() >= m_capacityPerPart)
        return std::nullopt;
    shard.entries.emplace(number, Entry { State::Issued, now, {}, {} });
    shard.order.push_back(number);
    m_lastNumber = number;
    return number;
}

TicketLedger::ClaimResult TicketLedger::claim(std::uint64_t number, Digest request, bool mayRun, Instant now)
{
    {
        std::lock_guard numberLock(m_numberMutex);
        if (!number || number > m_lastNumber)
            return { Claim::NotIssued, {} };
    }
    Part& shard = part(number);
    std::lock_guard lock(shard.mutex);
    forgetOld(shard, now);
    auto found = shard.entries.find(number);
    if (found == shard.entries.end())
        return { Claim::Forgotten, {} };
    Entry& entry = found->second;
    if (entry.state == State::Issued) {
        if (mayRun) {
            entry.state = State::Running;
            entry.request = request;
        }
        return { Claim::Granted, {} };
    }
    if (entry.request != request)
        return { Claim::Mismatch, {} };
    if (entry.state == State::Running)
        return { Claim::Running, {} };
    return { Claim::Done, entry.answer };
}

void TicketLedger::finish(std::uint64_t number, RenderedAnswer answer)
{
    Part& shard = part(number);
    std::lock_guard lock(shard.mutex);
    auto found = shard.entries.find(number);
    if (found == shard.entries.end())
        return;
    found->second.state = State::Done;
    found->second.answer = std::move(answer);
}

} // namespace pimentopoint
