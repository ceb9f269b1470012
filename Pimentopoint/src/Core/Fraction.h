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

    /// \returns whether it is \a other or more, but for the rounding of equal key ranges
    constexpr bool reaches(Fraction other) const { return m_value + rounding >= other.m_value; }

    auto operator<=>(const Fraction&) const = default;

private:
    static constexpr double rounding = 1e-6;

    double m_value = 0;
};

} // namespace pimentopoint
