#include "ReplyOutbox.h"

#include <boost/asio/post.hpp>

namespace pimentopoint {

ReplyOutbox::ReplyOutbox(boost::asio::io_context& context, std::function<Versions()> versions)
    : m_context(context)
    , m_versions(std::move(versions))
{
}

void ReplyOutbox::setConnection(Incarnation sender, const PeerConnection::Pointer& connection)
{
    std::lock_guard lock(m_mutex);
    m_connections[sender] = connection;
}

void ReplyOutbox::forget(const PeerConnection::Pointer& connection)
{
    std::lock_guard lock(m_mutex);
    std::erase_if(m_connections, [&](const auto& entry) { return entry.second == connection; });
}

bool ReplyOutbox::empty() const
{
    std::lock_guard lock(m_mutex);
    return m_pending.empty();
}

void ReplyOutbox::add(const AttemptId& attempt, SubReply reply)
{
    std::lock_guard lock(m_mutex);
    bool first = m_pending.empty();
    m_pending[attempt.sender()].push_back(std::move(reply));
    if (first)
        boost::asio::post(m_context, [this] { flush(); });
}

void ReplyOutbox::flush()
{
    std::map<Incarnation, std::vector<SubReply>> pending;
    std::map<Incarnation, PeerConnection::Pointer> connections;
    {
        std::lock_guard lock(m_mutex);
        pending.swap(m_pending);
        connections = m_connections;
    }
    Versions versions = m_versions();
    for (auto& [sender, replies] : pending) {
        auto connection = connections.find(sender);
        if (connection != connections.end())
            connection->second->send(encodeFrame(ReplyBatch { versions, sender, std::move(replies) }));
    }
}

} // namespace pimentopoint
