/// \file
/// Confines exceptions to the connection whose handler they leave.
#pragma once

#include <exception>
#include <string_view>

namespace pimentopoint {

/// Logs that \a error left a handler of \a owner, the kind of connection or component; \a peer is its other end, if it has one.
void logHandlerException(std::string_view owner, std::string_view peer, const std::exception& error);

/// \brief Runs \a handler; if an exception leaves it, calls \a end with the exception.
/// \details An exception that \a end itself throws is passed on.
template <typename Handler, typename End>
void runGuarded(Handler&& handler, End&& end)
{
    try {
        handler();
    } catch (const std::exception& error) {
        end(error);
    }
}

} // namespace pimentopoint
