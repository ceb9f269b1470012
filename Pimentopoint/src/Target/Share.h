#pragma once

#include <cstdint>

namespace pimentopoint {

/// \class Share
/// \ingroup Target
/// \brief Share of a target's slots and connections that one gateway may use.
class Share {
public:
    Share() = default;
    Share(std::uint32_t slots, std::uint32_t coldLimit, std::uint32_t connections)
        : m_slots(slots)
        , m_coldLimit(coldLimit)
        , m_connections(connections)
    {
    }

    /// \returns the maximum number of requests that this gateway may have outstanding at the target
    std::uint32_t slots() const { return m_slots; }
    /// \returns the maximum number of outstanding requests while the target is cold
    std::uint32_t coldLimit() const { return m_coldLimit; }

    /// \returns the maximum number of connections that this gateway may hold to the target
    std::uint32_t connections() const { return m_connections; }
    bool empty() const { return !m_slots; }

    bool operator==(const Share&) const = default;

private:
    std::uint32_t m_slots = 0;
    std::uint32_t m_coldLimit = 0;
    std::uint32_t m_connections = 0;
};

} // namespace pimentopoint
