#include "EdgeHost.h"

#include "Daemon.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <sstream>

namespace pimentopoint {

namespace asio = boost::asio;

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(100);
    constexpr Duration second = std::chrono::seconds(1);
    /// Lines about single calls in a second; failures of a bad second are alike, and a line costs processor time.
    constexpr unsigned mostCallLines = 40;
    /// For which new connections still come after readiness is gone: a balancer asks once a second and acts on the second miss.
    constexpr Duration balancerTime = std::chrono::milliseconds(2500);
    /// Most of a short time to stop that is spent so.
    constexpr double balancerPart = 0.45;
    /// Before the end of the time to stop: left for writing last answers.
    constexpr Duration lastAnswers = std::chrono::milliseconds(700);
    constexpr Duration exitMargin = std::chrono::milliseconds(350);
    /// Part of the ratio of repeats that each request earns: late sends are a twelfth of all on a calm day. The rest may be saved up.
    constexpr double ratioUse = 0.65;
    /// Connections opened ahead of need in one tick; each holds a slot of its target for a moment and costs some tenths of a millisecond of core.
    constexpr std::size_t connectionsAhead = 2;
    /// Part of a host's processor time above which fan-outs of other hosts are refused; the rest is for its own callers and a burst.
    constexpr double delegatedUse = 0.5;
    /// Processor time of a sub-query, as the users' bench charges it (48 us) with some room.
    constexpr Duration sendCost = std::chrono::microseconds(60);
    constexpr unsigned readinessThreads = 2;
    constexpr std::size_t readinessBodyBytes = 1024;
    constexpr unsigned unavailable = 503;
    CallLimits limitsFrom(const HostSettings& settings)
    {
        CallLimits limits;
        limits.extraAttempts.ratio = Fraction(settings.extraAttemptRatio);
        limits.extraAttempts.earnedFraction = Fraction(settings.extraAttemptRatio * ratioUse);
        limits.extraAttempts.slack = settings.extraAttemptSlack;
        limits.extraAttempts.window = settings.extraAttemptWindow;
        limits.delegationAttemptRate = settings.cores * delegatedUse / std::chrono::duration<double>(sendCost).count();
        return limits;
    }

    TargetPoolTiming poolTiming(const HostSettings& settings)
    {
        TargetPoolTiming timing;
        timing.leavingUseTimeout = settings.leavingTimeout / 2;
        return timing;
    }

    MemberRecord selfRecord(const HostSettings& settings)
    {
        MemberRecord record(settings.name, MemberRole::Front, settings.dataCentre, newIncarnation());
        record.setEndpoints(settings.memberEndpoint, settings.memberEndpoint, settings.aggregationEndpoint.value_or(Endpoint()));
        constexpr double millicores = 1000;
        record.setMillicores(static_cast<std::uint32_t>(settings.cores * millicores));
        return record;
    }

    std::uint64_t seedOf(const HostSettings& settings, std::string_view use)
    {
        return hashOf(settings.name.value() + "/" + std::string(use)) ^ newIncarnation().value();
    }

} // namespace

