/// \file
/// What became of a request or of a part of one.
#pragma once

#include <cstdint>
#include <string_view>

namespace pimentopoint {

/// What a caller or a front is told of a request.
enum class Outcome : std::uint8_t {
    Answered, ///< It ran and its whole reply is here.
    Partial, ///< It ran; a part of the reply is here.
    NotRun, ///< It did not run and never will.
    Unknown, ///< It may have run, or may yet.
};

/// Why a request was not run.
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

/// Why the outcome of a request is unknown.
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
