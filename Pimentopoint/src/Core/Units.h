/// \file
/// Text form of durations ("59ms") and fractions ("5%").
#pragma once

#include "Clock.h"
#include "Fraction.h"

#include <optional>
#include <string>
#include <string_view>

namespace pimentopoint {

/// \returns the duration that \a text writes with one of the units us, ms, s, min; nothing if it writes none
std::optional<Duration> parseDuration(std::string_view text);
/// \returns \a duration with the largest unit that keeps it whole
std::string formatDuration(Duration duration);
/// \returns the fraction that \a text writes in percent, 0% to 100%; nothing if it writes none
std::optional<Fraction> parseFraction(std::string_view text);
/// \returns \a fraction in percent
std::string formatFraction(Fraction fraction);

} // namespace pimentopoint
