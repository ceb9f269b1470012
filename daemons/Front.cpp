/// \file
/// The front daemon: serves callers over HTTP, fans their queries out to gateways and merges the replies.
#include "Daemon.h"

#include <Pimentopoint/Caller>
#include <Pimentopoint/Peer>
#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/asio/thread_pool.hpp>

using namespace pimentopoint;

namespace {

constexpr const char* usage = R"(Serves callers, fans their queries out to gateways and merges the replies.

Usage:
  pimentopoint-front --settings FILE [--check]
  pimentopoint-front (--help | --version)

Options:
  --settings FILE  Settings of the process (YAML).
  --check          Check the settings and exit.
  --help           Show this text.
  --version        Show the version.

Example:
  pimentopoint-front --settings front-a1.yaml

Exit codes: 0 stopped on request, 1 failed, 2 invalid arguments, 3 invalid settings.
)";

/// Time for the load balancer and the members to learn of the shutdown while requests are still served.
constexpr Duration leaveTime = std::chrono::seconds(1);
/// Limit on the wait for callers to close their connections.
constexpr Duration connectionCloseTimeout = std::chrono::seconds(4);
constexpr std::size_t forwardedRequestThreads = 16;
constexpr const char* plainText = "text/plain; version=0.0.4";

class FrontDaemon {
public:
    explicit FrontDaemon(const Settings& settings)
        : m_settings(settings)
        , m_incarnation(newIncarnation())
        , m_router(settings.dataCentre(), m_clock, m_incarnation.value())
        , m_control(settings, MemberRole::Front, m_incarnation, controlHooks())
        , m_engine(
              settings.name(), m_incarnation, m_clock, m_metrics, m_router, [this] { return m_control.documents().activeDocuments(); }, engineHooks())
        , m_forwardedRequestThreads(forwardedRequestThreads)
        , m_http(settings.http(), settings.threads(), maxRequestBytes, [this](const HttpRequest& request) { return serve(request); })
    {
    }

    void run(const StopSignal& signal)
    {
        m_control.start();
        m_ready = true;
        Log::event(Severity::Info, "started", { { "incarnation", m_incarnation } });
        signal.wait();
        stop();
    }

private:
    ControlPlane::Hooks controlHooks()
    {
        ControlPlane::Hooks hooks;
        hooks.documentsChanged = [](const DocumentStore::ActiveDocuments&) {};
        hooks.membersChanged = [this](const std::vector<MemberRecord>& members) { m_router.setMembers(members); };
        hooks.servingChanged = [this](bool serving) { setServing(serving); };
        hooks.frameReceived = [this](const PeerConnection::Pointer& connection, const Frame& frame) { handleFrame(connection, frame); };
        hooks.connectionLost = [this](ConnectionId connection, const std::vector<FrameTag>& unsent) { m_engine.handleConnectionLost(connection, unsent); };
        hooks.connectionClosed = [](const PeerConnection::Pointer&) {};
        hooks.tick = [this] {
            if (m_ready)
                m_engine.tick();
        };
        hooks.superseded = [] { StopSignal::raise(); };
        return hooks;
    }

    FrontEngine::Hooks engineHooks()
    {
        FrontEngine::Hooks hooks;
        hooks.connection = [this](const Endpoint& endpoint) { return m_control.links().connection(endpoint); };
        hooks.send = [this](const Endpoint& endpoint, std::string bytes, FrameTag tag) { m_control.links().send(endpoint, std::move(bytes), tag); };
        hooks.issuer = [this](const Ticket& ticket) { return issuer(ticket); };
        hooks.paused = [this] { m_control.handlePause(); };
        return hooks;
    }

    std::optional<Endpoint> issuer(const Ticket& ticket) const
    {
        auto member = m_control.member(ticket.member());
        bool same = member && member->incarnation() == ticket.incarnation() && member->state() != MemberState::Dead;
        return same ? std::optional(member->tcp()) : std::nullopt;
    }

    void setServing(bool serving)
    {
        if (!m_stopping)
            m_engine.setServing(serving, NotRunReason::Stale);
    }

    void handleFrame(const PeerConnection::Pointer& connection, const Frame& frame)
    {
        if (frame.type() == MessageType::ReplyBatch) {
            ReplyBatch batch = frame.decode<ReplyBatch>();
            m_control.handlePeerVersions(batch.versions, connection);
            m_engine.handleReply(batch);
        } else if (frame.type() == MessageType::TicketedRequest) {
            ++m_forwardedRequests;
            boost::asio::post(m_forwardedRequestThreads, [this, connection, request = frame.decode<TicketedRequest>()] {
                connection->send(encodeFrame(m_engine.runForwarded(request)));
                --m_forwardedRequests;
            });
        } else if (frame.type() == MessageType::TicketedReply) {
            m_engine.handleReply(frame.decode<TicketedReply>());
        }
    }

