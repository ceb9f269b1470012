#include "Ticket.h"

#include <charconv>

namespace pimentopoint {

namespace {

    std::optional<std::uint64_t> parseNumber(std::string_view text)
    {
        std::uint64_t number = 0;
        auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc() || end != text.data() + text.size())
            return std::nullopt;
        return number;
    }

} // namespace

std::optional<Ticket> Ticket::parse(std::string_view text)
{
    std::size_t second = text.rfind('/');
    if (second == std::string_view::npos || !second)
        return std::nullopt;
    std::size_t first = text.rfind('/', second - 1);
    if (first == std::string_view::npos || !first)
        return std::nullopt;
    auto incarnation = parseNumber(text.substr(first + 1, second - first - 1));
    auto number = parseNumber(text.substr(second + 1));
    if (!incarnation || !number)
        return std::nullopt;
    return Ticket(MemberName(std::string(text.substr(0, first))), Incarnation(*incarnation), *number);
}

std::string Ticket::text() const
{
    return m_member.value() + "/" + std::to_string(m_incarnation.value()) + "/" + std::to_string(m_number);
}

} // namespace pimentopoint
