#include "EdgeHost.h"

#include "Daemon.h"

#include <algorithm>
#include <csignal>
#include <fstream>
#include <limits>
#include <sstream>

namespace pimentopoint {

namespace asio = boost::asio;

namespace {

    constexpr Duration tickInterval = std::chrono::milliseconds(100);
    constexpr Duration second = std::chrono::seconds(1);
    /// Limit on the log lines about calls per second. Failures within one second are alike, and each line costs processor time.
    constexpr unsigned maxCallLinesPerSecond = 40;
    /// Time for which new connections still arrive after readiness ends: a load balancer checks once a second and acts on the
    /// second failed check.
    constexpr Duration balancerReactionTime = std::chrono::milliseconds(2500);
    /// Limit on balancerReactionTime as a fraction of the stop timeout; it applies if the stop timeout is short.
    constexpr double balancerReactionFraction = 0.45;
    /// Time before the end of the stop timeout at which outstanding calls are expired, so that their answers can be written.
    constexpr Duration lastAnswerMargin = std::chrono::milliseconds(700);
    /// Time before the end of the stop timeout at which the process exits even if connections are open.
    constexpr Duration exitMargin = std::chrono::milliseconds(350);
    /// Fraction of the allowed ratio of extra attempts that each request adds to the budget, chosen for normal operation, in which
    /// a twelfth of all attempts are stragglers. The rest of the ratio may be accumulated.
    constexpr double earnedRatioFraction = 0.65;
    /// Connections opened in advance per tick. Each briefly occupies a slot of its target and costs some tenths of a millisecond
    /// of processor time.
    constexpr std::size_t advanceConnectionsPerTick = 2;
    /// Fraction of the processor time of a host above which it refuses delegated fan-outs; the rest is reserved for its own callers
    /// and for bursts.
    constexpr double delegatedFraction = 0.5;
    /// Processor time of a sub-request: the 48 us that the users' benchmark charges, plus a margin.
    constexpr Duration subRequestProcessorTime = std::chrono::microseconds(60);
    /// Shortest interval between two requests for a member list. Hosts that start together know each other after about eight of them.
    constexpr Duration minMemberListInterval = std::chrono::milliseconds(500);
    /// Fraction of the memory of the process that replies in progress and answers that callers have not accepted may use together. A buffer that grows is copied, so that the largest one is held twice for a moment; the rest holds connections, routes and targets.
    constexpr double replyMemoryFraction = 0.25;
    constexpr unsigned readinessThreads = 2;
    constexpr std::size_t readinessBodyBytes = 1024;
    constexpr unsigned unavailable = 503;
    CallLimits limitsFrom(const HostSettings& settings)
    {
        CallLimits limits;
        limits.extraAttempts.ratio = Fraction(settings.extraAttemptRatio);
        limits.extraAttempts.earnedFraction = Fraction(settings.extraAttemptRatio * earnedRatioFraction);
        limits.extraAttempts.slack = settings.extraAttemptSlack;
        limits.extraAttempts.window = settings.extraAttemptWindow;
        limits.delegationAttemptRate = settings.cores * delegatedFraction / std::chrono::duration<double>(subRequestProcessorTime).count();
        return limits;
    }

    TargetPoolTiming poolTiming(const HostSettings& settings)
    {
        TargetPoolTiming timing;
        timing.leavingUseTimeout = settings.leavingTimeout / 2;
        return timing;
    }

