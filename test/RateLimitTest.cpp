// Requests that all hosts together send to a target that limits their rate. The hosts share no state; each has a pool of its own.
#include "ServeFakes.h"

#include <catch2/catch.hpp>
#include <deque>

using namespace pimentopoint;
using namespace std::chrono_literals;

namespace {

/// What the platform's rules allow a target that states \a limit in any 4 s, from the hosts that have known it for half a second.
double allowedInWindow(double limit)
{
    return 1.5 * 4 * limit + 5;
}

/// Hosts with one service of one target, which states its limit in each reply.
class LimitedFleet {
public:
    LimitedFleet(std::size_t hosts, double limit, std::uint64_t seed)
        : m_limit(limit)
        , m_random(seed)
    {
        RoutingTable::Contents contents;
        contents.routes.push_back(singleRoute("one"));
        contents.services.push_back({ ServiceName("one"), "/health", 10000, 0 });
        auto routing = std::make_shared<const RoutingTable>(std::move(contents));
        for (std::size_t i = 0; i < hosts; ++i) {
            auto pool = std::make_unique<TargetPool>(DataCentreName("a"), TargetPoolTiming(), seed * 10000 + i, [](const TargetName&, std::string_view, std::string_view) {});
            pool->setRouting(routing);
            pool->setHostFractions(hosts, 1 / static_cast<double>(hosts));
            pool->put(makeTarget("one", 1), Instant());
            m_hosts.push_back({ std::move(pool), std::nullopt });
        }
    }

    /// Offers \a demand requests per second at random hosts, and checks every 4 s of them.
    void run(double demand, Duration duration)
    {
        Duration interval(static_cast<Duration::rep>(1e6 / demand));
        for (Instant end = m_now + duration; m_now < end; m_now += interval)
            offer(static_cast<std::size_t>(m_random.fraction() * static_cast<double>(m_hosts.size())));
    }
    void setLimit(std::optional<double> limit) { m_limit = limit; }
    std::size_t mostInWindow() const { return m_mostInWindow; }
    std::size_t sent() const { return m_sent; }
    void resetCounts() { m_sent = m_mostInWindow = 0; }

private:
    struct Host {
        std::unique_ptr<TargetPool> pool;
        std::optional<Instant> toldAt; ///< Time at which the host first knew the limit.
    };

    void offer(std::size_t index)
    {
        Host& host = m_hosts[index];
        TargetPool::ChoiceStatus status = TargetPool::ChoiceStatus::Chosen;
        auto choice = host.pool->choose(ServiceName("one"), {}, m_now, status);
        if (!choice) {
            CHECK(status == TargetPool::ChoiceStatus::Limited);
            return;
        }
        AttemptNumber attempt(++m_lastAttempt);
        host.pool->recordAttempt(choice->name, attempt, 10ms, 30ms, m_now);
        TargetReply reply = EngineFixture::ok("x");
        reply.rateLimit = m_limit;
        host.pool->recordReply(choice->name, attempt, reply, m_now);
        ++m_sent;
        if (host.toldAt && m_now - *host.toldAt >= 500ms) {
            m_counted.push_back(m_now);
            while (m_now - m_counted.front() > 4s)
                m_counted.pop_front();
            m_mostInWindow = std::max(m_mostInWindow, m_counted.size());
        }
        if (!host.toldAt && m_limit)
            host.toldAt = m_now;
    }

    std::optional<double> m_limit;
    Random m_random;
    std::vector<Host> m_hosts;
    Instant m_now {};
    std::deque<Instant> m_counted;
    std::uint64_t m_lastAttempt = 0;
    std::size_t m_mostInWindow = 0;
    std::size_t m_sent = 0;
};

} // namespace

TEST_CASE("All hosts together send a target no more than the limit that it states allows")
{
    for (std::size_t hosts : { 1, 8, 61, 300, 1000 }) {
        for (double limit : { 0.3, 1.2, 5.0, 31.9, 200.0 }) {
            for (std::uint64_t seed = 1; seed <= 5; ++seed) {
                INFO(hosts << " hosts, limit " << limit << ", seed " << seed);
                LimitedFleet fleet(hosts, limit, seed);
                fleet.run(std::max(50.0, 4 * limit), 30s);
                CHECK(static_cast<double>(fleet.mostInWindow()) <= allowedInWindow(limit));
            }
        }
    }
}

