#include "PeerServer.h"

namespace pimentopoint {

using boost::asio::ip::tcp;

PeerServer::PeerServer(boost::asio::io_context& context, const Endpoint& endpoint, PeerConnection::FrameHook onFrame, PeerConnection::ClosedHook onClosed)
    : m_context(context)
    , m_acceptor(boost::asio::make_strand(context), tcp::endpoint(boost::asio::ip::make_address_v4(endpoint.address()), endpoint.port()))
    , m_onFrame(std::move(onFrame))
    , m_onClosed(std::move(onClosed))
{
}

void PeerServer::start()
{
    auto connection = std::make_shared<PeerConnection>(m_context, m_onFrame, m_onClosed);
    m_acceptor.async_accept(connection->socket(), [this, connection](const boost::system::error_code& error) {
        if (error == boost::asio::error::operation_aborted || !m_acceptor.is_open())
            return;
        if (!error)
            handleAccepted(connection);
        start();
    });
}

void PeerServer::handleAccepted(const PeerConnection::Pointer& connection)
{
    connection->startAccepted();
    std::lock_guard lock(m_mutex);
    std::erase_if(m_connections, [](const std::weak_ptr<PeerConnection>& each) { return each.expired(); });
    m_connections.push_back(connection);
    if (!m_announcement.empty())
        connection->send(m_announcement);
}

void PeerServer::announce(const std::string& frame)
{
    std::lock_guard lock(m_mutex);
    m_announcement = frame;
    for (const std::weak_ptr<PeerConnection>& each : m_connections) {
        if (PeerConnection::Pointer connection = each.lock())
            connection->send(frame);
    }
}

} // namespace pimentopoint
