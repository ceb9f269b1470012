/// \file
/// The gateway daemon: holds the connections to the targets of its data centre and limits the requests sent to each.
#include "Daemon.h"

#include <Pimentopoint/Peer>
#include <Pimentopoint/Target>
#include <algorithm>
#include <atomic>
#include <thread>

using namespace pimentopoint;

namespace {

constexpr const char* usage = R"(Holds the connections to targets of its data centre and limits the requests sent to each.

Usage:
  pimentopoint-gateway --settings FILE [--check]
  pimentopoint-gateway (--help | --version)

Options:
  --settings FILE  Settings of the process (YAML).
  --check          Check the settings and exit.
  --help           Show this text.
  --version        Show the version.

Example:
  pimentopoint-gateway --settings gateway-a1.yaml

Exit codes: 0 stopped on request, 1 failed, 2 invalid arguments, 3 invalid settings.
)";

/// Time for the members to learn of the shutdown while requests are still accepted.
constexpr Duration leaveTime = std::chrono::seconds(1);
/// Time for the connections to write the last replies, which are handed to them before the gateway is idle.
constexpr Duration replyWriteTime = std::chrono::milliseconds(100);
constexpr std::size_t maxBodyBytes = 1024;
constexpr const char* plainText = "text/plain; version=0.0.4";

const char* stateText(WarmupRamp::State state)
{
    constexpr std::array<const char*, 4> texts { "cold", "ramping", "warm", "doubted" };
    return texts.at(static_cast<std::size_t>(state));
}

/// \returns the number of threads for exchanges with targets: half of the cores, as the others handle frames and decisions
unsigned clientThreads()
{
    constexpr unsigned maxThreads = 8;
    return std::clamp(std::thread::hardware_concurrency() / 2, 1U, maxThreads);
}

std::string metricLabels(const SubReply& reply)
{
    constexpr std::size_t typicalLength = 64;
    std::string labels;
    labels.reserve(typicalLength);
    labels += "outcome=\"";
    labels += textOf(reply.outcome);
    labels += "\",reason=\"";
    labels += reply.outcome == Outcome::NotRun ? textOf(reply.notRunReason) : textOf(reply.unknownReason);
    labels += "\"";
    return labels;
}

class GatewayDaemon {
public:
    explicit GatewayDaemon(const Settings& settings)
        : m_settings(settings)
        , m_incarnation(newIncarnation())
        , m_control(settings, MemberRole::Gateway, m_incarnation, controlHooks())
        , m_replyBatcher(m_control.context(), [this] { return m_control.documents().versions(); })
        , m_engine(settings.name(), settings.dataCentre(), engineHooks(), m_clock.now())
        , m_targetClients(clientThreads(), [this](const ExchangeResult& result) { handleExchangeResult(result); })
        , m_http(settings.http(), httpThreads, maxBodyBytes, [this](const HttpRequest& request) { return serve(request); })
    {
    }

    void run(const StopSignal& signal)
    {
        m_ready = true;
        m_control.start();
        Log::event(Severity::Info, "started", { { "incarnation", m_incarnation } });
        signal.wait();
        stop();
    }

private:
    static constexpr unsigned httpThreads = 4;

    ControlPlane::Hooks controlHooks()
    {
        ControlPlane::Hooks hooks;
        hooks.documentsChanged = [this](const DocumentStore::ActiveDocuments& documents) { m_engine.setDocuments(documents, m_clock.now()); };
        hooks.membersChanged = [](const std::vector<MemberRecord>&) {};
        hooks.servingChanged = [this](bool serving) {
            if (!m_stopping)
                m_engine.setServing(serving, NotRunReason::Stale, m_clock.now());
        };
        hooks.frameReceived = [this](const PeerConnection::Pointer& connection, const Frame& frame) { handleFrame(connection, frame); };
        hooks.connectionLost = [](ConnectionId, const std::vector<FrameTag>&) {};
        hooks.connectionClosed = [this](const PeerConnection::Pointer& connection) { m_replyBatcher.removeConnection(connection); };
        hooks.tick = [this] {
            if (m_ready)
                m_engine.tick(m_clock.now());
        };
        hooks.superseded = [] { StopSignal::raise(); };
        return hooks;
    }

