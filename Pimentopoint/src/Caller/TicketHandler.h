#pragma once

#include "../Core/Endpoint.h"
#include "SearchRequest.h"
#include "Ticket.h"
#include "TicketTable.h"

#include <functional>
#include <optional>
#include <string>

namespace pimentopoint {

/// \class TicketHandler
/// \ingroup Caller
/// \brief Decides how a front handles a request that carries a ticket.
/// \details A ticket names the only incarnation that may run its request. That incarnation runs the request at most once and
/// returns the same outcome each time it arrives again; any other front forwards the request to it. If the incarnation is
/// gone, the outcome is unknown: no other front may run the request, and none can know that it did not run.
class TicketHandler {
public:
    enum class Action {
        Run, ///< Run the request, then call finish().
        Reply, ///< Send the reply.
        Await, ///< The request is already running: wait until outcome() returns it.
        Forward, ///< Forward the request to the issuer.
    };
    struct Decision {
        Action action = Action::Reply;
        std::uint64_t number = 0; ///< Number of the ticket, for finish() and outcome().
        RenderedAnswer reply;
        Endpoint issuer;
    };
    /// Whether this front may run new requests, and the reason if not.
    struct ServingState {
        bool serving = false;
        NotRunReason notServingReason = NotRunReason::Starting;
    };
    /// \returns the endpoint of the issuer of a ticket, or nothing if its incarnation is gone
    using IssuerLookup = std::function<std::optional<Endpoint>(const Ticket&)>;

    TicketHandler(MemberName self, Incarnation incarnation);

    /// \returns the text of a new ticket, or nothing if too many are outstanding
    std::optional<std::string> issue(Instant now);
    /// Handles a request from a caller.
    Decision handleRequest(const SearchRequest& request, const ServingState& serving, const IssuerLookup& issuer, Instant now);
    /// Handles a request that another front forwarded.
    Decision handleForwarded(const SearchRequest& request, const ServingState& serving, Instant now);
    void finish(std::uint64_t number, RenderedAnswer answer) { m_table.finish(number, std::move(answer)); }
    /// \returns the outcome of the ticket \a number, or nothing if it is not available
    std::optional<RenderedAnswer> outcome(std::uint64_t number, Digest request, Instant now);

private:
    bool issuedHere(const Ticket& ticket) const { return ticket.member() == m_self && ticket.incarnation() == m_incarnation; }
    Decision claim(const Ticket& ticket, const SearchRequest& request, const ServingState& serving, Instant now);

    MemberName m_self;
    Incarnation m_incarnation;
    TicketTable m_table;
};

} // namespace pimentopoint
