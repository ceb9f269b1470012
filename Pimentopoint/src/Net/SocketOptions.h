#pragma once

#include "../Core/Clock.h"

#include <boost/asio/ip/tcp.hpp>

namespace pimentopoint {

/// \brief Disables Nagle's algorithm and closes the connection when sent bytes stay unacknowledged for \a timeout.
/// \param probe whether an idle connection is probed, so that an unreachable peer is detected within about \a timeout
void setUpSocket(boost::asio::ip::tcp::socket& socket, Duration timeout, bool probe);

} // namespace pimentopoint