EdgeHost::EdgeHost(HostSettings settings, std::string settingsPath)
    : m_settings(std::move(settings))
    , m_settingsPath(std::move(settingsPath))
    , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
    , m_tickTimer(m_context)
    , m_callTimer(m_context)
    , m_targetPool(m_settings.dataCentre, poolTiming(m_settings), seedOf(m_settings, "targets"),
          [](const TargetName& target, std::string_view event, std::string_view detail) { Log::event(Severity::Info, event, { { "target", target }, { "cause", detail } }); })
    , m_aggregatorPool(selfRecord(m_settings),
          [](const MemberName& host, std::string_view event, std::string_view cause) { Log::event(Severity::Info, event, { { "aggregator", host }, { "cause", cause } }); })
    , m_engine(m_targetPool, m_aggregatorPool, m_metrics, limitsFrom(m_settings), [this](const CallRecord& each) { recordCall(each); })
    , m_targetLinks(
          m_context, m_clock, platform::headerNames(), m_metrics,
          [this](AttemptNumber send, TargetReply reply) {
              CallActions actions;
              m_engine.handleReply(send, std::move(reply), m_clock.now(), actions);
              perform(actions);
          },
          [this](const TargetName& target, std::size_t open) { m_targetPool.setOpenConnections(target, open, m_clock.now()); })
    , m_callerServer(m_context, m_clock, platform::headerNames(), m_settings.callerEndpoint, m_settings.maxCallerConnections(),
          callerHooks(false))
    , m_membership(selfRecord(m_settings), m_settings.seeds, MembershipTiming(), seedOf(m_settings, "members"))
    , m_memberSocket(m_context, m_clock, m_settings.memberEndpoint, m_membership, [this] { updateHosts(); })
    , m_hostCount(m_clock.now())
    , m_updateFeed(m_context, m_clock, m_metrics, m_membership.self(), { m_settings.platformEndpoint, m_settings.memberEndpoint, m_settings.maxUpdateDelay, seedOf(m_settings, "news") },
          { platform::storePath, platform::parseStoreResult, [this](const std::vector<StoreItem>& items) { applyUpdates(items); } })
{
    m_targetLinks.onAcknowledged([this](AttemptNumber send) {
        m_engine.handleAcknowledgement(send, m_clock.now());
        armCallTimer();
    });
    if (m_settings.aggregationEndpoint)
        m_hostServer.emplace(m_context, m_clock, platform::headerNames(), *m_settings.aggregationEndpoint, m_settings.maxHostConnections(), callerHooks(true));
    m_readiness = std::make_unique<HttpServer>(m_settings.readinessEndpoint, readinessThreads, readinessBodyBytes, [this](const HttpRequest& request) -> HttpResponse {
        if (request.path == platform::headerNames().readinessPath)
            return m_ready ? HttpResponse { 200, "{\"state\":\"ready\"}" } : HttpResponse { unavailable, "{\"state\":\"not-ready\"}" };
        if (request.path == "/metrics")
            return { 200, m_metrics.text(), "text/plain; version=0.0.4" };
        constexpr unsigned notFound = 404;
        return { notFound, "{\"detail\":\"no such path\"}" };
    });
}

CallerServer::Hooks EdgeHost::callerHooks(bool fromHosts)
{
    CallerServer::Hooks hooks;
    hooks.request = [this](CallId call, std::shared_ptr<const CallerRequest> request) {
        CallActions actions;
        m_engine.handleRequest(call, std::move(request), m_clock.now(), actions);
        perform(actions);
    };
    hooks.disconnected = [this](CallId call) {
        CallActions actions;
        m_engine.handleCallerDisconnected(call, m_clock.now(), actions);
        perform(actions);
    };
    hooks.limits = [this] { return m_engine.routing() ? m_engine.routing()->limits() : CallerLimits(); };
    hooks.nextCallId = [this] { return CallId(++m_lastCall); };
    hooks.acceptsDelegations = fromHosts;
    return hooks;
}

void EdgeHost::run()
{
    Log::event(Severity::Info, "started", { { "callers", m_settings.callerEndpoint.text() }, { "platform", m_settings.platformEndpoint.text() } });
    reloadSettings("start");
    awaitSignals();
    tick();
    m_context.run();
    m_readiness->stop();
    Log::event(Severity::Info, "stopped");
    Log::flush();
}

void EdgeHost::awaitSignals()
{
    m_signals.async_wait([this](const boost::system::error_code& error, int signal) {
        if (error)
            return;
        if (signal == SIGHUP)
            reloadSettings("SIGHUP");
        else
            beginStop();
        awaitSignals();
    });
}

void EdgeHost::beginStop()
{
    if (m_stoppingSince)
        return;
    m_stoppingSince = m_clock.now();
    m_ready = false;
    m_callerServer.beginDrain();
    if (m_hostServer)
        m_hostServer->beginDrain();
    m_memberSocket.leave();
    Log::event(Severity::Info, "stopping", { { "connections", std::uint64_t(m_callerServer.connections()) }, { "calls", std::uint64_t(m_engine.calls()) } });
}

