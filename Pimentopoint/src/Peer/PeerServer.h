#pragma once

#include "PeerConnection.h"

#include <boost/asio/ip/tcp.hpp>

namespace pimentopoint {

/// \class PeerServer
/// \ingroup Peer
/// \brief Accepts connections from other processes.
class PeerServer {
public:
    PeerServer(boost::asio::io_context& context, const Endpoint& endpoint, PeerConnection::FrameHook onFrame, PeerConnection::ClosedHook onClosed);

    void start();
    /// Stops accepting connections; open ones are kept.
    void stop();

private:
    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    PeerConnection::FrameHook m_onFrame;
    PeerConnection::ClosedHook m_onClosed;
};

} // namespace pimentopoint
