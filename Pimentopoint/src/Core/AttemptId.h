#pragma once

#include "Ids.h"

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace pimentopoint {

/// \class AttemptId
/// \ingroup Core
/// \brief Identifies one attempt of a sub-query: the incarnation of the sender and a number that the sender uses once.
class AttemptId {
public:
    AttemptId() = default;
    AttemptId(Incarnation sender, std::uint64_t number)
        : m_sender(sender)
        , m_number(number)
    {
    }

    Incarnation sender() const { return m_sender; }
    std::uint64_t number() const { return m_number; }
    /// \returns "sender-number" in decimal
    std::string text() const { return std::to_string(m_sender.value()) + "-" + std::to_string(m_number); }

    auto operator<=>(const AttemptId&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(m_sender, m_number); }

private:
    Incarnation m_sender;
    std::uint64_t m_number = 0;
};

} // namespace pimentopoint

template <>
struct std::hash<pimentopoint::AttemptId> {
    std::size_t operator()(const pimentopoint::AttemptId& id) const
    {
        return id.number() * 0x9E3779B97F4A7C15ULL ^ id.sender().value();
    }
};
