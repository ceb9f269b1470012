#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

namespace pimentopoint {

/// \brief Reads what has come on a socket that does not block, without waiting.
/// \param error what the wait for it ended with; would_block afterwards if nothing has come
/// \returns the bytes; they stand in a buffer that all sockets of this thread share until the next call
std::string_view readAvailable(boost::asio::ip::tcp::socket& socket, boost::system::error_code& error);

} // namespace pimentopoint
