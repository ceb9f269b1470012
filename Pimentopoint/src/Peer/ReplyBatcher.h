#pragma once

#include "PeerConnection.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <mutex>

namespace pimentopoint {

/// \class ReplyOutbox
/// \ingroup Peer
/// \brief Gathers replies for each front incarnation and sends those that came together in one frame.
class ReplyBatcher {
public:
    ReplyBatcher(boost::asio::io_context& context, std::function<DocumentVersions()> versions);

    /// Notes the connection over which \a sender is reached.
    void setConnection(Incarnation sender, const PeerConnection::Pointer& connection);
    void add(const AttemptId& attempt, SubReply reply);
    /// Forgets a connection that ended.
    void removeConnection(const PeerConnection::Pointer& connection);
    bool empty() const;

private:
    void flush();

    boost::asio::io_context& m_context;
    std::function<DocumentVersions()> m_versions;
    mutable std::mutex m_mutex;
    std::map<Incarnation, PeerConnection::Pointer> m_connections;
    std::map<Incarnation, std::vector<SubReply>> m_pending;
};

} // namespace pimentopoint
