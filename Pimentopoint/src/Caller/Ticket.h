#pragma once

#include "../Core/Ids.h"

#include <optional>
#include <string>
#include <string_view>

namespace pimentopoint {

/// \class Ticket
/// \ingroup Caller
/// \brief Identifies the only process incarnation that may run a request, and the request within that incarnation.
class Ticket {
public:
    Ticket(MemberName member, Incarnation incarnation, std::uint64_t number)
        : m_member(std::move(member))
        , m_incarnation(incarnation)
        , m_number(number)
    {
    }

    /// \returns the ticket written as "member/incarnation/number", or nothing if \a text is malformed
    static std::optional<Ticket> parse(std::string_view text);

    const MemberName& member() const { return m_member; }
    Incarnation incarnation() const { return m_incarnation; }
    std::uint64_t number() const { return m_number; }
    std::string text() const;

private:
    MemberName m_member;
    Incarnation m_incarnation;
    std::uint64_t m_number;
};

} // namespace pimentopoint
