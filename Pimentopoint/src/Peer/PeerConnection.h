#pragma once

#include "../Core/Endpoint.h"
#include "Frame.h"
#include "HeartbeatMonitor.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/strand.hpp>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace pimentopoint {

/// Identifies a connection; unique within the process.
PP_STRONG_TYPE(ConnectionId, std::uint64_t);
/// Set by the sender of a frame to identify it if it cannot be sent.
PP_STRONG_TYPE(FrameTag, std::uint64_t);

/// \class PeerConnection
/// \ingroup Peer
/// \brief One TCP connection that carries frames. All its handlers run on one strand.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
public:
    using Pointer = std::shared_ptr<PeerConnection>;
    using FrameHook = std::function<void(const Pointer&, const Frame&)>;
    /// Called when the connection closes, with the frames of which no byte was written, and for each frame sent after that.
    using ClosedHook = std::function<void(const Pointer&, const std::vector<FrameTag>& unsent)>;

    PeerConnection(boost::asio::io_context& context, FrameHook onFrame, ClosedHook onClosed);

    ConnectionId id() const { return m_id; }
    boost::asio::ip::tcp::socket& socket() { return m_socket; }

    /// Starts reading from socket(), which was accepted.
    void startAccepted();
    /// Connects to \a endpoint within \a timeout; frames sent meanwhile are queued.
    void startConnect(const Endpoint& endpoint, Duration timeout);
    /// Queues \a bytes, one complete frame.
    void send(std::string bytes, FrameTag tag = FrameTag(0));
    void close();
    /// Sends a heartbeat or closes the connection if the peer is unresponsive.
    void checkHeartbeat(Instant now);

private:
    struct OutgoingFrame {
        std::string bytes;
        FrameTag tag;
    };

    void readHeader();
    void readBody(std::size_t length);
    void handleBody();
    void write();
    void closeOnStrand();
    void configureSocket();

    boost::asio::io_context& m_context;
    boost::asio::strand<boost::asio::io_context::executor_type> m_strand;
    boost::asio::ip::tcp::socket m_socket;
    FrameHook m_onFrame;
    ClosedHook m_onClosed;
    ConnectionId m_id;
    std::string m_header;
    std::string m_body;
    std::deque<OutgoingFrame> m_queue;
    std::vector<OutgoingFrame> m_writing;
    HeartbeatMonitor m_heartbeatMonitor;
    std::uint64_t m_lastHeartbeat = 0;
    bool m_connected = false;
    bool m_closed = false;
};

} // namespace pimentopoint
