/// \file
/// Pieces of HTTP/1.1 that both sides of a host share.
#pragma once

#include "../Serve/TargetReply.h"

#include <boost/beast/http/fields.hpp>
#include <set>
#include <string>
#include <string_view>

namespace pimentopoint {

/// \returns whether \a a and \a b are equal but for case
bool sameHeader(std::string_view a, std::string_view b);

/// \brief Copies the headers of \a fields that concern more than one connection.
/// \param dropped names that are left out as well
HeaderList endToEndHeaders(const boost::beast::http::fields& fields, std::initializer_list<std::string_view> dropped);

/// Appends "name: value" and a line end.
void appendHeader(std::string& text, std::string_view name, std::string_view value);

/// \returns the reason phrase of \a status
std::string_view reasonPhrase(unsigned status);

} // namespace pimentopoint
