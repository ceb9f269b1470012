#include "TicketTable.h"

namespace pimentopoint {

void TicketTable::removeExpired(Stripe& shard, Instant now) const
{
    for (std::size_t looked = shard.issueOrder.size(); looked; --looked) {
        std::uint64_t number = shard.issueOrder.front();
        auto oldest = shard.entries.find(number);
        if (now - oldest->second.issuedAt < m_lifetime)
            return;
        shard.issueOrder.pop_front();
        // What still runs is looked at again behind the others.
        if (oldest->second.state == State::Running)
            shard.issueOrder.push_back(number);
        else
            shard.entries.erase(oldest);
    }
}

std::optional<std::uint64_t> TicketTable::issue(Instant now)
{
    std::lock_guard numberLock(m_numberMutex);
    std::uint64_t number = m_lastNumber + 1;
    Stripe& shard = stripe(number);
    std::lock_guard lock(shard.mutex);
    removeExpired(shard, now);
    if (shard.entries.size() >= m_capacityPerStripe)
        return std::nullopt;
    shard.entries.emplace(number, Entry { State::Issued, now, {}, {} });
    shard.issueOrder.push_back(number);
    m_lastNumber = number;
    return number;
}

TicketTable::ClaimResult TicketTable::claim(std::uint64_t number, Digest request, Instant now)
{
    {
        std::lock_guard numberLock(m_numberMutex);
        if (!number || number > m_lastNumber)
            return { Claim::NotIssued, {} };
    }
    Stripe& shard = stripe(number);
    std::lock_guard lock(shard.mutex);
    removeExpired(shard, now);
    auto found = shard.entries.find(number);
    if (found == shard.entries.end())
        return { Claim::Expired, {} };
    Entry& entry = found->second;
    if (entry.state == State::Issued) {
        entry.state = State::Running;
        entry.request = request;
        return { Claim::Granted, {} };
    }
    if (entry.request != request)
        return { Claim::Mismatch, {} };
    if (entry.state == State::Running)
        return { Claim::Running, {} };
    return { Claim::Done, entry.answer };
}

std::optional<RenderedAnswer> TicketTable::outcome(std::uint64_t number, Digest request, Instant now)
{
    Stripe& shard = stripe(number);
    std::lock_guard lock(shard.mutex);
    removeExpired(shard, now);
    auto found = shard.entries.find(number);
    bool done = found != shard.entries.end() && found->second.state == State::Done && found->second.request == request;
    return done ? std::optional(found->second.answer) : std::nullopt;
}

void TicketTable::finish(std::uint64_t number, RenderedAnswer answer)
{
    Stripe& shard = stripe(number);
    std::lock_guard lock(shard.mutex);
    auto found = shard.entries.find(number);
    if (found == shard.entries.end())
        return;
    found->second.state = State::Done;
    found->second.answer = std::move(answer);
}

} // namespace pimentopoint
