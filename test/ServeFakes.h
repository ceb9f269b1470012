/// \file
/// Shared by the tests of Serve: targets, routes, hosts, and an engine whose actions are recorded.
#pragma once

#include <Pimentopoint/Core>
#include <Pimentopoint/Peer>
#include <Pimentopoint/Serve>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace pimentopoint {

inline Instant millisecond(std::int64_t value)
{
    return Instant(std::chrono::milliseconds(value));
}

inline DiscoveredTarget makeTarget(const std::string& service, int number, const std::string& dataCentre = "a")
{
    DiscoveredTarget target;
    target.name = TargetName(service + "-" + std::to_string(number));
    target.service = ServiceName(service);
    target.endpoint = Endpoint("10.0.0." + std::to_string(number), 80);
    target.dataCentre = DataCentreName(dataCentre);
    target.slots = 2;
    return target;
}

inline RoutePolicy singleRoute(const std::string& service)
{
    RoutePolicy route;
    route.name = RouteName("single");
    route.host = "single.example";
    route.prefix = "/";
    route.maxAttempts = 2;
    route.timeout = std::chrono::seconds(2);
    route.objective = std::chrono::milliseconds(200);
    route.services.push_back({ ServiceName(service), 1 });
    return route;
}

inline RoutePolicy fanOutRoute(std::size_t shards, double minCoverage = 0.75)
{
    RoutePolicy route = singleRoute("");
    route.name = RouteName("fan");
    route.host = "fan.example";
    route.services.clear();
    for (std::size_t i = 0; i < shards; ++i)
        route.shards.emplace_back("s" + std::to_string(i));
    route.topRecords = 4;
    route.minCoverage = Fraction(minCoverage);
    return route;
}

/// \returns a host that accepts delegated fan-outs
inline MemberRecord makeHost(const std::string& name, const std::string& dataCentre, std::uint32_t millicores = 120)
{
    MemberRecord record(MemberName(name), MemberRole::Front, DataCentreName(dataCentre), Incarnation(1));
    record.setEndpoints(Endpoint("10.0.1.1", 7000), Endpoint("10.0.1.1", 7000), Endpoint("10.0.1.1", 7001));
    record.setMillicores(millicores);
    return record;
}

/// \returns a record that consists of \a letter alone
inline std::string makeRecord(char letter)
{
    return std::string(recordBytes, letter);
}

/// \returns a pool of the host "self" in data centre "a" without other hosts
inline AggregatorPool makeEmptyAggregatorPool()
{
    return { MemberRecord(MemberName("self"), MemberRole::Front, DataCentreName("a"), Incarnation(1)), [](const MemberName&, std::string_view, std::string_view) {} };
}

/// An engine with its pools; records the outstanding attempts and the answers.
class EngineFixture {
public:
    explicit EngineFixture(std::vector<RoutePolicy> routes, unsigned maxConnections = 8, double coldRate = 0, CallLimits limits = CallLimits())
        : pool(DataCentreName("a"), TargetPoolTiming(), 1, [](const TargetName&, std::string_view, std::string_view) {})
        , aggregators(makeEmptyAggregatorPool())
        , engine(
              pool, aggregators, metrics, limits, [this](const CallRecord& record) { reasons.emplace_back(record.reason); }, RequestQuarantine(1, QuarantineLimits()))
    {
        setRoutes(std::move(routes), maxConnections, 1, coldRate);
        CallActions actions;
        engine.startServing(Instant(), actions);
    }

    void setRoutes(std::vector<RoutePolicy> routes, unsigned maxConnections, std::uint64_t version, double coldRate = 0)
    {
        RoutingTable::Contents contents;
        contents.version = ConfigurationVersion(version);
        std::set<ServiceName> names;
        for (const RoutePolicy& route : routes) {
            names.insert(route.shards.begin(), route.shards.end());
            for (const WeightedService& each : route.services)
                names.insert(each.service);
        }
        for (const ServiceName& name : names)
            contents.services.push_back({ name, "/health", maxConnections, coldRate });
        contents.routes = std::move(routes);
        engine.setRouting(std::make_shared<const RoutingTable>(std::move(contents)));
    }

    CallId sendRequest(const std::string& host, Instant now, Duration timeout = std::chrono::seconds(2))
    {
        auto request = std::make_shared<CallerRequest>();
        request->id = "id" + std::to_string(++lastCall);
        request->method = "GET";
        request->requestTarget = "/q";
        request->host = host;
        request->timeout = timeout;
        request->arrivedAt = now;
        CallActions actions;
        engine.handleRequest(CallId(lastCall), request, now, actions);
        apply(actions);
        return CallId(lastCall);
    }

    void reply(AttemptNumber attempt, const TargetReply& reply, Instant now)
    {
        attempts.erase(attempt);
        CallActions actions;
        engine.handleReply(attempt, reply, now, actions);
        apply(actions);
    }

    void tick(Instant now)
    {
        CallActions actions;
        engine.tick(now, actions);
        apply(actions);
    }

    void disconnect(CallId call, Instant now)
    {
        CallActions actions;
        engine.handleCallerDisconnected(call, now, actions);
        apply(actions);
    }

    void apply(const CallActions& actions)
    {
        for (const auto& attempt : actions.attempts) {
            attempts.emplace(attempt.id, attempt);
            ++attemptsByTarget[attempt.target];
        }
        for (AttemptNumber attempt : actions.aborts) {
            attempts.erase(attempt);
            ++aborts;
        }
        for (const auto& answer : actions.answers)
            answers[answer.call] = answer.answer;
    }

    static TargetReply ok(const std::string& stamp, const std::string& body = "")
    {
        TargetReply reply;
        reply.outcome = TargetReply::ReplyOutcome::Answered;
        reply.status = 200;
        reply.signature = stamp;
        reply.body = body;
        return reply;
    }
    static TargetReply refused()
    {
        TargetReply reply = ok("");
        reply.status = 503;
        reply.notRun = true;
        return reply;
    }
    static TargetReply lost(TargetReply::ReplyOutcome end = TargetReply::ReplyOutcome::Lost)
    {
        TargetReply reply;
        reply.outcome = end;
        reply.cause = "test";
        return reply;
    }

    Metrics metrics;
    TargetPool pool;
    AggregatorPool aggregators;
    std::vector<std::string> reasons;
    CallEngine engine;
    std::map<AttemptNumber, CallActions::Attempt> attempts;
    std::map<CallId, CallerAnswer> answers;
    std::map<TargetName, int> attemptsByTarget;
    int aborts = 0;
    std::uint64_t lastCall = 0;
};

/// \returns an aggregator's reply that lacks one shard
inline TargetReply makeAggregateReply(unsigned status = 200)
{
    TargetReply reply = EngineFixture::ok("x, y, z", makeRecord('e') + makeRecord('c'));
    reply.status = status;
    reply.subRequestSignatures = reply.signature;
    reply.missingShards = 1;
    return reply;
}

/// Adds \a replicas targets of each shard to the pool of \a fixture, each in a data centre of its own.
inline void discoverTargets(EngineFixture& fixture, std::size_t shards, int replicas = 3)
{
    for (std::size_t i = 0; i < shards; ++i) {
        for (int r = 0; r < replicas; ++r)
            fixture.pool.put(makeTarget("s" + std::to_string(i), r + 1, std::string(1, static_cast<char>('a' + r))), millisecond(0));
    }
}

} // namespace pimentopoint
