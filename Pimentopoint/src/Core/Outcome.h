/// \file
/// Outcomes of requests and sub-requests, and the reasons reported with them.
#pragma once

#include <cstdint>
#include <string_view>

namespace pimentopoint {

/// Outcome of a request as reported to a caller or a front.
enum class Outcome : std::uint8_t {
    Answered, ///< The request ran and its reply is complete.
    Partial, ///< The request ran and the reply is incomplete.
    NotRun, ///< The request did not run and will not run.
    Unknown, ///< The request may have run or may still run.
};

/// Reason why a request was not run.
enum class NotRunReason : std::uint8_t {
    None,
    BadRequest,
    NoSuchSearchFront,
    NoTicket,
    TicketMismatch,
    Shed,
    Leaving,
    TakenOut,
    Stale,
    Deadline,
    Starting,
    Stopping,
    SnapshotGone,
    Unreachable,
    NotOwner,
    Cancelled,
};

/// Reason why the outcome of a request is unknown.
enum class UnknownReason : std::uint8_t {
    None,
    ConnectionLost,
    Deadline,
    IncarnationGone,
    TicketExpired,
    InvalidReply,
};

/// \returns the text of \a outcome in the protocol of callers
std::string_view textOf(Outcome outcome);
/// \returns the text of \a reason in the protocol of callers
std::string_view textOf(NotRunReason reason);
/// \returns the text of \a reason in the protocol of callers
std::string_view textOf(UnknownReason reason);

} // namespace pimentopoint
