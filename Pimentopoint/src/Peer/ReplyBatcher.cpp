#include "ReplyBatcher.h"

#include <boost/asio/post.hpp>

namespace pimentopoint {

ReplyBatcher::ReplyBatcher(boost::asio::io_context& context, std::function<DocumentVersions()> versions)
    : m_context(context)
    , m_versions(std::move(versions))
{
}

void ReplyBatcher::setConnection(Incarnation sender, const PeerConnection::Pointer& connection)
{
    std::lock_guard lock(m_mutex);
    m_connections[sender] = connection;
}

void ReplyBatcher::removeConnection(const PeerConnection::Pointer& connection)
{
    std::lock_guard lock(m_mutex);
    std::erase_if(m_connections, [&](const auto& entry) { return entry.second == connection; });
}

bool ReplyBatcher::empty() const
{
    std::lock_guard lock(m_mutex);
    return m_pending.empty();
}

void ReplyBatcher::add(const AttemptId& attempt, SubReply reply)
{
    std::lock_guard lock(m_mutex);
    bool first = m_pending.empty();
    m_pending[attempt.sender()].push_back(std::move(reply));
    if (first)
        boost::asio::post(m_context, [this] { flush(); });
}

void ReplyBatcher::flush()
{
    std::map<Incarnation, std::vector<SubReply>> pending;
    std::map<Incarnation, PeerConnection::Pointer> connections;
    {
        std::lock_guard lock(m_mutex);
        pending.swap(m_pending);
        connections = m_connections;
    }
    DocumentVersions versions = m_versions();
    for (auto& [sender, replies] : pending) {
        auto connection = connections.find(sender);
        if (connection != connections.end())
            connection->second->send(encodeFrame(ReplyBatch { versions, sender, std::move(replies) }));
    }
}

} // namespace pimentopoint
