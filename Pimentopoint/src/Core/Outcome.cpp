#include "Outcome.h"

#include <array>

namespace pimentopoint {

std::string_view textOf(Outcome outcome)
{
    constexpr std::array<std::string_view, 4> texts { "answer", "partial", "not-run", "unknown" };
    return texts.at(static_cast<std::size_t>(outcome));
}

std::string_view textOf(NotRunReason reason)
{
    constexpr std::array<std::string_view, 16> texts { "none", "bad-request", "no-such-search-front", "no-ticket",
        "ticket-mismatch", "shed", "leaving", "taken-out", "stale", "deadline", "starting", "stopping", "snapshot-gone",
        "unreachable", "not-owner", "cancelled" };
    return texts.at(static_cast<std::size_t>(reason));
}

std::string_view textOf(UnknownReason reason)
{
    constexpr std::array<std::string_view, 6> texts { "none", "connection-lost", "deadline", "incarnation-gone",
        "ticket-expired", "invalid-reply" };
    return texts.at(static_cast<std::size_t>(reason));
}

} // namespace pimentopoint