void EdgeHost::reloadSettings(const char* cause)
{
    std::ifstream file(m_settingsPath);
    std::stringstream content;
    content << file.rdbuf();
    if (!file || content.str() == m_settingsText)
        return;
    bool first = m_settingsText.empty();
    m_settingsText = content.str();
    if (first)
        return;
    try {
        HostSettings settings = HostSettings::parse(m_settingsText, m_settingsPath);
        m_settings.stopTimeout = settings.stopTimeout;
        Log::event(Severity::Info, "settings-reloaded", { { "cause", cause }, { "effect", "the time to stop; other changes apply at the next start" } });
    } catch (const Failure& invalid) {
        Log::event(Severity::Warning, "settings-refused", { { "cause", invalid.what() } });
    }
}

bool EdgeHost::hasCompleteState() const
{
    return m_engine.routing() && m_updateFeed.complete();
}

void EdgeHost::setReady(bool ready)
{
    if (ready == m_ready)
        return;
    m_ready = ready;
    std::uint64_t version = m_engine.routing() ? m_engine.routing()->version().value() : 0;
    Log::event(Severity::Info, ready ? "ready" : "not-ready", { { "targets", std::uint64_t(m_targetPool.size()) }, { "version", version } });
}

void EdgeHost::everySecond(Instant now)
{
    m_callLinesLeft = mostCallLines;
    if (m_callLinesDropped) {
        Log::event(Severity::Warning, "call-lines-left-out", { { "count", m_callLinesDropped }, { "cause", "more calls in a second than are logged" } });
        m_callLinesDropped = 0;
    }
    m_callerServer.enforceTimeouts(now);
    if (m_hostServer)
        m_hostServer->enforceTimeouts(now);
    m_targetLinks.closeExpired(now);
    m_targetPool.removeExpired(now);
    updateHosts();
    reloadSettings("the file changed");
    Log::flush();
}

bool EdgeHost::continueStop(Instant now)
{
    Duration since = now - *m_stoppingSince;
    bool unlisted = since > std::min(balancerTime, scaled(m_settings.stopTimeout, balancerPart));
    if (unlisted)
        m_callerServer.closeIdle();
    if (since > m_settings.stopTimeout - lastAnswers) {
        CallActions actions;
        m_engine.handleShutdown(now, actions);
        perform(actions);
    }
    bool quiet = unlisted && !m_callerServer.connections() && (!m_hostServer || m_hostServer->idle());
    return quiet || since > m_settings.stopTimeout - exitMargin;
}

void EdgeHost::tick()
{
    Instant now = m_clock.now();
    m_updateFeed.tick();
    if (now >= m_nextSecond) {
        m_nextSecond = now + second;
        everySecond(now);
    }
    setReady(hasCompleteState() && !m_stoppingSince);
    m_memberSocket.tick();
    if (!m_stoppingSince) {
        for (const TargetPool::Choice& choice : m_targetPool.chooseUnconnected(connectionsAhead, now))
            m_targetLinks.open(choice.name, choice.endpoint);
    } else if (continueStop(now)) {
        m_context.stop();
        return;
    }
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            tick();
    });
}

void EdgeHost::armCallTimer()
{
    auto wake = m_engine.nextWakeup();
    if (!wake || (m_nextCallWakeup && *m_nextCallWakeup <= *wake))
        return;
    m_nextCallWakeup = wake;
    m_callTimer.expires_after(std::max(Duration(0), *wake - m_clock.now()));
    m_callTimer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        m_nextCallWakeup.reset();
        CallActions actions;
        m_engine.tick(m_clock.now(), actions);
        perform(actions);
    });
}

void EdgeHost::perform(CallActions& actions)
{
    for (const auto& send : actions.attempts)
        m_targetLinks.send(send);
    for (AttemptNumber send : actions.aborts)
        m_targetLinks.abort(send);
    for (auto& answer : actions.answers)
        if (!m_callerServer.answer(answer.call, answer.answer) && m_hostServer)
            m_hostServer->answer(answer.call, answer.answer);
    armCallTimer();
}

