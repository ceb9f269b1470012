/// \file
/// Parsing and formatting of durations ("59ms") and fractions ("5%").
#pragma once

#include "Clock.h"
#include "Fraction.h"

#include <optional>
#include <string>
#include <string_view>

namespace pimentopoint {

/// \returns the duration in \a text, a number with the unit us, ms, s or min; no value if \a text has another form
std::optional<Duration> parseDuration(std::string_view text);
/// \returns \a duration as an integer with the largest of the units s, ms and us that represents it exactly
std::string formatDuration(Duration duration);
/// \returns the fraction in \a text, a percentage from 0% to 100%; no value if \a text has another form
std::optional<Fraction> parseFraction(std::string_view text);
/// \returns \a fraction as a percentage
std::string formatFraction(Fraction fraction);

} // namespace pimentopoint