    MembershipTiming membershipTiming()
    {
        MembershipTiming timing;
        timing.minListInterval = minMemberListInterval;
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

    /// \returns \a age in microseconds; the largest value if it is unknown
    std::uint64_t inMicroseconds(std::optional<Duration> age)
    {
        return age ? static_cast<std::uint64_t>(age->count()) : std::numeric_limits<std::uint64_t>::max();
    }

    std::size_t replyMemoryBytes(const HostSettings& settings)
    {
        constexpr double bytesPerMegabyte = 1e6;
        return static_cast<std::size_t>(static_cast<double>(settings.memoryMegabytes) * bytesPerMegabyte * replyMemoryFraction);
    }

    StoreResult parseStoreReply(const StoreRead& read, const HttpReader::Result& reply)
    {
        return platform::parseStoreResult(read, reply.status, headerValue(reply.headers, platform::storeEraHeader), reply.body);
    }

    std::uint64_t makeSeed(const HostSettings& settings, std::string_view purpose)
    {
        return hashOf(settings.name.value() + "/" + std::string(purpose)) ^ newIncarnation().value();
    }

} // namespace

EdgeHost::EdgeHost(HostSettings settings, std::string settingsPath)
    : m_settings(std::move(settings))
    , m_settingsPath(std::move(settingsPath))
    , m_replyMemory(replyMemoryBytes(m_settings))
    , m_signals(m_context, SIGTERM, SIGINT, SIGHUP)
    , m_tickTimer(m_context)
    , m_callTimer(m_context)
    , m_targetPool(m_settings.dataCentre, poolTiming(m_settings), makeSeed(m_settings, "targets"),
          [](const TargetName& target, std::string_view event, std::string_view detail) { Log::event(Severity::Info, event, { { "target", target }, { "cause", detail } }); })
    , m_aggregatorPool(selfRecord(m_settings),
          [](const MemberName& host, std::string_view event, std::string_view cause) { Log::event(Severity::Info, event, { { "aggregator", host }, { "cause", cause } }); })
    , m_engine(
          m_targetPool, m_aggregatorPool, m_metrics, limitsFrom(m_settings), [this](const CallRecord& call) { recordCall(call); },
          RequestQuarantine(hashOf(m_settings.name.value()), QuarantineLimits(), [](RequestFingerprint request, std::string_view event, std::string_view cause) { Log::event(Severity::Warning, event, { { "request", textOf(request) }, { "cause", cause } }); }))
    , m_targetConnections(
          m_context, m_clock, platform::headerNames(), m_metrics, m_replyMemory,
          [this](AttemptNumber attempt, TargetReply reply) {
              CallActions actions;
              m_engine.handleReply(attempt, std::move(reply), m_clock.now(), actions);
              perform(actions);
          },
          [this](const TargetName& target, std::size_t open) { m_targetPool.setOpenConnections(target, open, m_clock.now()); })
    , m_callerServer(m_context, m_clock, platform::headerNames(), m_settings.callerEndpoint, m_settings.maxCallerConnections(),
          callerHooks(false))
    , m_membership(selfRecord(m_settings), m_settings.seeds, membershipTiming(), makeSeed(m_settings, "members"))
    , m_memberLists(m_context, m_membership, [this](const std::vector<MemberRecord>& records) { m_memberSocket.merge(records); })
    , m_memberSocket(m_context, m_clock, m_settings.memberEndpoint, m_membership, { [this] { m_hostsChanged = true; }, [this](const MemberRecord& member) { m_memberLists.request(member); }, [this](const CrashNotice& notice) { handleCrashNotice(notice); }, [this](const QuarantineNotice& notice) { handleQuarantineNotice(notice); } })
    , m_quarantineExchange(makeSeed(m_settings, "quarantine"))
    , m_hostCount(m_clock.now())
    , m_updateFeed(m_context, m_clock, m_metrics, m_membership.self(), { m_settings.platformEndpoint, m_settings.memberEndpoint, m_settings.maxUpdateDelay, makeSeed(m_settings, "news") },
          { platform::storePath, parseStoreReply, [this](const std::vector<StoreItem>& items) { applyUpdates(items); }, [this](const std::string& path) { return m_memberLists.answer(path); } })
{
    m_targetConnections.onAcknowledged([this](AttemptNumber attempt) {
        m_engine.handleAcknowledgement(attempt, m_clock.now());
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
    hooks.answerMemory = &m_replyMemory;
    return hooks;
}

void EdgeHost::run()
{
    Log::event(Severity::Info, "started", { { "callers", m_settings.callerEndpoint.text() }, { "platform", m_settings.platformEndpoint.text() } });
    reloadSettings("start");
    awaitSignals();
    tick();
    while (!m_context.stopped())
        runGuarded([this] { m_context.run(); }, [](const std::exception& error) { logHandlerException("event loop", "", error); });
    m_readiness->stop();
    Log::event(Severity::Info, "stopped");
    Log::flush();
}

void EdgeHost::awaitSignals()
{
    m_signals.async_wait([this](const boost::system::error_code& error, int signal) {
        if (error)
            return;
        runGuarded([&] { signal == SIGHUP ? reloadSettings("SIGHUP") : beginStop(); }, [](const std::exception& failure) { logHandlerException("signals", "", failure); });
        awaitSignals();
    });
}

void EdgeHost::beginStop()
{
    if (m_stoppingSince)
        return;
    m_stoppingSince = m_clock.now();
    m_ready = false;
    m_engine.beginStop(*m_stoppingSince + m_settings.stopTimeout - lastAnswerMargin);
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
        if (m_stoppingSince)
            m_engine.beginStop(*m_stoppingSince + m_settings.stopTimeout - lastAnswerMargin);
        Log::event(Severity::Info, "settings-reloaded", { { "cause", cause }, { "effect", "the stop timeout; other changes apply at the next start" } });
    } catch (const std::exception& invalid) {
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
    m_callLinesLeft = maxCallLinesPerSecond;
    if (m_callLinesDropped) {
        Log::event(Severity::Warning, "call-lines-left-out", { { "count", m_callLinesDropped }, { "cause", "limit on logged calls per second" } });
        m_callLinesDropped = 0;
    }
    m_callerServer.enforceTimeouts(now);
    if (m_hostServer)
        m_hostServer->enforceTimeouts(now);
    m_targetConnections.closeExpired(now);
    m_targetPool.removeExpired(now);
    m_engine.quarantine().removeExpired(now);
    m_metrics.setGauge("pimentopoint_news_age_microseconds", "", inMicroseconds(m_updateFeed.age()));
    m_metrics.setGauge("pimentopoint_reply_memory_bytes", "", m_replyMemory.usedBytes());
    m_metrics.setGauge("pimentopoint_replies_released", "", m_replyMemory.releases());
    updateHosts();
    reloadSettings("settings file changed");
    Log::flush();
}

bool EdgeHost::continueStop(Instant now)
{
    Duration since = now - *m_stoppingSince;
    bool removedFromBalancer = since > std::min(balancerReactionTime, scaled(m_settings.stopTimeout, balancerReactionFraction));
    if (removedFromBalancer)
        m_callerServer.closeIdle();
    if (since > m_settings.stopTimeout - lastAnswerMargin) {
        CallActions actions;
        m_engine.handleShutdown(now, actions);
        perform(actions);
    }
    bool drained = removedFromBalancer && !m_callerServer.connections() && (!m_hostServer || m_hostServer->idle());
    return drained || since > m_settings.stopTimeout - exitMargin;
}

void EdgeHost::tick()
{
    bool mayExit = false;
    runGuarded([&] { mayExit = performTick(); }, [](const std::exception& error) { logHandlerException("tick", "", error); });
    if (mayExit) {
        m_context.stop();
        return;
    }
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            tick();
    });
}

bool EdgeHost::performTick()
{
    Instant now = m_clock.now();
    m_updateFeed.tick();
    if (now >= m_nextSecond) {
        m_nextSecond = now + second;
        everySecond(now);
    }
    setReady(hasCompleteState() && !m_stoppingSince);
    m_memberSocket.tick();
    QuarantineExchange::Datagrams datagrams;
    m_quarantineExchange.tick(m_engine.quarantine(), now, datagrams);
    send(datagrams);
    // Members change in bursts, and their number makes each update costly.
    if (std::exchange(m_hostsChanged, false))
        updateHosts();
    if (!m_stoppingSince) {
        for (const TargetPool::Choice& choice : m_targetPool.chooseUnconnected(advanceConnectionsPerTick, now))
            m_targetConnections.open(choice.name, choice.endpoint);
        return false;
    }
    return continueStop(now);
}

void EdgeHost::armCallTimer()
{
    auto wakeup = m_engine.nextWakeup();
    if (!wakeup || (m_nextCallWakeup && *m_nextCallWakeup <= *wakeup))
        return;
    m_nextCallWakeup = wakeup;
    m_callTimer.expires_after(std::max(Duration(0), *wakeup - m_clock.now()));
    m_callTimer.async_wait([this](const boost::system::error_code& error) {
        if (!error)
            runGuarded([this] { handleCallTimer(); }, [](const std::exception& failure) { logHandlerException("call timer", "", failure); });
    });
}

void EdgeHost::handleCallTimer()
{
    m_nextCallWakeup.reset();
    CallActions actions;
    m_engine.tick(m_clock.now(), actions);
    perform(actions);
}

void EdgeHost::perform(CallActions& actions)
{
    for (const auto& attempt : actions.attempts)
        m_targetConnections.send(attempt);
    for (AttemptNumber attempt : actions.aborts)
        m_targetConnections.abort(attempt);
    for (auto& answer : actions.answers)
        if (!m_callerServer.answer(answer.call, answer.answer) && m_hostServer)
            m_hostServer->answer(answer.call, answer.answer);
    for (const CallActions::TargetCheck& check : actions.targetChecks) {
        m_targetConnections.check(check.attempt, check.target, check.endpoint, [this](AttemptNumber attempt, bool accepted) {
            CallActions checked;
            m_engine.handleTargetCheck(attempt, accepted, m_clock.now(), checked);
            perform(checked);
        });
    }
    reportCrashes(actions);
    armCallTimer();
}

void EdgeHost::reportCrashes(const CallActions& actions)
{
    QuarantineExchange::Datagrams datagrams;
    for (const CrashReport& report : actions.crashReports)
        m_quarantineExchange.spread(report, true, m_clock.now(), datagrams);
    for (RequestFingerprint request : actions.clearedRequests)
        m_quarantineExchange.spreadReply(request, m_clock.now(), datagrams);
    for (const QuarantinedRequest& each : actions.quarantined)
        m_quarantineExchange.spread(each, true, datagrams);
    send(datagrams);
}

void EdgeHost::send(const QuarantineExchange::Datagrams& datagrams)
{
    for (const auto& [destination, bytes] : datagrams)
        m_memberSocket.send(destination, bytes);
}

void EdgeHost::handleCrashNotice(const CrashNotice& notice)
{
    Instant now = m_clock.now();
    if (!notice.crashes) {
        m_engine.quarantine().recordReply(notice.request);
        return;
    }
    auto report = reportFrom(notice, now);
    if (!report)
        return;
    auto effect = m_engine.quarantine().apply(*report, now);
    QuarantineExchange::Datagrams datagrams;
    if (effect.quarantined)
        m_quarantineExchange.spread(*effect.quarantined, true, datagrams);
    else if (effect.report)
        m_quarantineExchange.spread(*effect.report, false, now, datagrams);
    send(datagrams);
}

void EdgeHost::handleQuarantineNotice(const QuarantineNotice& notice)
{
    QuarantineExchange::Datagrams datagrams;
    for (const QuarantinedRequest& each : quarantinedFrom(notice)) {
        if (m_engine.quarantine().apply(each, m_clock.now()))
            m_quarantineExchange.spread(each, false, datagrams);
    }
    send(datagrams);
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
        } else if (item.mayBeOlder) {
            // Configurations are ordered by their versions; anything else follows once the store's content is certain.
            return;
        } else if (auto* target = std::get_if<DiscoveredTarget>(&change)) {
            m_targetPool.put(*target, now);
        } else if (auto* removed = std::get_if<platform::TargetRemoved>(&change)) {
            m_targetPool.remove(removed->name, now);
        } else if (auto* evacuation = std::get_if<platform::Evacuation>(&change)) {
            if (evacuation->active)
                m_evacuatedDataCentres.insert(evacuation->dataCentre);
            else
                m_evacuatedDataCentres.erase(evacuation->dataCentre);
            m_targetPool.setExcludedDataCentres(m_evacuatedDataCentres);
            Log::event(Severity::Info, evacuation->active ? "evacuation-begins" : "evacuation-ends", { { "evacuated", evacuation->dataCentre }, { "revision", item.revision } });
        }
    } catch (const std::exception& malformed) {
        m_metrics.add("pimentopoint_entries_refused_total", "");
        Log::event(Severity::Warning, "entry-refused", { { "key", item.key }, { "cause", malformed.what() }, { "revision", item.revision } });
        auto name = platform::parseTargetKey(item.key);
        if (name && !item.mayBeOlder)
            m_targetPool.remove(*name, m_clock.now());
    }
}

