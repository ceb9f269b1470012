#pragma once

#include "../Core/Endpoint.h"
#include "SearchRequest.h"
#include "Ticket.h"
#include "TicketTable.h"

#include <functional>
#include <optional>
#include <string>

namespace pimentopoint {

/// \class TicketDesk
/// \ingroup Caller
/// \brief Decides what a front does with a request that carries a ticket.
/// \details A ticket names the one incarnation that may run its request. That incarnation runs it at most once and
/// repeats the outcome to whoever asks again; any other front passes the request on. If the incarnation is gone, the
/// outcome is unknown: nobody else may run it, and nobody can say that it did not run.
class TicketHandler {
public:
    enum class Action {
        Run, ///< Run the request, then call finish().
        Reply, ///< Send the reply.
        Await, ///< It runs already: ask outcome() until it is there.
        Forward, ///< Send the request to the issuer.
    };
    struct Decision {
        Action action = Action::Reply;
        std::uint64_t number = 0; ///< Of the ticket, for finish() and outcome().
        RenderedAnswer reply;
        Endpoint issuer;
    };
    /// Whether this front may run something new, and if not, why.
    struct ServingState {
        bool serving = false;
        NotRunReason notServingReason = NotRunReason::Starting;
    };
    /// \returns where the issuer of a ticket is reached, or nothing if its incarnation is gone
    using IssuerLookup = std::function<std::optional<Endpoint>(const Ticket&)>;

    TicketHandler(MemberName self, Incarnation incarnation);

    /// \returns the text of a new ticket, or nothing if too many are out
    std::optional<std::string> issue(Instant now);
    /// A request from a caller.
    Decision handleRequest(const SearchRequest& request, const ServingState& serving, const IssuerLookup& issuer, Instant now);
    /// A request that another front passed on.
    Decision handleForwarded(const SearchRequest& request, const ServingState& serving, Instant now);
    void finish(std::uint64_t number, RenderedAnswer answer) { m_table.finish(number, std::move(answer)); }
    /// \returns the outcome of the ticket \a number, if it is there
    std::optional<RenderedAnswer> outcome(std::uint64_t number, Digest request, Instant now);

private:
    bool issuedHere(const Ticket& ticket) const { return ticket.member() == m_self && ticket.incarnation() == m_incarnation; }
    Decision claim(const Ticket& ticket, const SearchRequest& request, const ServingState& serving, Instant now);

    MemberName m_self;
    Incarnation m_incarnation;
    TicketTable m_table;
};

} // namespace pimentopoint
