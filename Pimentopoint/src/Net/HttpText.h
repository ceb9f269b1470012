/// \file
/// HTTP/1.1 functions shared by the connections of callers and of targets.
#pragma once

#include "../Serve/TargetReply.h"

#include <boost/beast/http/fields.hpp>
#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

namespace pimentopoint {

/// \returns whether \a a and \a b are equal, ignoring case
bool equalsIgnoringCase(std::string_view a, std::string_view b);

/// \brief Copies the end-to-end headers of \a fields, without hop-by-hop headers, Content-Length and Expect.
/// \param dropped names of other headers to leave out
HeaderList endToEndHeaders(const boost::beast::http::fields& fields, std::initializer_list<std::string_view> dropped);

/// \returns the value of the header \a name; empty if there is none
std::string_view headerValue(const boost::beast::http::fields& fields, std::string_view name);

/// \returns the number in \a value, or nothing if \a value is not a decimal number
std::optional<std::uint64_t> parseNumber(std::string_view value);
/// \returns the decimal number in \a value, which must be finite and not negative; nothing if it is anything else
std::optional<double> parseRate(std::string_view value);
/// \returns the time in \a value, a number of seconds, at most an hour; nothing if it is anything else, for example a date
std::optional<Duration> parseRetryAfter(std::string_view value);

/// \returns the time in \a value, a decimal number of microseconds, at most a day; nothing if it is anything else
std::optional<Duration> parseMicroseconds(std::string_view value);

/// \returns the comma-separated numbers in \a value, which may be empty, or nothing if \a value is not such a list
std::optional<std::vector<std::size_t>> parseNumbers(std::string_view value);

/// \returns \a numbers separated by commas
std::string joinNumbers(const std::vector<std::size_t>& numbers);

/// Appends the header line "name: value" with its line end.
void appendHeader(std::string& text, std::string_view name, std::string_view value);

/// \returns the reason phrase of \a status
std::string_view reasonPhrase(unsigned status);

} // namespace pimentopoint
