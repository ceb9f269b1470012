#pragma once

#include <compare>

namespace pimentopoint {

/// \class Fraction
/// \ingroup Core
/// \brief A share of a whole, 0 to 1; written in percent.
class Fraction {
public:
    constexpr Fraction() = default;
    explicit constexpr Fraction(double value)
        : m_value(value)
    {
    }

    constexpr double value() const { return m_value; }
    constexpr double percent() const { return m_value * 100; }

    auto operator<=>(const Fraction&) const = default;

private:
    double m_value = 0;
};

} // namespace pimentopoint
