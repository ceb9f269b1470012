#include "CallerServer.h"

#include "Listen.h"

#include <algorithm>
#include <vector>

namespace pimentopoint {

namespace asio = boost::asio;

CallerServer::CallerServer(asio::io_context& context, const Clock& clock, const HeaderNames& dialect, const Endpoint& endpoint, std::size_t mostConnections, Hooks hooks)
    : m_acceptor(listenOn(context, endpoint))
    , m_clock(clock)
    , m_headerNames(dialect)
    , m_maxConnections(mostConnections)
    , m_hooks(std::move(hooks))
{
    accept();
}

void CallerServer::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code& error, asio::ip::tcp::socket socket) {
        if (!m_acceptor.is_open())
            return;
        if (!error && m_connections.size() < m_maxConnections) {
            CallerConnection::Hooks hooks;
            hooks.request = [this](const std::shared_ptr<CallerConnection>& link, std::shared_ptr<const CallerRequest> request) { return beginCall(link, std::move(request)); };
            hooks.disconnected = [this](CallId call) {
                m_calls.erase(call);
                m_hooks.disconnected(call);
            };
            hooks.closed = [this](const std::shared_ptr<CallerConnection>& link) { m_connections.erase(link); };
            hooks.limits = m_hooks.limits;
            hooks.acceptsDelegations = m_hooks.acceptsDelegations;
            hooks.draining = [this] { return m_draining; };
            auto link = std::make_shared<CallerConnection>(std::move(socket), m_clock, m_headerNames, std::move(hooks));
            m_connections.insert(link);
            link->start();
        }
        accept();
    });
}

CallId CallerServer::beginCall(const std::shared_ptr<CallerConnection>& link, std::shared_ptr<const CallerRequest> request)
{
    CallId call = m_hooks.nextCallId ? m_hooks.nextCallId() : CallId(++m_lastCallId);
    m_calls.emplace(call, link);
    m_hooks.request(call, std::move(request));
    return call;
}

bool CallerServer::answer(CallId call, const CallerAnswer& answer)
{
    auto found = m_calls.find(call);
    if (found == m_calls.end())
        return false;
    std::shared_ptr<CallerConnection> link = found->second;
    m_calls.erase(found);
    link->answer(answer);
    return true;
}

void CallerServer::enforceTimeouts(Instant now)
{
    std::vector<std::shared_ptr<CallerConnection>> links(m_connections.begin(), m_connections.end());
    for (const auto& link : links)
        link->enforceTimeouts(now);
}

void CallerServer::closeIdle()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    std::vector<std::shared_ptr<CallerConnection>> links(m_connections.begin(), m_connections.end());
    for (const auto& link : links)
        link->closeIfIdle();
}

bool CallerServer::idle() const
{
    return std::none_of(m_connections.begin(), m_connections.end(), [](const auto& link) { return link->busy(); });
}

void CallerServer::closeAll()
{
    std::vector<std::shared_ptr<CallerConnection>> links(m_connections.begin(), m_connections.end());
    for (const auto& link : links)
        link->close();
}

} // namespace pimentopoint
