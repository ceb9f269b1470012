#pragma once

#include "PeerConnection.h"

#include <boost/asio/io_context.hpp>
#include <functional>
#include <map>
#include <mutex>

namespace pimentopoint {

/// \class ReplyBatcher
/// \ingroup Peer
/// \brief Collects replies and sends those to the same incarnation of a front that arrive close together in one frame.
class ReplyBatcher {
public:
    ReplyBatcher(boost::asio::io_context& context, std::function<DocumentVersions()> versions);

    /// Sets the connection for replies to the incarnation \a sender of a front.
    void setConnection(Incarnation sender, const PeerConnection::Pointer& connection);
    void add(const AttemptId& attempt, SubReply reply);
    /// Removes a connection that was closed.
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
