#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string_view>

namespace pimentopoint {

/// \brief Reads the bytes available on a non-blocking socket, without waiting.
/// \param error on entry the result of the wait for bytes, on return that of the read; would_block if no bytes are available
/// \returns the bytes, in a buffer that all sockets of this thread share and the next call overwrites
std::string_view readAvailable(boost::asio::ip::tcp::socket& socket, boost::system::error_code& error);

} // namespace pimentopoint