void EdgeHost::applyRouting(RoutingTable::Contents contents)
{
    const auto& activeRouting = m_engine.routing();
    if (activeRouting && contents.version <= activeRouting->version())
        return;
    Log::event(Severity::Info, "routes-in-force", { { "version", contents.version }, { "routes", std::uint64_t(contents.routes.size()) }, { "previousAgeMicroseconds", inMicroseconds(m_updateFeed.previousAge()) } });
    m_engine.setRouting(std::make_shared<const RoutingTable>(std::move(contents)));
}

void EdgeHost::updateHosts()
{
    Instant now = m_clock.now();
    std::vector<MemberRecord> members = m_membership.members();
    ConnectionWeights weights = connectionWeights(m_membership.self(), members);
    m_hostCount.recordMembers(m_membership.usableCount() + 1, weights.total, now);
    double fanOutFraction = m_hostCount.fraction(weights.own, now);
    m_targetPool.setHostFractions(m_hostCount.value(now), fanOutFraction);
    m_aggregatorPool.setMembers(members);
    m_quarantineExchange.setMembers(members);
    m_updateFeed.setMembers(members);
    m_engine.setHostFractions(1 / static_cast<double>(m_hostCount.value(now)), fanOutFraction);
    m_metrics.setGauge("pimentopoint_hosts", "", m_hostCount.value(now));
}

