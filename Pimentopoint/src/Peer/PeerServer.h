#pragma once

#include "PeerConnection.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

namespace pimentopoint {

/// \class PeerServer
/// \ingroup Peer
/// \brief Accepts connections from other processes.
class PeerServer {
public:
    PeerServer(boost::asio::io_context& context, const Endpoint& endpoint, PeerConnection::FrameHook onFrame, PeerConnection::ClosedHook onClosed);

    void start();
    /// Sends \a frame on every accepted connection that is open, and as the first frame on those accepted from now on.
    void announce(const std::string& frame);

private:
    void handleAccepted(const PeerConnection::Pointer& connection);

    boost::asio::io_context& m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    PeerConnection::FrameHook m_onFrame;
    PeerConnection::ClosedHook m_onClosed;
    std::mutex m_mutex;
    std::vector<std::weak_ptr<PeerConnection>> m_connections; ///< Accepted connections; closed ones are removed when the next one is accepted.
    std::string m_announcement; ///< Frame that new connections receive first; empty if there is none.
};

} // namespace pimentopoint
