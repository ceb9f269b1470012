#include "Endpoint.h"

#include <arpa/inet.h>
#include <charconv>

namespace pimentopoint {

std::optional<Endpoint> Endpoint::parse(std::string_view text)
{
    std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string address(text.substr(0, colon));
    std::string_view portText = text.substr(colon + 1);
    in_addr parsed {};
    if (inet_pton(AF_INET, address.c_str(), &parsed) != 1)
        return std::nullopt;
    std::uint16_t port = 0;
    auto [end, error] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (error != std::errc() || end != portText.data() + portText.size() || !port)
        return std::nullopt;
    return Endpoint(address, port);
}

} // namespace pimentopoint