TEST_CASE("Hosts use most of the limit that a target states")
{
    for (std::size_t hosts : { 1, 8, 61 }) {
        for (double limit : { 5.0, 31.9, 200.0 }) {
            INFO(hosts << " hosts, limit " << limit);
            LimitedFleet fleet(hosts, limit, 1);
            fleet.run(4 * limit, 10s);
            fleet.resetCounts();
            fleet.run(4 * limit, 60s);
            CHECK(static_cast<double>(fleet.sent()) >= 0.6 * limit * 60);
        }
    }
}

TEST_CASE("Hosts use a target freely again after it states no limit any more")
{
    LimitedFleet fleet(8, 5, 1);
    fleet.run(100, 20s);
    fleet.setLimit(std::nullopt);
    fleet.run(100, 15s);
    fleet.resetCounts();
    fleet.run(100, 10s);
    CHECK(fleet.sent() == 1000);
}

TEST_CASE("A call that rate limits prevent is refused at once with the time after which it can be sent")
{
    EngineFixture fixture({ singleRoute("one") });
    fixture.pool.put(makeTarget("one", 1), millisecond(0));
    TargetReply limited = EngineFixture::ok("x");
    limited.rateLimit = 0.5;
    std::optional<CallerAnswer> refusal;
    for (std::int64_t time = 0; time < 150 && !refusal; time += 5) {
        CallId call = fixture.sendRequest("single.example", millisecond(time));
        if (fixture.attempts.empty())
            refusal = fixture.answers.at(call);
        else
            fixture.reply(fixture.attempts.begin()->first, limited, millisecond(time));
    }
    REQUIRE(refusal);
    CHECK(refusal->status == 503);
    CHECK(refusal->retryAfter > 100ms);
    CHECK(refusal->retryAfter <= 4s);
}

TEST_CASE("A fan-out is refused before anything is sent if rate limits leave too few shards")
{
    constexpr std::size_t shards = 4;
    for (std::size_t limitedShards : { 1, 2 }) {
        INFO(limitedShards << " of 4 shards limited, of which one may be missing");
        EngineFixture fixture({ fanOutRoute(shards, 0.75) });
        discoverTargets(fixture, shards, 1);
        // The hosts use up what a target tolerates beyond its limit, one shard sooner than the other.
        bool refused = limitedShards > 1;
        std::size_t expectedAttempts = refused ? 0 : shards - limitedShards;
        std::optional<CallerAnswer> answer;
        for (std::int64_t time = 0; time < 400 && !answer; time += 20) {
            CallId call = fixture.sendRequest("fan.example", millisecond(time));
            auto sent = fixture.attempts;
            for (const auto& [id, attempt] : sent) {
                TargetReply reply = EngineFixture::ok("x" + attempt.target.value());
                if (attempt.target.value() < "s" + std::to_string(limitedShards))
                    reply.rateLimit = 0;
                fixture.reply(id, reply, millisecond(time + 5));
            }
            if (sent.size() == expectedAttempts)
                answer = fixture.answers.at(call);
        }
        REQUIRE(answer);
        CHECK(answer->status == (refused ? 503U : 200U));
        CHECK(answer->missingShards == (refused ? 0 : limitedShards));
    }
}

TEST_CASE("A call whose targets all refuse with a retry time is refused at once, with the shortest of these times")
{
    EngineFixture fixture({ singleRoute("one") });
    fixture.pool.put(makeTarget("one", 1), millisecond(0));
    fixture.pool.put(makeTarget("one", 2), millisecond(0));
    TargetReply refusal = EngineFixture::refused();
    for (Duration retryAfter : { Duration(900ms), Duration(700ms) }) {
        CallId call = fixture.sendRequest("single.example", millisecond(0));
        REQUIRE(fixture.attempts.size() == 1);
        refusal.retryAfter = retryAfter;
        AttemptNumber attempt = fixture.attempts.begin()->first;
        fixture.reply(attempt, refusal, millisecond(0));
        if (!fixture.attempts.empty()) {
            AttemptNumber retry = fixture.attempts.begin()->first;
            fixture.reply(retry, EngineFixture::ok("x"), millisecond(0));
        }
        CHECK(fixture.answers.contains(call));
    }
    CallId call = fixture.sendRequest("single.example", millisecond(100));
    CHECK(fixture.attempts.empty());
    REQUIRE(fixture.answers.contains(call));
    CHECK(fixture.answers[call].status == 503);
    CHECK(fixture.answers[call].retryAfter == Duration(600ms));
}
