/// \file
/// Pieces of HTTP/1.1 that both sides of a host share.
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

/// \returns whether \a a and \a b are equal but for case
bool equalsIgnoringCase(std::string_view a, std::string_view b);

/// \brief Copies the headers of \a fields that concern more than one connection.
/// \param dropped names that are left out as well
HeaderList endToEndHeaders(const boost::beast::http::fields& fields, std::initializer_list<std::string_view> dropped);

/// \returns the value of the header \a name; empty if there is none
std::string_view headerValue(const boost::beast::http::fields& fields, std::string_view name);

/// \returns the number that \a value writes in decimal digits, nothing if it writes none
std::optional<std::uint64_t> parseNumber(std::string_view value);

/// \returns the numbers that \a value lists with commas between them, nothing if it does not; none for an empty \a value
std::optional<std::vector<std::size_t>> parseNumbers(std::string_view value);

/// \returns \a numbers with commas between them
std::string joinNumbers(const std::vector<std::size_t>& numbers);

/// Appends "name: value" and a line end.
void appendHeader(std::string& text, std::string_view name, std::string_view value);

/// \returns the reason phrase of \a status
std::string_view reasonPhrase(unsigned status);

} // namespace pimentopoint
