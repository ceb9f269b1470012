#include "StandinService.h"

namespace pimentopoint {

namespace {

    constexpr std::size_t maxConnections = 256;

} // namespace

StandinService::StandinService(boost::asio::io_context& context, const Clock& clock, const HeaderNames& headerNames, const Endpoint& endpoint, std::string name, Script script)
    : m_context(context)
    , m_headerNames(headerNames)
    , m_name(std::move(name))
    , m_script(std::move(script))
    , m_server(context, clock, headerNames, endpoint, maxConnections,
          { [this](CallId call, const std::shared_ptr<const CallerRequest>& callerRequest) { handleRequest(call, callerRequest); }, [this](CallId) { ++m_callerDisconnects; }, [] { return CallerLimits(); } })
{
}

void StandinService::handleRequest(CallId call, const std::shared_ptr<const CallerRequest>& request)
{
    ++m_arrivals;
    if (m_recordsRequests)
        m_requests.push_back(*request);
    Behaviour behaviour = m_script(*request);
    if (behaviour.unresponsive)
        return;
    if (behaviour.serviceTime <= Duration(0)) {
        sendAnswer(call, *request, behaviour);
        return;
    }
    auto timer = std::make_shared<boost::asio::steady_timer>(m_context, behaviour.serviceTime);
    timer->async_wait([this, timer, call, request, behaviour](const boost::system::error_code& error) {
        if (!error)
            sendAnswer(call, *request, behaviour);
    });
}

void StandinService::sendAnswer(CallId call, const CallerRequest& request, const Behaviour& behaviour)
{
    CallerAnswer answer;
    answer.status = behaviour.status;
    answer.body = behaviour.body;
    answer.headers.emplace_back(m_headerNames.requestId, behaviour.echoedId.empty() ? request.id : behaviour.echoedId);
    if (behaviour.hasSignature && !behaviour.notRun)
        answer.headers.emplace_back(m_headerNames.signature, m_name + "." + request.id);
    if (behaviour.notRun)
        answer.headers.emplace_back(m_headerNames.notRun, "1");
    m_server.answer(call, answer);
}

} // namespace pimentopoint