void EdgeHost::recordCall(const CallRecord& record)
{
    constexpr unsigned firstErrorStatus = 400;
    bool plain = record.status && record.status < firstErrorStatus && !record.missingShards && !record.extraAttempts;
    m_metrics.add("pimentopoint_calls_total", plain ? "kind=\"plain\"" : "kind=\"other\"");
    if (plain)
        return;
    if (!m_callLinesLeft) {
        ++m_callLinesDropped;
        return;
    }
    --m_callLinesLeft;
    Log::event(Severity::Info, "call",
        { { "id", record.request.id }, { "route", record.route }, { "version", record.version }, { "ageMicroseconds", inMicroseconds(m_updateFeed.age()) }, { "status", std::uint64_t(record.status) }, { "cause", record.reason },
            { "tookMicroseconds", static_cast<std::uint64_t>(record.elapsed.count()) }, { "missingParts", std::uint64_t(record.missingShards) },
            { "extraSends", std::uint64_t(record.extraAttempts) }, { "lostSends", std::uint64_t(record.lostAttempts) }, { "request", textOf(fingerprintOf(record.request)) }, { "lastTarget", record.lastTarget }, { "aggregator", record.aggregator }, { "forHost", std::uint64_t(record.request.delegation.has_value()) }, { "lateAfterMicroseconds", static_cast<std::uint64_t>(record.stragglerThreshold.count()) } });
}

} // namespace pimentopoint