    HttpResponse serve(const HttpRequest& request)
    {
        const std::string searchPrefix = "/v1/search/";
        const std::string explainPrefix = "/v1/explain/";
        if (request.path.starts_with(searchPrefix))
            return search(request, request.path.substr(searchPrefix.size()));
        if (request.path == "/v1/ticket")
            return ticket(request);
        if (request.path == "/healthz")
            return health();
        if (request.path == "/metrics")
            return { 200, m_metrics.text(), plainText };
        if (request.path == "/v1/status")
            return { 200, "{\"role\":\"front\"," + m_control.statusJson() + "}" };
        if (request.path == "/v1/burn")
            return { 200, m_engine.burnReport() };
        if (request.path.starts_with(explainPrefix))
            return explain(request.path.substr(explainPrefix.size()));
        return { 404, "{\"status\":\"not-run\",\"reason\":\"bad-request\",\"detail\":\"no such path\"}" };
    }

    HttpResponse search(const HttpRequest& http, const std::string& name)
    {
        try {
            if (http.method != "POST")
                throw InvalidRequest("method is " + http.method + ", allowed is POST");
            if (!http.contentType.starts_with("application/json"))
                throw InvalidRequest("content type is " + http.contentType + ", allowed is application/json");
            RenderedAnswer answer = m_engine.handleRequest(SearchRequest::parse(SearchFrontName(name), http.body));
            return { answer.status, answer.body };
        } catch (const InvalidRequest& invalid) {
            RenderedAnswer answer = render(Answer::refused(NotRunReason::BadRequest, invalid.what()), "");
            return { answer.status, answer.body };
        }
    }

    HttpResponse ticket(const HttpRequest& http)
    {
        if (http.method != "POST")
            return { 400, render(Answer::refused(NotRunReason::BadRequest, "method must be POST"), "").body };
        auto ticket = m_engine.issueTicket();
        if (ticket)
            return { 200, "{\"ticket\":" + quoteJson(*ticket) + "}" };
        RenderedAnswer refusal = render(Answer::refused(m_stopping ? NotRunReason::Stopping : NotRunReason::Starting), "");
        return { refusal.status, refusal.body };
    }

    HttpResponse explain(const std::string& id) const
    {
        std::string text = m_engine.explain(id);
        return text.empty() ? HttpResponse { 404, "{\"detail\":\"unknown request id\"}" } : HttpResponse { 200, text };
    }

    HttpResponse health() const
    {
        constexpr std::uint32_t unavailable = 503;
        if (m_leaving)
            return { unavailable, "{\"state\":\"leaving\"}" };
        if (!m_engine.serving())
            return { unavailable, "{\"state\":\"not-serving\"}" };
        return { 200, "{\"state\":\"serving\"}" };
    }

    void stop()
    {
        Log::event(Severity::Info, "leaving");
        m_leaving = true;
        m_control.leave();
        m_http.beginDrain();
        sleepFor(leaveTime);
        m_stopping = true;
        m_engine.setServing(false, NotRunReason::Stopping);
        waitUntil([this] { return m_http.idle() && !m_forwardedRequests; }, maxDeadline);
        waitUntil([this] { return m_http.connections() <= 0; }, connectionCloseTimeout);
        waitUntil([this] { return m_http.idle() && !m_forwardedRequests; }, maxDeadline);
        m_http.stop();
        m_forwardedRequestThreads.join();
        m_control.stop();
        Log::event(Severity::Info, "stopped");
    }

    Settings m_settings;
    SystemClock m_clock;
    Incarnation m_incarnation;
    Metrics m_metrics;
    LeastLoadedRouter m_router;
    std::atomic<bool> m_ready { false };
    std::atomic<bool> m_leaving { false };
    std::atomic<bool> m_stopping { false };
    std::atomic<int> m_forwardedRequests { 0 };
    ControlPlane m_control;
    FrontEngine m_engine;
    boost::asio::thread_pool m_forwardedRequestThreads;
    HttpServer m_http;
};

} // namespace

int main(int argc, char** argv)
{
    StopSignal signal;
    return runDaemon(argc, argv, usage, "pimentopoint-front", [&](const Settings& settings) { FrontDaemon(settings).run(signal); });
}
