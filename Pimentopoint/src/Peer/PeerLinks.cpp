#include "PeerLinks.h"

#include "../Core/SystemClock.h"

namespace pimentopoint {

namespace {

    constexpr Duration connectTimeout = std::chrono::milliseconds(300);
    constexpr Duration heartbeatCheckInterval = std::chrono::milliseconds(50);

} // namespace

PeerLinks::PeerLinks(boost::asio::io_context& context, PeerConnection::FrameHook onFrame, LostHook onLost)
    : m_context(context)
    , m_onFrame(std::move(onFrame))
    , m_onLost(std::move(onLost))
    , m_timer(context)
{
}

ConnectionId PeerLinks::send(const Endpoint& endpoint, std::string bytes, FrameTag tag)
{
    PeerConnection::Pointer connection = open(endpoint);
    connection->send(std::move(bytes), tag);
    return connection->id();
}

PeerConnection::Pointer PeerLinks::open(const Endpoint& endpoint)
{
    std::lock_guard lock(m_mutex);
    PeerConnection::Pointer& connection = m_connections[endpoint];
    if (connection)
        return connection;
    auto onClosed = [this](const PeerConnection::Pointer& closed, const std::vector<FrameTag>& unsent) {
        remove(closed);
        m_onLost(closed->id(), unsent);
    };
    connection = std::make_shared<PeerConnection>(m_context, m_onFrame, onClosed);
    connection->startConnect(endpoint, connectTimeout);
    return connection;
}

void PeerLinks::remove(const PeerConnection::Pointer& connection)
{
    std::lock_guard lock(m_mutex);
    std::erase_if(m_connections, [&](const auto& entry) { return entry.second == connection; });
}

void PeerLinks::start()
{
    m_timer.expires_after(heartbeatCheckInterval);
    m_timer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        checkHeartbeats();
        start();
    });
}

void PeerLinks::checkHeartbeats()
{
    Instant now = SystemClock().now();
    std::vector<PeerConnection::Pointer> connections;
    {
        std::lock_guard lock(m_mutex);
        for (const auto& [endpoint, connection] : m_connections)
            connections.push_back(connection);
    }
    for (const PeerConnection::Pointer& connection : connections)
        connection->checkHeartbeat(now);
}

} // namespace pimentopoint
