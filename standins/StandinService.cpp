#include "StandinService.h"

namespace pimentopoint {

namespace {

    constexpr std::size_t mostConnections = 256;

} // namespace

StandinService::StandinService(boost::asio::io_context& context, const Clock& clock, const HeaderNames& dialect, const Endpoint& endpoint, std::string name, Script script)
    : m_context(context)
    , m_dialect(dialect)
    , m_name(std::move(name))
    , m_script(std::move(script))
    , m_server(context, clock, dialect, endpoint, mostConnections,
          { [this](CallId call, const std::shared_ptr<const CallerRequest>& each) { request(call, each); }, [this](CallId) { ++m_left; }, [] { return CallerLimits(); } })
{
}

void StandinService::request(CallId call, const std::shared_ptr<const CallerRequest>& request)
{
    ++m_arrivals;
    if (m_keep)
        m_requests.push_back(*request);
    Behaviour behaviour = m_script(*request);
    if (behaviour.silent)
        return;
    if (behaviour.takes <= Duration(0)) {
        answer(call, *request, behaviour);
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, behaviour.takes);
    timer->async_wait([this, timer, call, request, behaviour](const boost::system::error_code& error) {
        if (!error)
            answer(call, *request, behaviour);
    });
}

void StandinService::answer(CallId call, const CallerRequest& request, const Behaviour& behaviour)
{
    CallerAnswer answer;
    answer.status = behaviour.status;
    answer.body = behaviour.body;
    answer.headers.emplace_back(m_dialect.requestId, behaviour.wrongId.empty() ? request.id : behaviour.wrongId);
    if (behaviour.stamped && !behaviour.notRun)
        answer.headers.emplace_back(m_dialect.signature, m_name + "." + request.id);
    if (behaviour.notRun)
        answer.headers.emplace_back(m_dialect.notRun, "1");
    m_server.answer(call, answer);
}

} // namespace pimentopoint
