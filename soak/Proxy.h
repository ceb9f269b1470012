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
/// \brief Carries TCP connections on loopback, with faults on demand.
class Proxy {
public:
    enum class Mode : std::uint8_t {
        Forward,
        Delay, ///< All bytes come later.
        Discard, ///< Bytes of both sides vanish; connections stay open.
        DiscardReplies, ///< Bytes to the server pass, those from it vanish.
    };

    Proxy(boost::asio::io_context& context, const Endpoint& listen, const Endpoint& server);

    void setMode(Mode mode) { m_mode = mode; }
    /// Makes the connections that are open now silent for good; new ones work.
    void discardOnOpenConnections();
    /// Resets all connections.
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
