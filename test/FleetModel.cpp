#include "FleetModel.h"

#include <algorithm>
#include <set>
#include <sstream>

namespace pimentopoint {

namespace {

    /// Processor time on one core of sending a message or of processing a received one.
    constexpr Duration processingTime = std::chrono::microseconds(25);
    constexpr Duration localNetworkDelay = std::chrono::microseconds(200);
    constexpr unsigned connections = 62;
    const std::string crashingPath = "/crash";

    DataCentreName dataCentreAt(std::size_t index) { return DataCentreName(std::string(1, static_cast<char>('a' + index))); }

} // namespace

struct FleetModel::TargetState {
    DiscoveredTarget target;
    Duration pausePhase { 0 };
    std::vector<Instant> freeAt; ///< When each slot becomes free.
    Instant downUntil {};
    unsigned starts = 1;
    std::map<std::uint64_t, std::function<void()>> losses; ///< Ends the exchanges in progress as lost.
};

struct FleetModel::Host {
    MemberRecord record;
    double cores;
    Metrics metrics;
    TargetPool pool;
    AggregatorPool aggregators;
    CallEngine engine;
    QuarantineExchange exchange;
    Instant busyUntil {};
    std::optional<Instant> nextWakeup;
    Instant unresponsiveFrom = Instant::max();
    Instant unresponsiveUntil = Instant::max();
    struct Caller {
        Instant sentAt;
        bool crashing = false; ///< Whether the request crashes targets; its answers are not counted.
        std::function<void(const CallerAnswer&)> handleAnswer; ///< Receives the answer to a call that another host delegated.
    };
    std::map<CallId, Caller> callers;
    std::set<AttemptNumber> aborted;

