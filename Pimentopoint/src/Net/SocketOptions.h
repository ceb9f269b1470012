#pragma once

#include "../Core/Clock.h"

#include <boost/asio/ip/tcp.hpp>

namespace pimentopoint {

/// \brief Sends small pieces at once and ends the connection when sent bytes stay without acknowledgement for \a silence.
/// \param probe whether an idle connection is probed, so that a vanished peer is noticed within about \a silence
void setUpSocket(boost::asio::ip::tcp::socket& socket, Duration silence, bool probe);

} // namespace pimentopoint
