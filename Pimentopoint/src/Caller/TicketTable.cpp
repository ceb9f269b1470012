#include "TicketTable.h"

namespace pimentopoint {

void TicketTable::removeExpired(Stripe& ticketStripe, Instant now) const
{
    for (std::size_t unchecked = ticketStripe.issueOrder.size(); unchecked; --unchecked) {
        std::uint64_t number = ticketStripe.issueOrder.front();
        auto oldest = ticketStripe.entries.find(number);
        if (now - oldest->second.issuedAt < m_lifetime)
            return;
        ticketStripe.issueOrder.pop_front();
        // The ticket of a running request is kept and moved to the end.
        if (oldest->second.state == State::Running)
            ticketStripe.issueOrder.push_back(number);
        else
            ticketStripe.entries.erase(oldest);
    }
}

std::optional<std::uint64_t> TicketTable::issue(Instant now)
{
    std::lock_guard numberLock(m_numberMutex);
    std::uint64_t number = m_lastNumber + 1;
    Stripe& ticketStripe = stripe(number);
    std::lock_guard lock(ticketStripe.mutex);
    removeExpired(ticketStripe, now);
    if (ticketStripe.entries.size() >= m_capacityPerStripe)
        return std::nullopt;
    ticketStripe.entries.emplace(number, Entry { State::Issued, now, {}, {} });
    ticketStripe.issueOrder.push_back(number);
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
    Stripe& ticketStripe = stripe(number);
    std::lock_guard lock(ticketStripe.mutex);
    removeExpired(ticketStripe, now);
    auto found = ticketStripe.entries.find(number);
    if (found == ticketStripe.entries.end())
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
    Stripe& ticketStripe = stripe(number);
    std::lock_guard lock(ticketStripe.mutex);
    removeExpired(ticketStripe, now);
    auto found = ticketStripe.entries.find(number);
    bool done = found != ticketStripe.entries.end() && found->second.state == State::Done && found->second.request == request;
    return done ? std::optional(found->second.answer) : std::nullopt;
}

void TicketTable::finish(std::uint64_t number, RenderedAnswer answer)
{
    Stripe& ticketStripe = stripe(number);
    std::lock_guard lock(ticketStripe.mutex);
    auto found = ticketStripe.entries.find(number);
    if (found == ticketStripe.entries.end())
        return;
    found->second.state = State::Done;
    found->second.answer = std::move(answer);
}

} // namespace pimentopoint
