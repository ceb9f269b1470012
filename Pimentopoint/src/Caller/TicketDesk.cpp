#include "TicketDesk.h"

namespace pimentopoint {

namespace {

    constexpr Duration ticketLifetime = std::chrono::minutes(2);
    constexpr std::size_t ticketCapacity = 200000;

    TicketDesk::Decision reply(RenderedAnswer answer)
    {
        TicketDesk::Decision decision;
        decision.reply = std::move(answer);
        return decision;
    }

    TicketDesk::Decision refuse(const SearchRequest& request, NotRunReason reason, const std::string& detail = {})
    {
        return reply(render(Answer::refused(reason, detail), request.id));
    }

    TicketDesk::Decision unknown(const SearchRequest& request, UnknownReason reason)
    {
        return reply(render(Answer::unknownOutcome(reason), request.id));
    }

} // namespace

TicketDesk::TicketDesk(MemberName self, Incarnation incarnation)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_ledger(ticketLifetime, ticketCapacity)
{
}

std::optional<std::string> TicketDesk::issue(Instant now)
{
    auto number = m_ledger.issue(now);
    if (!number)
        return std::nullopt;
    return Ticket(m_self, m_incarnation, *number).text();
}

TicketDesk::Decision TicketDesk::arrive(const SearchRequest& request, const Serving& serving, const IssuerLookup& issuer, Instant now)
{
    auto ticket = Ticket::parse(request.ticket);
    if (!ticket)
        return refuse(request, NotRunReason::NoTicket, "the ticket is malformed");
    if (own(*ticket))
        return claim(*ticket, request, serving, now);
    auto endpoint = issuer(*ticket);
    if (!endpoint)
        return unknown(request, UnknownReason::IncarnationGone);
    Decision decision;
    decision.step = Step::PassOn;
    decision.issuer = *endpoint;
    return decision;
}

TicketDesk::Decision TicketDesk::arrivePassedOn(const SearchRequest& request, const Serving& serving, Instant now)
{
    auto ticket = Ticket::parse(request.ticket);
    if (!ticket || !own(*ticket))
        return unknown(request, UnknownReason::IncarnationGone);
    return claim(*ticket, request, serving, now);
}

TicketDesk::Decision TicketDesk::claim(const Ticket& ticket, const SearchRequest& request, const Serving& serving, Instant now)
{
    // Whether new work is taken is asked after the ledger: a request that ran must never be called not run.
    TicketLedger::ClaimResult claimed = m_ledger.claim(ticket.number(), request.digest(), now);
    Decision decision;
    decision.number = ticket.number();
    switch (claimed.claim) {
    case TicketLedger::Claim::Granted:
        if (serving.open) {
            decision.step = Step::Run;
            return decision;
        }
        // The refusal is final: a copy of the request that arrives later must not run either.
        decision = refuse(request, serving.closedReason);
        finish(ticket.number(), decision.reply);
        return decision;
    case TicketLedger::Claim::Running:
        decision.step = Step::Await;
        return decision;
    case TicketLedger::Claim::Done:
        return reply(std::move(claimed.answer));
    case TicketLedger::Claim::Mismatch:
        return refuse(request, NotRunReason::TicketMismatch);
    case TicketLedger::Claim::NotIssued:
        return refuse(request, NotRunReason::NoTicket, "the ticket was never issued");
    case TicketLedger::Claim::Forgotten:
        break;
    }
    return unknown(request, UnknownReason::TicketExpired);
}

std::optional<RenderedAnswer> TicketDesk::outcome(std::uint64_t number, Digest request, Instant now)
{
    return m_ledger.outcome(number, request, now);
}

} // namespace pimentopoint
