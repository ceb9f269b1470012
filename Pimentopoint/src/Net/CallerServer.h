#pragma once

#include "../Core/Endpoint.h"
#include "CallerLink.h"

#include <boost/asio/ip/tcp.hpp>
#include <memory>
#include <set>
#include <unordered_map>

namespace pimentopoint {

/// \class CallerServer
/// \ingroup Net
/// \brief Accepts callers' connections and connects their requests with a CallEngine.
class CallerServer {
public:
    struct Hooks {
        std::function<void(CallId, std::shared_ptr<const CallerRequest>)> request;
        std::function<void(CallId)> left;
        std::function<CallerLimits()> limits;
        std::function<CallId()> nextCall {}; ///< Numbers the requests; without it they are numbered here.
        bool fromHosts = false; ///< Whether the callers are hosts whose fan-outs are run here.
    };

    /// \throws ListenFailure
    CallerServer(boost::asio::io_context& context, const Clock& clock, const HeaderDialect& dialect, const Endpoint& endpoint, std::size_t mostConnections, Hooks hooks);

    /// \returns whether the call is one of this server
    bool answer(CallId call, const CallerAnswer& answer);
    void check(Instant now);
    /// From now on answers ask callers to close their connections.
    void beginDrain() { m_draining = true; }
    /// Takes no new connections and closes idle ones.
    void closeIdle();
    /// \returns whether no request is being answered
    bool idle() const;
    std::size_t connections() const { return m_links.size(); }
    void closeAll();

private:
    void accept();
    CallId begin(const std::shared_ptr<CallerLink>& link, std::shared_ptr<const CallerRequest> request);

    boost::asio::ip::tcp::acceptor m_acceptor;
    const Clock& m_clock;
    const HeaderDialect& m_dialect;
    std::size_t m_mostConnections;
    Hooks m_hooks;
    std::set<std::shared_ptr<CallerLink>> m_links;
    std::unordered_map<CallId, std::shared_ptr<CallerLink>> m_calls;
    std::uint64_t m_lastCall = 0;
    bool m_draining = false;
};

} // namespace pimentopoint