void EdgeHost::applyUpdates(const std::vector<StoreItem>& items)
{
    for (const StoreItem& item : items)
        applyUpdate(item);
    if (!hasCompleteState())
        return;
    CallActions actions;
    m_engine.startServing(m_clock.now(), actions);
    perform(actions);
}

void EdgeHost::applyUpdate(const StoreItem& item)
{
    try {
        platform::Change change = platform::decode(item);
        Instant now = m_clock.now();
        if (auto* routing = std::get_if<RoutingTable::Contents>(&change)) {
            applyRouting(std::move(*routing));
        } else if (auto* target = std::get_if<DiscoveredTarget>(&change)) {
            m_targetPool.put(*target, now);
        } else if (auto* gone = std::get_if<platform::TargetRemoved>(&change)) {
            m_targetPool.remove(gone->name, now);
        } else if (auto* evacuation = std::get_if<platform::Evacuation>(&change)) {
            if (evacuation->active)
                m_evacuatedDataCentres.insert(evacuation->dataCentre);
            else
                m_evacuatedDataCentres.erase(evacuation->dataCentre);
            m_targetPool.setExcludedDataCentres(m_evacuatedDataCentres);
            Log::event(Severity::Info, evacuation->active ? "evacuation-begins" : "evacuation-ends", { { "evacuated", evacuation->dataCentre }, { "revision", item.revision } });
        }
    } catch (const platform::MalformedDocument& malformed) {
        Log::event(Severity::Warning, "entry-refused", { { "key", item.key }, { "cause", malformed.what() }, { "revision", item.revision } });
        if (auto name = platform::parseTargetKey(item.key))
            m_targetPool.remove(*name, m_clock.now());
    }
}

void EdgeHost::applyRouting(RoutingTable::Contents parts)
{
    const auto& held = m_engine.routing();
    if (held && parts.version <= held->version())
        return;
    Log::event(Severity::Info, "routes-in-force", { { "version", parts.version }, { "routes", std::uint64_t(parts.routes.size()) } });
    m_engine.setRouting(std::make_shared<const RoutingTable>(std::move(parts)));
}

void EdgeHost::updateHosts()
{
    Instant now = m_clock.now();
    std::vector<MemberRecord> members = m_membership.members();
    ConnectionWeights weights = connectionWeights(m_membership.self(), members);
    m_hostCount.recordMembers(m_membership.usableCount() + 1, weights.total, now);
    double fanOutShare = m_hostCount.fraction(weights.own, now);
    m_targetPool.setHostFractions(m_hostCount.value(now), fanOutShare);
    m_aggregatorPool.setMembers(members);
    m_updateFeed.setMembers(std::move(members));
    m_engine.setHostFractions(1 / static_cast<double>(m_hostCount.value(now)), fanOutShare);
    m_metrics.setGauge("pimentopoint_hosts", "", m_hostCount.value(now));
}

void EdgeHost::recordCall(const CallRecord& record)
{
    constexpr unsigned firstFailure = 400;
    bool plain = record.status && record.status < firstFailure && !record.missingShards && !record.extraAttempts;
    m_metrics.add("pimentopoint_calls_total", plain ? "kind=\"plain\"" : "kind=\"other\"");
    if (plain)
        return;
    if (!m_callLinesLeft) {
        ++m_callLinesDropped;
        return;
    }
    --m_callLinesLeft;
    Log::event(Severity::Info, "call",
        { { "id", record.request.id }, { "route", record.route }, { "version", record.version }, { "status", std::uint64_t(record.status) }, { "cause", record.reason },
            { "tookMicroseconds", static_cast<std::uint64_t>(record.elapsed.count()) }, { "missingParts", std::uint64_t(record.missingShards) },
            { "extraSends", std::uint64_t(record.extraAttempts) }, { "lastTarget", record.lastTarget }, { "aggregator", record.aggregator }, { "forHost", std::uint64_t(record.request.delegation.has_value()) }, { "lateAfterMicroseconds", static_cast<std::uint64_t>(record.stragglerThreshold.count()) } });
}

} // namespace pimentopoint
