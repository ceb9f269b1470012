/// \file
/// TCP proxy of the soak. It runs on the thread of its io_context and depends on Core and Net.
#pragma once

#include <Pimentopoint/Core>
#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <memory>
#include <set>
#include <string>

namespace pimentopoint {

/// \class Proxy
/// \brief Forwards TCP connections on loopback, with faults on demand.
class Proxy {
public:
    enum class Mode : std::uint8_t {
        Forward,
        Delay, ///< Forwards with a delay of 60 ms in each direction.
        Discard, ///< Discards the bytes of both sides; connections stay open.
        DiscardReplies, ///< Forwards bytes to the server and discards those from it.
        Flood, ///< Replaces a reply of the server by one that does not end.
    };

    Proxy(boost::asio::io_context& context, const Endpoint& listen, const Endpoint& server);

    void setMode(Mode mode) { m_mode = mode; }
    Mode mode() const { return m_mode; }
    /// Discards all further bytes of the connections that are open now; new connections work.
    void discardOnOpenConnections();
    /// Closes all connections with a TCP reset.
    void reset();

private:
    struct Connection;
    void accept();

    boost::asio::io_context& m_context;
    Endpoint m_server;
    boost::asio::ip::tcp::acceptor m_acceptor;
    Mode m_mode = Mode::Forward;
    std::set<std::shared_ptr<Connection>> m_connections;
};

} // namespace pimentopoint
