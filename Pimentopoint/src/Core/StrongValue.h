#pragma once

#include <compare>
#include <cstddef>
#include <functional>
#include <ostream>
#include <utility>

namespace pimentopoint {

/// \class StrongValue
/// \ingroup Core
/// \brief Strong typedef of \c Representation: values with different \c Tag types do not convert to each other.
template <typename Tag, typename Representation>
class StrongValue {
public:
    constexpr StrongValue() = default;
    explicit constexpr StrongValue(Representation value)
        : m_value(std::move(value))
    {
    }

    /// \returns the wrapped value
    constexpr const Representation& value() const { return m_value; }

    auto operator<=>(const StrongValue&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(m_value); }

private:
    Representation m_value {};
};

template <typename Tag, typename Representation>
std::ostream& operator<<(std::ostream& stream, const StrongValue<Tag, Representation>& value)
{
    return stream << value.value();
}

} // namespace pimentopoint

template <typename Tag, typename Representation>
struct std::hash<pimentopoint::StrongValue<Tag, Representation>> {
    std::size_t operator()(const pimentopoint::StrongValue<Tag, Representation>& value) const
    {
        return std::hash<Representation>()(value.value());
    }
};
