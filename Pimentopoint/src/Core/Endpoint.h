#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace pimentopoint {

/// \class Endpoint
/// \ingroup Core
/// \brief An IPv4 address and a port.
class Endpoint {
public:
    Endpoint() = default;
    Endpoint(std::string address, std::uint16_t port)
        : m_address(std::move(address))
        , m_port(port)
    {
    }

    /// \returns the endpoint parsed from "a.b.c.d:port", or no value if \a text has another form
    static std::optional<Endpoint> parse(std::string_view text);

    const std::string& address() const { return m_address; }
    std::uint16_t port() const { return m_port; }
    bool empty() const { return m_address.empty(); }
    std::string text() const { return m_address + ":" + std::to_string(m_port); }

    auto operator<=>(const Endpoint&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(m_address, m_port); }

private:
    std::string m_address;
    std::uint16_t m_port = 0;
};

} // namespace pimentopoint