    GatewayEngine::Hooks engineHooks()
    {
        GatewayEngine::Hooks hooks;
        hooks.dispatch = [this](const Dispatch& dispatch) {
            m_metrics.add("pimentopoint_target_sends_total", "");
            m_targetClients.dispatch(dispatch);
        };
        hooks.cancel = [this](TargetId target, const AttemptId& attempt) { m_targetClients.cancel(target, attempt); };
        hooks.reply = [this](const AttemptId& attempt, SubReply reply) {
            m_metrics.add("pimentopoint_sub_replies_total", metricLabels(reply));
            m_replyBatcher.add(attempt, std::move(reply));
        };
        hooks.paused = [this] { m_control.handlePause(); };
        return hooks;
    }

    void handleExchangeResult(const ExchangeResult& result)
    {
        if (result.newConnection)
            m_metrics.add("pimentopoint_connections_opened_total", "");
        m_engine.handleResult(result, m_clock.now());
    }

    void handleFrame(const PeerConnection::Pointer& connection, const Frame& frame)
    {
        if (frame.type() == MessageType::SearchBatch) {
            SearchBatch batch = frame.decode<SearchBatch>();
            m_control.handlePeerVersions(batch.versions, connection);
            m_replyBatcher.setConnection(batch.sender, connection);
            m_engine.submit(batch, m_clock.now());
        } else if (frame.type() == MessageType::CancelBatch) {
            m_engine.cancel(frame.decode<CancelBatch>(), m_clock.now());
        }
    }

    HttpResponse serve(const HttpRequest& request)
    {
        constexpr std::uint32_t unavailable = 503;
        if (request.path == "/healthz")
            return m_leaving ? HttpResponse { unavailable, "{\"state\":\"leaving\"}" } : HttpResponse { 200, "{\"state\":\"serving\"}" };
        if (request.path == "/metrics")
            return { 200, m_metrics.text(), plainText };
        if (request.path == "/v1/status")
            return { 200, "{\"role\":\"gateway\"," + m_control.statusJson() + ",\"targets\":" + targetsJson() + "}" };
        return { 404, "{\"detail\":\"no such path\"}" };
    }

    std::string targetsJson() const
    {
        std::string text = "[";
        for (const GatewayEngine::TargetStatus& status : m_engine.status()) {
            text += (text.size() > 1 ? ",{\"name\":" : "{\"name\":") + quoteJson(status.target.value()) + ",\"state\":\"" + stateText(status.state)
                + "\",\"slots\":" + std::to_string(status.share.slots()) + ",\"coldLimit\":" + std::to_string(status.share.coldLimit()) + ",\"waiting\":"
                + std::to_string(status.waiting) + ",\"atWork\":" + std::to_string(status.outstanding) + ",\"serviceTimeUs\":"
                + std::to_string(status.serviceTime.count()) + "}";
        }
        return text + "]";
    }

    void stop()
    {
        Log::event(Severity::Info, "leaving");
        m_leaving = true;
        m_control.leave();
        sleepFor(leaveTime);
        waitUntil([this] { return m_engine.idle(); }, maxDeadline);
        m_stopping = true;
        m_engine.setServing(false, NotRunReason::Stopping, m_clock.now());
        waitUntil([this] { return m_engine.idle() && m_replyBatcher.empty(); }, maxDeadline);
        sleepFor(replyWriteTime);
        m_http.stop();
        m_targetClients.stop();
        m_control.stop();
        Log::event(Severity::Info, "stopped");
    }

    Settings m_settings;
    SystemClock m_clock;
    Incarnation m_incarnation;
    Metrics m_metrics;
    std::atomic<bool> m_ready { false };
    std::atomic<bool> m_leaving { false };
    std::atomic<bool> m_stopping { false };
    ControlPlane m_control;
    ReplyBatcher m_replyBatcher;
    GatewayEngine m_engine;
    TargetClients m_targetClients;
    HttpServer m_http;
};

} // namespace

int main(int argc, char** argv)
{
    StopSignal signal;
    return runDaemon(argc, argv, usage, "pimentopoint-gateway", [&](const Settings& settings) { GatewayDaemon(settings).run(signal); });
}
