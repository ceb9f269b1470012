#pragma once

#include "../Core/Clock.h"
#include "../Core/Ids.h"
#include "Answer.h"

#include <array>
#include <deque>
#include <mutex>
#include <optional>
#include <unordered_map>

namespace pimentopoint {

/// \class TicketTable
/// \ingroup Caller
/// \brief Keeps the state and the answer of every ticket that this incarnation issued.
/// \details A ticket is claimed at most once. It is removed after its lifetime, and its request then counts as possibly run. A
/// request with a number that was never issued did not run. State is divided into stripes, each with its own lock.
class TicketTable {
public:
    /// Result of a claim of a ticket for a request.
    enum class Claim {
        Granted, ///< The caller of claim() must run the request now, then call finish().
        Running, ///< The request is already running.
        Done, ///< The request has been run or refused; its answer is known.
        Mismatch, ///< The ticket was used for another request.
        NotIssued, ///< This incarnation issued no such ticket.
        Expired, ///< The lifetime of the ticket is over; the request may have run.
    };
    struct ClaimResult {
        Claim claim;
        RenderedAnswer answer; ///< Set when \c claim is Done.
    };

    /// \param lifetime time for which a ticket and its answer are kept
    /// \param capacity maximum number of tickets kept at once
    TicketTable(Duration lifetime, std::size_t capacity)
        : m_lifetime(lifetime)
        , m_capacityPerStripe(capacity / stripeCount)
    {
    }

    /// \returns the number of a new ticket, or nothing if the table is full
    std::optional<std::uint64_t> issue(Instant now);
    /// Claims ticket \a number for the request with digest \a request.
    ClaimResult claim(std::uint64_t number, Digest request, Instant now);
    /// \returns the answer to the request with digest \a request that claimed ticket \a number, or nothing if it is not available
    std::optional<RenderedAnswer> outcome(std::uint64_t number, Digest request, Instant now);
    void finish(std::uint64_t number, RenderedAnswer answer);

private:
    enum class State {
        Issued,
        Running,
        Done,
    };
    struct Entry {
        State state = State::Issued;
        Instant issuedAt;
        Digest request;
        RenderedAnswer answer;
    };
    struct Stripe {
        std::mutex mutex;
        std::unordered_map<std::uint64_t, Entry> entries;
        std::deque<std::uint64_t> issueOrder;
    };

    static constexpr std::size_t stripeCount = 16;

    Stripe& stripe(std::uint64_t number) { return m_stripes[number % stripeCount]; }
    void removeExpired(Stripe& stripe, Instant now) const;

    Duration m_lifetime;
    std::size_t m_capacityPerStripe;
    std::mutex m_numberMutex;
    std::uint64_t m_lastNumber = 0;
    std::array<Stripe, stripeCount> m_stripes;
};

} // namespace pimentopoint
