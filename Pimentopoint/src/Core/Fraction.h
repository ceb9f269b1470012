#pragma once

#include <compare>

namespace pimentopoint {

/// \class Fraction
/// \ingroup Core
/// \brief A fraction between 0 and 1; its text form is a percentage.
class Fraction {
public:
    constexpr Fraction() = default;
    explicit constexpr Fraction(double value)
        : m_value(value)
    {
    }

    constexpr double value() const { return m_value; }
    constexpr double percent() const { return m_value * 100; }

    /// \returns whether this is at least \a other, ignoring a rounding error of up to 1e-6 from the addition of key ranges
    constexpr bool reaches(Fraction other) const { return m_value + rounding >= other.m_value; }

    auto operator<=>(const Fraction&) const = default;

private:
    static constexpr double rounding = 1e-6;

    double m_value = 0;
};

} // namespace pimentopoint
