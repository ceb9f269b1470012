#include "CallerServer.h"

#include "HandlerGuard.h"
#include "Listen.h"

#include <algorithm>
#include <vector>

namespace pimentopoint {

namespace asio = boost::asio;

CallerServer::CallerServer(asio::io_context& context, const Clock& clock, const HeaderNames& headerNames, const Endpoint& endpoint, std::size_t maxConnections, Hooks hooks)
    : m_acceptor(listenOn(context, endpoint))
    , m_clock(clock)
    , m_headerNames(headerNames)
    , m_maxConnections(maxConnections)
    , m_hooks(std::move(hooks))
{
    accept();
}

void CallerServer::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code& error, asio::ip::tcp::socket socket) {
        if (!m_acceptor.is_open())
            return;
        if (!error && m_connections.size() < m_maxConnections)
            runGuarded([&] { addConnection(std::move(socket)); }, [](const std::exception& failure) { logHandlerException("acceptor of callers", "", failure); });
        accept();
    });
}

void CallerServer::addConnection(asio::ip::tcp::socket socket)
{
    CallerConnection::Hooks hooks;
    hooks.request = [this](const std::shared_ptr<CallerConnection>& connection, std::shared_ptr<const CallerRequest> request) { return beginCall(connection, std::move(request)); };
    hooks.disconnected = [this](CallId call) {
        m_calls.erase(call);
        m_hooks.disconnected(call);
    };
    hooks.closed = [this](const std::shared_ptr<CallerConnection>& connection) { m_connections.erase(connection); };
    hooks.limits = m_hooks.limits;
    hooks.acceptsDelegations = m_hooks.acceptsDelegations;
    hooks.answerMemory = m_hooks.answerMemory;
    hooks.draining = [this] { return m_draining; };
    auto connection = std::make_shared<CallerConnection>(std::move(socket), m_clock, m_headerNames, std::move(hooks));
    m_connections.insert(connection);
    connection->start();
}

CallId CallerServer::beginCall(const std::shared_ptr<CallerConnection>& connection, std::shared_ptr<const CallerRequest> request)
{
    CallId call = m_hooks.nextCallId ? m_hooks.nextCallId() : CallId(++m_lastCallId);
    m_calls.emplace(call, connection);
    m_hooks.request(call, std::move(request));
    return call;
}

bool CallerServer::answer(CallId call, const CallerAnswer& answer)
{
    auto found = m_calls.find(call);
    if (found == m_calls.end())
        return false;
    std::shared_ptr<CallerConnection> connection = found->second;
    m_calls.erase(found);
    connection->answer(answer);
    return true;
}

void CallerServer::enforceTimeouts(Instant now)
{
    std::vector<std::shared_ptr<CallerConnection>> connections(m_connections.begin(), m_connections.end());
    for (const auto& connection : connections)
        connection->enforceTimeouts(now);
}

void CallerServer::closeIdle()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    std::vector<std::shared_ptr<CallerConnection>> connections(m_connections.begin(), m_connections.end());
    for (const auto& connection : connections)
        connection->closeIfIdle();
}

bool CallerServer::idle() const
{
    return std::none_of(m_connections.begin(), m_connections.end(), [](const auto& connection) { return connection->busy(); });
}

void CallerServer::closeAll()
{
    std::vector<std::shared_ptr<CallerConnection>> connections(m_connections.begin(), m_connections.end());
    for (const auto& connection : connections)
        connection->close();
}

} // namespace pimentopoint
