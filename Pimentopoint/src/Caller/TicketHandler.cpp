#include "TicketHandler.h"

namespace pimentopoint {

namespace {

    constexpr Duration ticketLifetime = std::chrono::minutes(2);
    constexpr std::size_t ticketCapacity = 200000;

    TicketHandler::Decision reply(RenderedAnswer answer)
    {
        TicketHandler::Decision decision;
        decision.reply = std::move(answer);
        return decision;
    }

    TicketHandler::Decision refuse(const SearchRequest& request, NotRunReason reason, const std::string& detail = {})
    {
        return reply(render(Answer::refused(reason, detail), request.id));
    }

    TicketHandler::Decision unknown(const SearchRequest& request, UnknownReason reason)
    {
        return reply(render(Answer::unknownOutcome(reason), request.id));
    }

} // namespace

TicketHandler::TicketHandler(MemberName self, Incarnation incarnation)
    : m_self(std::move(self))
    , m_incarnation(incarnation)
    , m_table(ticketLifetime, ticketCapacity)
{
}

std::optional<std::string> TicketHandler::issue(Instant now)
{
    auto number = m_table.issue(now);
    if (!number)
        return std::nullopt;
    return Ticket(m_self, m_incarnation, *number).text();
}

TicketHandler::Decision TicketHandler::handleRequest(const SearchRequest& request, const ServingState& serving, const IssuerLookup& issuer, Instant now)
{
    auto ticket = Ticket::parse(request.ticket);
    if (!ticket)
        return refuse(request, NotRunReason::NoTicket, "the ticket is malformed");
    if (issuedHere(*ticket))
        return claim(*ticket, request, serving, now);
    auto endpoint = issuer(*ticket);
    if (!endpoint)
        return unknown(request, UnknownReason::IncarnationGone);
    Decision decision;
    decision.action = Action::Forward;
    decision.issuer = *endpoint;
    return decision;
}

TicketHandler::Decision TicketHandler::handleForwarded(const SearchRequest& request, const ServingState& serving, Instant now)
{
    auto ticket = Ticket::parse(request.ticket);
    if (!ticket || !issuedHere(*ticket))
        return unknown(request, UnknownReason::IncarnationGone);
    return claim(*ticket, request, serving, now);
}

TicketHandler::Decision TicketHandler::claim(const Ticket& ticket, const SearchRequest& request, const ServingState& serving, Instant now)
{
    // The ticket table is consulted before the serving state: a request that ran must never be reported as not run.
    TicketTable::ClaimResult claimed = m_table.claim(ticket.number(), request.digest(), now);
    Decision decision;
    decision.number = ticket.number();
    switch (claimed.claim) {
    case TicketTable::Claim::Granted:
        if (serving.serving) {
            decision.action = Action::Run;
            return decision;
        }
        // The refusal is final: a copy of the request that arrives later must not run either.
        decision = refuse(request, serving.notServingReason);
        finish(ticket.number(), decision.reply);
        return decision;
    case TicketTable::Claim::Running:
        decision.action = Action::Await;
        return decision;
    case TicketTable::Claim::Done:
        return reply(std::move(claimed.answer));
    case TicketTable::Claim::Mismatch:
        return refuse(request, NotRunReason::TicketMismatch);
    case TicketTable::Claim::NotIssued:
        return refuse(request, NotRunReason::NoTicket, "the ticket was never issued");
    case TicketTable::Claim::Expired:
        break;
    }
    return unknown(request, UnknownReason::TicketExpired);
}

std::optional<RenderedAnswer> TicketHandler::outcome(std::uint64_t number, Digest request, Instant now)
{
    return m_table.outcome(number, request, now);
}

} // namespace pimentopoint
