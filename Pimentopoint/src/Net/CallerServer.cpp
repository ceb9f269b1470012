#include "CallerServer.h"

#include "Listen.h"

#include <algorithm>
#include <vector>

namespace pimentopoint {

namespace asio = boost::asio;

CallerServer::CallerServer(asio::io_context& context, const Clock& clock, const HeaderDialect& dialect, const Endpoint& endpoint, std::size_t mostConnections, Hooks hooks)
    : m_acceptor(listenOn(context, endpoint))
    , m_clock(clock)
    , m_dialect(dialect)
    , m_mostConnections(mostConnections)
    , m_hooks(std::move(hooks))
{
    accept();
}

void CallerServer::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code& error, asio::ip::tcp::socket socket) {
        if (!m_acceptor.is_open())
            return;
        if (!error && m_links.size() < m_mostConnections) {
            CallerLink::Hooks hooks;
            hooks.request = [this](const std::shared_ptr<CallerLink>& link, std::shared_ptr<const CallerRequest> request) { return begin(link, std::move(request)); };
            hooks.left = [this](CallId call) {
                m_calls.erase(call);
                m_hooks.left(call);
            };
            hooks.closed = [this](const std::shared_ptr<CallerLink>& link) { m_links.erase(link); };
            hooks.limits = m_hooks.limits;
            hooks.fromHosts = m_hooks.fromHosts;
            hooks.draining = [this] { return m_draining; };
            auto link = std::make_shared<CallerLink>(std::move(socket), m_clock, m_dialect, std::move(hooks));
            m_links.insert(link);
            link->start();
        }
        accept();
    });
}

CallId CallerServer::begin(const std::shared_ptr<CallerLink>& link, std::shared_ptr<const CallerRequest> request)
{
    CallId call = m_hooks.nextCall ? m_hooks.nextCall() : CallId(++m_lastCall);
    m_calls.emplace(call, link);
    m_hooks.request(call, std::move(request));
    return call;
}

bool CallerServer::answer(CallId call, const CallerAnswer& answer)
{
    auto found = m_calls.find(call);
    if (found == m_calls.end())
        return false;
    std::shared_ptr<CallerLink> link = found->second;
    m_calls.erase(found);
    link->answer(answer);
    return true;
}

void CallerServer::check(Instant now)
{
    std::vector<std::shared_ptr<CallerLink>> links(m_links.begin(), m_links.end());
    for (const auto& link : links)
        link->check(now);
}

void CallerServer::closeIdle()
{
    boost::system::error_code ignored;
    m_acceptor.close(ignored);
    std::vector<std::shared_ptr<CallerLink>> links(m_links.begin(), m_links.end());
    for (const auto& link : links)
        link->closeIfIdle();
}

bool CallerServer::idle() const
{
    return std::none_of(m_links.begin(), m_links.end(), [](const auto& link) { return link->atWork(); });
}

void CallerServer::closeAll()
{
    std::vector<std::shared_ptr<CallerLink>> links(m_links.begin(), m_links.end());
    for (const auto& link : links)
        link->close();
}

} // namespace pimentopoint