    Host(MemberRecord self, double ownCores, std::uint64_t seed)
        : record(std::move(self))
        , cores(ownCores)
        , pool(record.dataCentre(), TargetPoolTiming(), seed, [](const TargetName&, std::string_view, std::string_view) {})
        , aggregators(record, [](const MemberName&, std::string_view, std::string_view) {})
        , engine(
              pool, aggregators, metrics, limits(), [](const CallRecord&) {}, RequestQuarantine(hashOf(record.name().value()), QuarantineLimits()))
        , exchange(seed)
    {
    }
    static CallLimits limits()
    {
        CallLimits limits;
        limits.extraAttempts.slack = 162;
        return limits;
    }
};

FleetModel::~FleetModel() = default;

FleetModel::FleetModel(FleetShape shape)
    : m_shape(shape)
    , m_random(shape.seed)
{
    RoutePolicy route;
    route.name = RouteName("fan");
    route.host = "fan.example";
    route.prefix = "/";
    route.maxAttempts = 2;
    route.timeout = shape.callerTimeout;
    route.objective = shape.objective;
    route.topRecords = 5;
    route.minCoverage = Fraction(shape.minCoverage);
    RoutingTable::Contents contents;
    contents.version = ConfigurationVersion(1);
    std::vector<DiscoveredTarget> discovered;
    for (std::size_t shard = 0; shard < shape.shards; ++shard) {
        ServiceName service("s" + std::to_string(shard));
        route.shards.push_back(service);
        contents.services.push_back({ service, "/health", connections, 0 });
        for (std::size_t replica = 0; replica < shape.replicas; ++replica) {
            DiscoveredTarget target;
            target.name = TargetName(service.value() + "-" + std::to_string(replica));
            target.service = service;
            target.endpoint = Endpoint("10.0.0.1", 80);
            target.dataCentre = dataCentreAt((shard + replica) % shape.dataCentres);
            target.slots = shape.slots;
            discovered.push_back(target);
            auto state = std::make_unique<TargetState>();
            state->target = target;
            state->pausePhase = Duration(static_cast<Duration::rep>(m_random.below(static_cast<std::uint64_t>(shape.pauseInterval.count()))));
            state->freeAt.resize(shape.slots);
            m_targets.emplace(target.name, std::move(state));
        }
    }
    contents.routes.push_back(route);
    auto routing = std::make_shared<const RoutingTable>(std::move(contents));
    std::vector<MemberRecord> members;
    for (std::size_t dataCentre = 0; dataCentre < shape.dataCentres; ++dataCentre) {
        for (std::size_t i = 0; i < shape.weakHosts + shape.strongHosts; ++i) {
            bool strong = i < shape.strongHosts;
            std::string name = dataCentreAt(dataCentre).value() + (strong ? "-strong-" + std::to_string(i) : "-weak-" + std::to_string(i - shape.strongHosts));
            MemberRecord record(MemberName(name), MemberRole::Front, dataCentreAt(dataCentre), Incarnation(1));
            Endpoint endpoint("10.0.1.1", static_cast<std::uint16_t>(members.size() + 1));
            record.setEndpoints(endpoint, endpoint, Endpoint("10.0.1.2", endpoint.port()));
            double cores = strong ? shape.strongCores : shape.weakCores;
            record.setMillicores(static_cast<std::uint32_t>(cores * 1000));
            members.push_back(record);
            m_hosts.push_back(std::make_unique<Host>(record, cores, shape.seed * 100 + m_hosts.size()));
        }
    }
    for (auto& host : m_hosts) {
        std::vector<MemberRecord> others;
        std::copy_if(members.begin(), members.end(), std::back_inserter(others), [&](const MemberRecord& member) { return member.name() != host->record.name(); });
        host->exchange.setMembers(others);
        if (shape.delegation)
            host->aggregators.setMembers(others);
        ConnectionWeights weights = connectionWeights(host->record, shape.delegation ? others : std::vector<MemberRecord>(others.size(), host->record));
        host->pool.setHostFractions(members.size(), weights.own / weights.total);
        host->engine.setHostFractions(1 / static_cast<double>(members.size()), weights.own / weights.total);
        host->engine.setRouting(routing);
        for (const DiscoveredTarget& target : discovered)
            host->pool.put(target, m_now);
        CallActions actions;
        host->engine.startServing(m_now, actions);
    }
}

void FleetModel::schedule(Instant at, std::function<void()> run)
{
    m_events.push({ at, ++m_order, std::move(run) });
}

bool FleetModel::isUnresponsive(const Host& host) const
{
    return m_now >= host.unresponsiveFrom && m_now < host.unresponsiveUntil;
}

void FleetModel::makeUnresponsive(const std::string& name, Duration from, Duration to)
{
    for (auto& host : m_hosts) {
        if (host->record.name().value() == name) {
            host->unresponsiveFrom = Instant(from);
            host->unresponsiveUntil = Instant(to);
        }
    }
}

Duration FleetModel::networkDelay(const DataCentreName& a, const DataCentreName& b) const
{
    return a == b ? localNetworkDelay : m_shape.networkDelay;
}

void FleetModel::runOnProcessor(Host& host, std::function<void()> run)
{
    if (isUnresponsive(host))
        return;
    host.busyUntil = std::max(host.busyUntil, m_now) + scaled(processingTime, 1 / host.cores);
    schedule(host.busyUntil, [this, &host, run = std::move(run)] {
        if (!isUnresponsive(host))
            run();
    });
}

void FleetModel::scheduleWakeup(Host& host)
{
    auto wakeup = host.engine.nextWakeup();
    if (!wakeup || (host.nextWakeup && *host.nextWakeup <= *wakeup))
        return;
    host.nextWakeup = wakeup;
    schedule(std::max(*wakeup, m_now), [this, &host, at = *wakeup] {
        if (host.nextWakeup != at)
            return;
        host.nextWakeup.reset();
        CallActions actions;
        host.engine.tick(m_now, actions);
        performActions(host, std::move(actions));
    });
}

void FleetModel::performActions(Host& host, CallActions actions)
{
    for (const auto& attempt : actions.attempts)
        runOnProcessor(host, [this, &host, attempt] { attempt.delegation ? sendToHost(host, attempt) : sendToTarget(host, attempt); });
    for (AttemptNumber attempt : actions.aborts)
        host.aborted.insert(attempt);
    for (const auto& each : actions.answers)
        answer(host, each.call, each.answer);
    for (const CallActions::TargetCheck& check : actions.targetChecks)
        checkTarget(host, check);
    reportCrashes(host, actions);
    scheduleWakeup(host);
}

void FleetModel::checkTarget(Host& host, const CallActions::TargetCheck& check)
{
    TargetState& state = *m_targets.at(check.target);
    Duration networkTime = networkDelay(host.record.dataCentre(), state.target.dataCentre);
    schedule(m_now + networkTime, [this, &host, &state, id = check.attempt, networkTime] {
        bool accepted = m_now >= state.downUntil;
        schedule(m_now + networkTime, [this, &host, id, accepted] {
            CallActions actions;
            host.engine.handleTargetCheck(id, accepted, m_now, actions);
            performActions(host, std::move(actions));
        });
    });
}

void FleetModel::reportCrashes(Host& host, const CallActions& actions)
{
    QuarantineExchange::Datagrams datagrams;
    for (const CrashReport& each : actions.crashReports)
        host.exchange.spread(each, true, m_now, datagrams);
    for (RequestFingerprint request : actions.clearedRequests)
        host.exchange.spreadReply(request, m_now, datagrams);
    for (const QuarantinedRequest& each : actions.quarantined)
        host.exchange.spread(each, true, datagrams);
    send(host, datagrams);
}

void FleetModel::send(Host& host, const QuarantineExchange::Datagrams& datagrams)
{
    m_counts.quarantineMessages += datagrams.size();
    for (const auto& [destination, bytes] : datagrams) {
        Host& other = *m_hosts.at(destination.port() - 1U);
        schedule(m_now + networkDelay(host.record.dataCentre(), other.record.dataCentre()), [this, &other, datagram = bytes] {
            if (!isUnresponsive(other))
                receive(other, datagram);
        });
    }
}

void FleetModel::receive(Host& host, const std::string& datagram)
{
    Frame frame = Frame::parse(datagram);
    QuarantineExchange::Datagrams datagrams;
    if (frame.type() == MessageType::CrashNotice) {
        auto notice = frame.decode<CrashNotice>();
        if (auto report = reportFrom(notice, m_now)) {
            auto effect = host.engine.quarantine().apply(*report, m_now);
            if (effect.quarantined)
                host.exchange.spread(*effect.quarantined, true, datagrams);
            else if (effect.report)
                host.exchange.spread(*effect.report, false, m_now, datagrams);
        } else {
            host.engine.quarantine().recordReply(notice.request);
        }
    } else {
        for (const QuarantinedRequest& each : quarantinedFrom(frame.decode<QuarantineNotice>())) {
            if (host.engine.quarantine().apply(each, m_now))
                host.exchange.spread(each, false, datagrams);
        }
    }
    send(host, datagrams);
}

void FleetModel::crash(TargetState& state)
{
    if (m_now < state.downUntil)
        return;
    state.downUntil = m_now + m_shape.restartTime;
    ++state.starts;
    std::fill(state.freeAt.begin(), state.freeAt.end(), state.downUntil);
    for (const auto& [order, lose] : std::exchange(state.losses, {}))
        lose();
}

void FleetModel::crashTogether(std::size_t first)
{
    for (std::size_t i = 0; i < m_shape.crashesTogether; ++i) {
        auto target = m_targets.begin();
        std::advance(target, (first + i * m_shape.replicas) % m_targets.size());
        crash(*target->second);
    }
}

void FleetModel::reply(Host& host, AttemptNumber attempt, const TargetReply& reply)
{
    if (host.aborted.contains(attempt))
        return;
    runOnProcessor(host, [this, &host, attempt, reply] {
        CallActions actions;
        host.engine.handleReply(attempt, reply, m_now, actions);
        performActions(host, std::move(actions));
    });
}

void FleetModel::sendToTarget(Host& host, const CallActions::Attempt& attempt)
{
    TargetState& state = *m_targets.at(attempt.target);
    Duration networkTime = networkDelay(host.record.dataCentre(), state.target.dataCentre);
    schedule(m_now + networkTime, [this, &host, &state, attempt, networkTime] { runAtTarget(host, state, attempt, networkTime); });
}

void FleetModel::runAtTarget(Host& host, TargetState& state, const CallActions::Attempt& attempt, Duration networkTime)
{
    bool crashing = attempt.request->requestTarget == crashingPath;
    if (m_now < state.downUntil) {
        TargetReply refused;
        refused.outcome = TargetReply::ReplyOutcome::NotSent;
        schedule(m_now + networkTime, [this, &host, id = attempt.id, refused] { reply(host, id, refused); });
        return;
    }
    std::size_t& arrivals = m_arrivals[attempt.request->id][state.target.service];
    m_counts.maxAttemptsPerShard = std::max(m_counts.maxAttemptsPerShard, ++arrivals);
    m_counts.lateCrashingAttempts += crashing && m_requestCrashes.size() >= 3 && m_now > m_requestCrashes[2] + crashNoticeTime;
    auto slot = std::min_element(state.freeAt.begin(), state.freeAt.end());
    Instant start = std::max(*slot, m_now);
    Duration phase = (start.time_since_epoch() + state.pausePhase) % m_shape.pauseInterval;
    if (phase < m_shape.pause)
        start += m_shape.pause - phase;
    Instant end = start + scaled(m_shape.serviceTime, 0.6 + 0.8 * m_random.fraction());
    *slot = end;
    std::uint64_t exchange = ++m_order;
    state.losses[exchange] = [this, &host, id = attempt.id, networkTime] {
        TargetReply lost;
        lost.outcome = TargetReply::ReplyOutcome::Lost;
        lost.connectionFailed = true;
        schedule(m_now + networkTime, [this, &host, id, lost] { reply(host, id, lost); });
    };
    schedule(end, [this, &host, &state, attempt, networkTime, crashing, exchange] {
        if (!state.losses.contains(exchange))
            return;
        if (crashing && !host.aborted.contains(attempt.id)) {
            ++m_counts.crashes;
            m_requestCrashes.push_back(m_now);
            crash(state);
            return;
        }
        state.losses.erase(exchange);
        schedule(m_now + networkTime, [this, &host, &state, attempt] {
            if (host.aborted.contains(attempt.id))
                return;
            if (host.record.dataCentre() != state.target.dataCentre)
                ++m_counts.crossDataCentreReplies;
            TargetReply answered;
            answered.outcome = TargetReply::ReplyOutcome::Answered;
            answered.status = 200;
            answered.signature = attempt.target.value();
            reply(host, attempt.id, answered);
        });
    });
}

void FleetModel::sendToHost(Host& host, const CallActions::Attempt& attempt)
{
    auto found = std::find_if(m_hosts.begin(), m_hosts.end(), [&](const auto& each) { return each->record.name().value() == attempt.target.value(); });
    Host& other = **found;
    Duration networkTime = networkDelay(host.record.dataCentre(), other.record.dataCentre());
    schedule(m_now + networkTime, [this, &host, &other, attempt, networkTime] {
        runOnProcessor(other, [this, &host, &other, attempt, networkTime] {
            auto request = std::make_shared<CallerRequest>(*attempt.request);
            request->delegation = attempt.delegation;
            request->timeout = attempt.deadline - m_now;
            request->arrivedAt = m_now;
            CallId call(++m_lastCall);
            Instant startTime = m_now;
            other.callers[call] = { m_now, false, [this, &host, &other, attempt, networkTime, startTime](const CallerAnswer& answer) {
                                       TargetReply reply;
                                       reply.outcome = TargetReply::ReplyOutcome::Answered;
                                       reply.status = answer.status;
                                       reply.notRun = answer.status == 503;
                                       reply.signature = reply.subRequestSignatures = answer.subRequestSignatures;
                                       reply.missingShards = answer.missingShards;
                                       reply.processingTime = m_now - startTime;
                                       bool remote = host.record.dataCentre() != other.record.dataCentre();
                                       schedule(m_now + networkTime, [this, &host, attempt, reply, remote] {
                                           m_counts.crossDataCentreReplies += remote;
                                           runOnProcessor(host, [this, &host, attempt, reply] {
                                               CallActions actions;
                                               host.engine.handleReply(attempt.id, reply, m_now, actions);
                                               performActions(host, std::move(actions));
                                           });
                                       });
                                   } };
            schedule(m_now + networkTime, [this, &host, attempt] {
                if (!isUnresponsive(host))
                    host.engine.handleAcknowledgement(attempt.id, m_now);
            });
            CallActions actions;
            other.engine.handleRequest(call, std::move(request), m_now, actions);
            performActions(other, std::move(actions));
        });
    });
}

bool FleetModel::isValid(const CallerAnswer& answer) const
{
    std::set<std::string> services;
    std::istringstream signatures(answer.subRequestSignatures);
    std::size_t count = 0;
    for (std::string signature; std::getline(signatures, signature, ',');) {
        signature.erase(0, signature.find_first_not_of(' '));
        services.insert(signature.substr(0, signature.find('-')));
        ++count;
    }
    bool unique = services.size() == count;
    bool complete = count + answer.missingShards == m_shape.shards;
    return unique && complete && static_cast<double>(count) + 1e-6 >= m_shape.minCoverage * static_cast<double>(m_shape.shards);
}

void FleetModel::answer(Host& host, CallId call, const CallerAnswer& answer)
{
    auto found = host.callers.find(call);
    if (found == host.callers.end()) {
        ++m_counts.invalid;
        return;
    }
    Host::Caller caller = std::move(found->second);
    host.callers.erase(found);
    if (isUnresponsive(host))
        return;
    if (caller.handleAnswer) {
        caller.handleAnswer(answer);
        return;
    }
    if (caller.crashing)
        return;
    if (answer.status != 200) {
        m_counts.quarantinedCalls += std::string(answer.reason).find("quarantined") != std::string::npos;
        ++m_counts.failed;
        return;
    }
    ++m_counts.served;
    m_counts.withinObjective += m_now - caller.sentAt <= m_shape.objective;
    m_counts.invalid += !isValid(answer);
}

void FleetModel::sendRequest(Host& host, bool crashing)
{
    auto request = std::make_shared<CallerRequest>();
    CallId call(++m_lastCall);
    request->id = "id" + std::to_string(call.value());
    request->method = "GET";
    request->requestTarget = crashing ? crashingPath : "/q/" + request->id;
    request->host = "fan.example";
    request->timeout = m_shape.callerTimeout;
    request->arrivedAt = m_now;
    m_counts.requests += !crashing;
    host.callers[call] = { m_now, crashing, {} };
    runOnProcessor(host, [this, &host, call, request] {
        CallActions actions;
        host.engine.handleRequest(call, request, m_now, actions);
        performActions(host, std::move(actions));
    });
}

FleetModel::Counts FleetModel::run(Duration from, Duration to)
{
    m_counts = {};
    m_requestCrashes.clear();
    auto scheduleCalls = [&](double callsPerSecond, bool crashing) {
        for (Instant at(from); callsPerSecond > 0 && at < Instant(to);) {
            std::size_t index = m_random.below(m_hosts.size());
            schedule(at, [this, index, crashing] {
                // A load balancer excludes hosts that are known to be unresponsive.
                if (!isUnresponsive(*m_hosts[index]))
                    sendRequest(*m_hosts[index], crashing);
            });
            double gap = (0.5 + m_random.fraction()) / callsPerSecond;
            constexpr double microseconds = 1e6;
            at += Duration(static_cast<Duration::rep>(gap * microseconds));
        }
    };
    scheduleCalls(m_shape.callsPerSecond, false);
    scheduleCalls(m_shape.crashingCallsPerSecond, true);
    constexpr Duration exchangeTick = std::chrono::milliseconds(100);
    for (Instant at(from); at < Instant(to); at += exchangeTick) {
        if (m_random.chance(m_shape.crashesPerSecond * std::chrono::duration<double>(exchangeTick).count()))
            schedule(at, [this] { crashTogether(m_random.below(m_targets.size())); });
        schedule(at, [this] {
            for (auto& host : m_hosts) {
                QuarantineExchange::Datagrams datagrams;
                if (!isUnresponsive(*host))
                    host->exchange.tick(host->engine.quarantine(), m_now, datagrams);
                send(*host, datagrams);
            }
        });
    }
    while (!m_events.empty()) {
        Event next = m_events.top();
        m_events.pop();
        m_now = std::max(m_now, next.at);
        next.run();
    }
    return m_counts;
}

} // namespace pimentopoint
