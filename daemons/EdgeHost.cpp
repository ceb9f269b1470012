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
        limits.repeats.ratio = Fraction(settings.repeatRatio);
        limits.repeats.share = Fraction(settings.repeatRatio * ratioUse);
        limits.repeats.slack = settings.repeatSlack;
        limits.repeats.window = settings.repeatWindow;
        limits.delegatedSends = settings.cores * delegatedUse / std::chrono::duration<double>(sendCost).count();
        return limits;
    }

    TargetPoolTiming poolTiming(const HostSettings& settings)
    {
        TargetPoolTiming timing;
        timing.leavingUse = settings.leavingTime / 2;
        return timing;
    }

    MemberRecord selfRecord(const HostSettings& settings)
    {
        MemberRecord record(settings.name, MemberRole::Front, settings.dataCentre, newIncarnation());
        record.setEndpoints(settings.members, settings.members, settings.aggregation.value_or(Endpoint()));
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
    , m_pool(m_settings.dataCentre, poolTiming(m_settings), seedOf(m_settings, "targets"),
          [](const TargetName& target, std::string_view event, std::string_view detail) { Log::event(Severity::Info, event, { { "target", target }, { "cause", detail } }); })
    , m_aggregators(selfRecord(m_settings),
          [](const MemberName& host, std::string_view event, std::string_view cause) { Log::event(Severity::Info, event, { { "aggregator", host }, { "cause", cause } }); })
    , m_engine(m_pool, m_aggregators, m_metrics, limitsFrom(m_settings), [this](const CallRecord& each) { record(each); })
    , m_targets(
          m_context, m_clock, platform::headerDialect(), m_metrics,
          [this](SendId send, TargetReply reply) {
              CallActions actions;
              m_engine.ended(send, std::move(reply), m_clock.now(), actions);
              perform(actions);
          },
          [this](const TargetName& target, std::size_t open) { m_pool.setConnections(target, open, m_clock.now()); })
    , m_callers(m_context, m_clock, platform::headerDialect(), m_settings.callers, m_settings.callerConnections(),
          callerHooks(false))
    , m_membership(selfRecord(m_settings), m_settings.seeds, MembershipTiming(), seedOf(m_settings, "members"))
    , m_members(m_context, m_clock, m_settings.members, m_membership, [this] { countHosts(); })
    , m_hosts(m_clock.now())
    , m_feed(m_context, m_clock, m_metrics, m_membership.self(), { m_settings.platform, m_settings.members, m_settings.newsTime, seedOf(m_settings, "news") },
          { platform::storePath, platform::storeResult, [this](const std::vector<StoreItem>& items) { takeNews(items); } })
{
    m_targets.onBegun([this](SendId send) {
        m_engine.acknowledged(send, m_clock.now());
        armTimer();
    });
    if (m_settings.aggregation)
        m_hostCallers.emplace(m_context, m_clock, platform::headerDialect(), *m_settings.aggregation, m_settings.hostConnections(), callerHooks(true));
    m_readiness = std::make_unique<HttpServer>(m_settings.readiness, readinessThreads, readinessBodyBytes, [this](const HttpRequest& request) -> HttpResponse {
        if (request.path == platform::headerDialect().readinessPath)
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
        m_engine.begin(call, std::move(request), m_clock.now(), actions);
        perform(actions);
    };
    hooks.left = [this](CallId call) {
        CallActions actions;
        m_engine.callerLeft(call, m_clock.now(), actions);
        perform(actions);
    };
    hooks.limits = [this] { return m_engine.routing() ? m_engine.routing()->limits() : CallerLimits(); };
    hooks.nextCall = [this] { return CallId(++m_lastCall); };
    hooks.fromHosts = fromHosts;
    return hooks;
}

void EdgeHost::run()
{
    Log::event(Severity::Info, "started", { { "callers", m_settings.callers.text() }, { "platform", m_settings.platform.text() } });
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
    if (m_stopSince)
        return;
    m_stopSince = m_clock.now();
    m_ready = false;
    m_callers.beginDrain();
    if (m_hostCallers)
        m_hostCallers->beginDrain();
    m_members.leave();
    Log::event(Severity::Info, "stopping", { { "connections", std::uint64_t(m_callers.connections()) }, { "calls", std::uint64_t(m_engine.calls()) } });
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
        HostSettings settings = HostSettings::read(m_settingsText, m_settingsPath);
        m_settings.stopTime = settings.stopTime;
        Log::event(Severity::Info, "settings-reloaded", { { "cause", cause }, { "effect", "the time to stop; other changes apply at the next start" } });
    } catch (const Failure& invalid) {
        Log::event(Severity::Warning, "settings-refused", { { "cause", invalid.what() } });
    }
}

bool EdgeHost::known() const
{
    return m_engine.routing() && m_feed.complete();
}

void EdgeHost::setReady(bool ready)
{
    if (ready == m_ready)
        return;
    m_ready = ready;
    std::uint64_t version = m_engine.routing() ? m_engine.routing()->version().value() : 0;
    Log::event(Severity::Info, ready ? "ready" : "not-ready", { { "targets", std::uint64_t(m_pool.size()) }, { "version", version } });
}

void EdgeHost::everySecond(Instant now)
{
    m_linesLeft = mostCallLines;
    if (m_linesDropped) {
        Log::event(Severity::Warning, "call-lines-left-out", { { "count", m_linesDropped }, { "cause", "more calls in a second than are logged" } });
        m_linesDropped = 0;
    }
    m_callers.check(now);
    if (m_hostCallers)
        m_hostCallers->check(now);
    m_targets.sweep(now);
    m_pool.forget(now);
    countHosts();
    reloadSettings("the file changed");
    Log::flush();
}

bool EdgeHost::continueStop(Instant now)
{
    Duration since = now - *m_stopSince;
    bool unlisted = since > std::min(balancerTime, scaled(m_settings.stopTime, balancerPart));
    if (unlisted)
        m_callers.closeIdle();
    if (since > m_settings.stopTime - lastAnswers) {
        CallActions actions;
        m_engine.expireAll(now, actions);
        perform(actions);
    }
    bool quiet = unlisted && !m_callers.connections() && (!m_hostCallers || m_hostCallers->idle());
    return quiet || since > m_settings.stopTime - exitMargin;
}

void EdgeHost::tick()
{
    Instant now = m_clock.now();
    m_feed.tick();
    if (now >= m_nextSecond) {
        m_nextSecond = now + second;
        everySecond(now);
    }
    setReady(known() && !m_stopSince);
    m_members.tick();
    if (!m_stopSince) {
        for (const TargetPool::Choice& choice : m_pool.unconnected(connectionsAhead, now))
            m_targets.open(choice.name, choice.endpoint);
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

void EdgeHost::armTimer()
{
    auto wake = m_engine.nextWake();
    if (!wake || (m_callWake && *m_callWake <= *wake))
        return;
    m_callWake = wake;
    m_callTimer.expires_after(std::max(Duration(0), *wake - m_clock.now()));
    m_callTimer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        m_callWake.reset();
        CallActions actions;
        m_engine.tick(m_clock.now(), actions);
        perform(actions);
    });
}

void EdgeHost::perform(CallActions& actions)
{
    for (const auto& send : actions.sends)
        m_targets.send(send);
    for (SendId send : actions.aborts)
        m_targets.abort(send);
    for (auto& answer : actions.answers)
        if (!m_callers.answer(answer.call, answer.answer) && m_hostCallers)
            m_hostCallers->answer(answer.call, answer.answer);
    armTimer();
}

void EdgeHost::takeNews(const std::vector<StoreItem>& items)
{
    for (const StoreItem& item : items)
        apply(item);
    if (!known())
        return;
    CallActions actions;
    m_engine.open(m_clock.now(), actions);
    perform(actions);
}

void EdgeHost::apply(const StoreItem& item)
{
    try {
        platform::Change change = platform::decode(item);
        Instant now = m_clock.now();
        if (auto* routing = std::get_if<RoutingTable::Parts>(&change)) {
            takeRouting(std::move(*routing));
        } else if (auto* target = std::get_if<DiscoveredTarget>(&change)) {
            m_pool.put(*target, now);
        } else if (auto* gone = std::get_if<platform::TargetGone>(&change)) {
            m_pool.remove(gone->name, now);
        } else if (auto* evacuation = std::get_if<platform::Evacuation>(&change)) {
            if (evacuation->begins)
                m_excluded.insert(evacuation->dataCentre);
            else
                m_excluded.erase(evacuation->dataCentre);
            m_pool.setExcluded(m_excluded);
            Log::event(Severity::Info, evacuation->begins ? "evacuation-begins" : "evacuation-ends", { { "evacuated", evacuation->dataCentre }, { "revision", item.revision } });
        }
    } catch (const platform::MalformedDocument& malformed) {
        Log::event(Severity::Warning, "entry-refused", { { "key", item.key }, { "cause", malformed.what() }, { "revision", item.revision } });
        if (auto name = platform::targetOfKey(item.key))
            m_pool.remove(*name, m_clock.now());
    }
}

void EdgeHost::takeRouting(RoutingTable::Parts parts)
{
    const auto& held = m_engine.routing();
    if (held && parts.version <= held->version())
        return;
    Log::event(Severity::Info, "routes-in-force", { { "version", parts.version }, { "routes", std::uint64_t(parts.routes.size()) } });
    m_engine.setRouting(std::make_shared<const RoutingTable>(std::move(parts)));
}

void EdgeHost::countHosts()
{
    Instant now = m_clock.now();
    std::vector<MemberRecord> members = m_membership.members();
    ConnectionWeights weights = connectionWeights(m_membership.self(), members);
    m_hosts.seen(m_membership.usableCount() + 1, weights.all, now);
    double fanOutShare = m_hosts.share(weights.own, now);
    m_pool.setShares(m_hosts.value(now), fanOutShare);
    m_aggregators.setMembers(members);
    m_feed.setMembers(std::move(members));
    m_engine.setShares(1 / static_cast<double>(m_hosts.value(now)), fanOutShare);
    m_metrics.setGauge("pimentopoint_hosts", "", m_hosts.value(now));
}

void EdgeHost::record(const CallRecord& record)
{
    constexpr unsigned firstFailure = 400;
    bool plain = record.status && record.status < firstFailure && !record.missingParts && !record.extraSends;
    m_metrics.add("pimentopoint_calls_total", plain ? "kind=\"plain\"" : "kind=\"other\"");
    if (plain)
        return;
    if (!m_linesLeft) {
        ++m_linesDropped;
        return;
    }
    --m_linesLeft;
    Log::event(Severity::Info, "call",
        { { "id", record.request.id }, { "route", record.route }, { "version", record.version }, { "status", std::uint64_t(record.status) }, { "cause", record.reason },
            { "tookMicroseconds", static_cast<std::uint64_t>(record.taken.count()) }, { "missingParts", std::uint64_t(record.missingParts) },
            { "extraSends", std::uint64_t(record.extraSends) }, { "lastTarget", record.lastTarget }, { "aggregator", record.aggregator }, { "forHost", std::uint64_t(record.request.delegation.has_value()) }, { "lateAfterMicroseconds", static_cast<std::uint64_t>(record.lateAfter.count()) } });
}

} // namespace pimentopoint
