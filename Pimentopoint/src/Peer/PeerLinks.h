#pragma once

#include "PeerConnection.h"

#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <mutex>
#include <vector>

namespace pimentopoint {

/// \class PeerLinks
/// \ingroup Peer
/// \brief Outgoing connections, one for each endpoint. Each is opened on first use and again after it was lost.
class PeerLinks {
public:
    using LostHook = std::function<void(ConnectionId, const std::vector<FrameTag>& unsent)>;

    PeerLinks(boost::asio::io_context& context, PeerConnection::FrameHook onFrame, LostHook onLost);

    /// Sends a frame to \a endpoint.
    /// \returns the connection used; if the frame cannot be sent, the lost hook receives \a tag
    ConnectionId send(const Endpoint& endpoint, std::string bytes, FrameTag tag = FrameTag(0));
    /// \returns the connection that the next frame to \a endpoint will use
    ConnectionId connection(const Endpoint& endpoint) { return open(endpoint)->id(); }
    /// Starts the periodic check for unresponsive connections.
    void start();

private:
    PeerConnection::Pointer open(const Endpoint& endpoint);
    void remove(const PeerConnection::Pointer& connection);
    void checkHeartbeats();

    boost::asio::io_context& m_context;
    PeerConnection::FrameHook m_onFrame;
    LostHook m_onLost;
    boost::asio::steady_timer m_timer;
    std::mutex m_mutex;
    std::map<Endpoint, PeerConnection::Pointer> m_connections;
};

} // namespace pimentopoint
