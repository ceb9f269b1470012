#include "ServeFakes.h"

#include <catch2/catch.hpp>

using namespace pimentopoint;

namespace {

struct PoolFixture {
    explicit PoolFixture(std::uint64_t seed = 7)
        : pool(DataCentreName("a"), TargetPoolTiming(), seed, [](const TargetName&, std::string_view, std::string_view) {})
    {
        setPolicy(20, 0);
    }
    void setPolicy(unsigned connections, double coldRate)
    {
        RoutingTable::Contents contents;
        contents.routes.push_back(singleRoute("one"));
        contents.services.push_back({ ServiceName("one"), "/health", connections, coldRate });
        pool.setRouting(std::make_shared<const RoutingTable>(std::move(contents)));
    }
    std::optional<TargetPool::Choice> choose(int time, const std::vector<TargetName>& tried = {})
    {
        return pool.choose(ServiceName("one"), tried, millisecond(time), status);
    }
    /// Records an attempt that ends with \a reply after \a takes milliseconds.
    /// \returns the chosen target; empty if there is none
    TargetName exchange(int time, const TargetReply& reply, int takes = 10)
    {
        auto choice = choose(time);
        if (!choice)
            return TargetName("");
        AttemptNumber id(++attemptCount);
        pool.recordAttempt(choice->name, id, std::chrono::milliseconds(10), std::chrono::milliseconds(30), millisecond(time));
        pool.recordReply(choice->name, id, reply, millisecond(time + takes));
        return choice->name;
    }
    TargetPool pool;
    TargetPool::ChoiceStatus status = TargetPool::ChoiceStatus::Chosen;
    std::uint64_t attemptCount = 0;
};

const TargetName first("one-1");
const TargetName second("one-2");

} // namespace

TEST_CASE("A target with a request outstanding past its straggler threshold is avoided until it replies")
{
    PoolFixture fixture;
    fixture.pool.put(makeTarget("one", 1), millisecond(0));
    fixture.pool.put(makeTarget("one", 2, "b"), millisecond(0));
    fixture.pool.recordAttempt(first, AttemptNumber(1), std::chrono::milliseconds(10), std::chrono::milliseconds(30), millisecond(0));
    for (int i = 0; i < 20; ++i)
        CHECK(fixture.choose(31)->name == second);
    fixture.pool.recordReply(first, AttemptNumber(1), EngineFixture::ok("x"), millisecond(100));
    bool chosen = false;
    for (int i = 0; i < 20; ++i)
        chosen = chosen || fixture.choose(10000)->name == first;
    CHECK(chosen);
}

TEST_CASE("Local targets are preferred while they reply")
{
    PoolFixture fixture;
    fixture.pool.put(makeTarget("one", 1), millisecond(0));
    fixture.pool.put(makeTarget("one", 2, "b"), millisecond(0));
    for (int i = 0; i < 50; ++i)
        CHECK(fixture.exchange(i * 10, EngineFixture::ok("x")) == first);
    // One refusal diverts requests to the remote target, but only temporarily.
    CHECK(fixture.exchange(600, EngineFixture::refused()) == first);
    CHECK(fixture.choose(800)->name == second);
    CHECK(fixture.choose(60000)->name == first);
}

TEST_CASE("A target that drains or whose entry was removed is used only if no other is usable, and for a limited time")
{
    struct Case {
        const char* name;
        bool drains;
    };
    for (const Case& each : { Case { "drains", true }, Case { "gone", false } }) {
        INFO(each.name);
        PoolFixture fixture;
        DiscoveredTarget leaving = makeTarget("one", 1);
        fixture.pool.put(leaving, millisecond(0));
        fixture.pool.put(makeTarget("one", 2, "b"), millisecond(0));
        leaving.draining = true;
        if (each.drains)
            fixture.pool.put(leaving, millisecond(10));
        else
            fixture.pool.remove(first, millisecond(10));
        CHECK(fixture.choose(20)->name == second);
        CHECK(fixture.choose(20, { second })->name == first);
        int after = 10 + static_cast<int>(TargetPoolTiming().leavingUseTimeout / std::chrono::milliseconds(1));
        CHECK_FALSE(fixture.choose(after, { second }));
        CHECK(fixture.status == TargetPool::ChoiceStatus::NoTarget);
        // While the store is unavailable entries expire; they return when it recovers.
        leaving.draining = false;
        fixture.pool.put(leaving, millisecond(after));
        CHECK(fixture.choose(after, { second })->name == first);
    }
}

TEST_CASE("A target that states in a reply that it is about to stop is used only for a limited time, whatever its entry says")
{
    struct Case {
        const char* name;
        TargetReply reply;
    };
    for (Case each : { Case { "in a success", EngineFixture::ok("x") }, Case { "in a refusal", EngineFixture::refused() } }) {
        INFO(each.name);
        PoolFixture fixture;
        fixture.pool.put(makeTarget("one", 1), millisecond(0));
        each.reply.leaving = true;
        CHECK(fixture.exchange(0, each.reply) == first);
        int limit = 10 + static_cast<int>(TargetPoolTiming().leavingUseTimeout / std::chrono::milliseconds(1));
        CHECK(fixture.choose(limit - 1));
        // Its entry is written again and still says that it is ready.
        fixture.pool.put(makeTarget("one", 1), millisecond(500));
        CHECK_FALSE(fixture.choose(limit));
        CHECK(fixture.status == TargetPool::ChoiceStatus::NoTarget);
        // A target that takes its place under the same name is another one.
        DiscoveredTarget restarted = makeTarget("one", 1);
        restarted.startedAt = 5;
        fixture.pool.put(restarted, millisecond(limit));
        CHECK(fixture.choose(limit));
    }
}

TEST_CASE("A target that refuses with a retry time gets no request from this host until then, unless it restarts")
{
    PoolFixture fixture;
    fixture.pool.put(makeTarget("one", 1), millisecond(0));
    TargetReply refusal = EngineFixture::refused();
    refusal.retryAfter = std::chrono::seconds(2);
    // A shorter time stated later doesn't end the first one.
    AttemptNumber other(1000);
    fixture.pool.recordAttempt(first, other, std::chrono::milliseconds(10), std::chrono::milliseconds(30), millisecond(0));
    CHECK(fixture.exchange(0, refusal) == first);
    refusal.retryAfter = std::chrono::milliseconds(100);
    fixture.pool.recordReply(first, other, refusal, millisecond(20));
    for (int time : { 10, 500, 1500, 2009 }) {
        CHECK_FALSE(fixture.choose(time));
        CHECK(fixture.status == TargetPool::ChoiceStatus::Limited);
        CHECK(fixture.pool.limitWait(ServiceName("one"), millisecond(time)) == std::chrono::milliseconds(2010 - time));
    }
    CHECK(fixture.choose(2010));
    refusal.retryAfter = std::chrono::seconds(2);
    CHECK(fixture.exchange(3000, refusal) == first);
    DiscoveredTarget restarted = makeTarget("one", 1);
    restarted.startedAt = 5;
    fixture.pool.put(restarted, millisecond(3100));
    CHECK(fixture.choose(3100));
}

TEST_CASE("Targets of an evacuated data centre are not chosen even if no other is usable")
{
    PoolFixture fixture;
    fixture.pool.put(makeTarget("one", 1), millisecond(0));
    fixture.pool.setExcludedDataCentres({ DataCentreName("a") });
    CHECK_FALSE(fixture.choose(0));
    fixture.pool.setExcludedDataCentres({});
    CHECK(fixture.choose(0));
}

TEST_CASE("A target whose address was taken over by another is not chosen again")
{
    PoolFixture fixture;
    fixture.pool.put(makeTarget("one", 1), millisecond(0));
    TargetReply reply = EngineFixture::refused();
    reply.addressReused = true;
    fixture.exchange(5000, reply, 0);
    CHECK_FALSE(fixture.choose(5001));
}

TEST_CASE("A removed target that restarts under the same name is usable again")
{
    PoolFixture fixture;
    DiscoveredTarget target = makeTarget("one", 1);
    target.startedAt = 1;
    fixture.pool.put(target, millisecond(0));
    fixture.pool.remove(first, millisecond(0));
    CHECK_FALSE(fixture.choose(5000));
    target.startedAt = 2;
    fixture.pool.put(target, millisecond(5000));
    CHECK(fixture.choose(5000));
}

TEST_CASE("Requests of all hosts together stay within a target's connection limit")
{
    struct Case {
        unsigned connections;
        std::size_t hosts;
    };
    for (const Case& each : { Case { 26, 8 }, Case { 46, 8 }, Case { 62, 61 }, Case { 410, 58 }, Case { 100, 3 } }) {
        PoolFixture fixture;
        fixture.setPolicy(each.connections, 0);
        fixture.pool.setHostFractions(each.hosts, 1.0 / static_cast<double>(each.hosts));
        fixture.pool.put(makeTarget("one", 1), millisecond(0));
        std::size_t sent = 0;
        while (auto choice = fixture.choose(0)) {
            fixture.pool.recordAttempt(choice->name, AttemptNumber(++sent), std::chrono::milliseconds(10), std::chrono::milliseconds(30), millisecond(0));
            REQUIRE(sent < 1000);
        }
        CHECK(fixture.status == TargetPool::ChoiceStatus::Saturated);
        CHECK(sent >= 1);
        CHECK(sent * each.hosts <= each.connections);
    }
}

TEST_CASE("Requests of all hosts together stay within a cold target's limit in any second")
{
    constexpr double factor = 1.5;
    constexpr double slack = 5;
    constexpr int end = 40000;
    struct Case {
        const char* name;
        std::size_t hosts;
        double perSecond;
        int demandFrom; ///< Time of the first request, in milliseconds.
        bool restarts; ///< Half of the hosts restart at 20 s and see no other host for a second.
    };
    const Case cases[] = { { "one host", 1, 4, 0, false }, { "three", 3, 4, 0, false }, { "eight", 8, 4, 0, false }, { "sixty", 60, 4, 0, false }, { "sixty, after idle time", 60, 4, 25000, false },
        { "sixty, a high rate", 60, 20, 0, false }, { "eight, half of them restarted", 8, 4, 0, true }, { "sixty, half of them restarted", 60, 4, 0, true } };
    for (const Case& each : cases) {
        std::multiset<int> times;
        for (std::size_t host = 0; host < each.hosts; ++host) {
            auto begin = [&](int time) {
                auto fixture = std::make_unique<PoolFixture>(host * 1000 + static_cast<std::size_t>(time));
                fixture->setPolicy(1000, each.perSecond);
                DiscoveredTarget cold = makeTarget("one", 1);
                cold.coldFor = std::chrono::milliseconds(end - time);
                fixture->pool.put(cold, millisecond(time));
                return fixture;
            };
            // Hosts have known each other for a minute; only a restarted host has not discovered the others.
            HostCountEstimate count(millisecond(-60000));
            count.recordMembers(each.hosts, each.hosts, millisecond(-1000));
            auto fixture = begin(0);
            constexpr int restartAt = 20000;
            bool restarted = false;
            for (int time = static_cast<int>(host); time < end; time += 10) {
                if (each.restarts && host % 2 && !restarted && time >= restartAt) {
                    restarted = true;
                    fixture = begin(time);
                    count = HostCountEstimate(millisecond(time));
                }
                bool isolated = restarted && time < restartAt + 1000;
                count.recordMembers(isolated ? 1 : each.hosts, isolated ? 1 : each.hosts, millisecond(time));
                fixture->pool.setHostFractions(count.value(millisecond(time)), count.fraction(1, millisecond(time)));
                if (time >= each.demandFrom && !fixture->exchange(time, EngineFixture::ok("x"), 0).value().empty())
                    times.insert(time);
            }
        }
        INFO(each.name);
        CHECK_FALSE(times.empty());
        std::ptrdiff_t maximum = 0;
        for (int start = 0; start < end; start += 10)
            maximum = std::max(maximum, std::distance(times.lower_bound(start), times.lower_bound(start + 1000)));
        CHECK(static_cast<double>(maximum) <= each.perSecond * factor + slack);
    }
}

TEST_CASE("The host count is the maximum of recent windows, and at least the assumed number after a start")
{
    HostCountEstimate count(millisecond(0));
    count.recordMembers(1, 1, millisecond(100));
    CHECK(count.value(millisecond(100)) >= 60);
    count.recordMembers(8, 8, millisecond(1000));
    CHECK(count.value(millisecond(3000)) == 8);
    // Hosts hidden by a network partition may still send.
    count.recordMembers(3, 3, millisecond(5000));
    CHECK(count.value(millisecond(5000)) == 8);
    for (int time = 5000; time <= 150000; time += 1000)
        count.recordMembers(3, 3, millisecond(time));
    CHECK(count.value(millisecond(150000)) == 3);
    count.recordMembers(400, 400, millisecond(151000));
    CHECK(count.value(millisecond(151000)) == 400);
}

TEST_CASE("Connections are opened in advance to local targets, and to remote ones only if the limit allows it for every host")
{
    for (std::size_t hosts : { 4U, 60U }) {
        PoolFixture fixture;
        fixture.setPolicy(62, 0);
        fixture.pool.setHostFractions(hosts, 1.0 / static_cast<double>(hosts));
        fixture.pool.put(makeTarget("one", 1), millisecond(0));
        fixture.pool.put(makeTarget("one", 2, "b"), millisecond(0));
        std::set<TargetName> opened;
        for (int i = 0; i < 5; ++i) {
            for (const auto& choice : fixture.pool.chooseUnconnected(1, millisecond(i))) {
                opened.insert(choice.name);
                fixture.pool.setOpenConnections(choice.name, 1, millisecond(i));
            }
        }
        CHECK(opened.contains(first));
        CHECK(opened.contains(second) == (hosts == 4));
    }
}

TEST_CASE("A connection closed by its target is opened again only after the reopen delay")
{
    PoolFixture fixture;
    fixture.pool.put(makeTarget("one", 1), millisecond(0));
    REQUIRE(fixture.pool.chooseUnconnected(1, millisecond(0)).size() == 1);
    fixture.pool.setOpenConnections(first, 1, millisecond(0));
    CHECK(fixture.pool.chooseUnconnected(1, millisecond(10)).empty());
    fixture.pool.setOpenConnections(first, 0, millisecond(20));
    int opened = 0;
    for (int time = 30; time < 5000; time += 100)
        opened += static_cast<int>(fixture.pool.chooseUnconnected(1, millisecond(time)).size());
    CHECK(opened == 0);
    CHECK(fixture.pool.chooseUnconnected(1, millisecond(5020)).size() == 1);
}

TEST_CASE("Routes match by HTTP host and longest prefix")
{
    RoutingTable::Contents contents;
    for (const char* prefix : { "/a/", "/a/b/", "/" }) {
        RoutePolicy route = singleRoute("one");
        route.name = RouteName(prefix);
        route.host = "Shop.Example";
        route.prefix = prefix;
        contents.routes.push_back(route);
    }
    RoutingTable table(std::move(contents));
    CHECK(table.match("shop.example:80", "/a/b/c")->name.value() == "/a/b/");
    CHECK(table.match("SHOP.example", "/a/x")->name.value() == "/a/");
    CHECK(table.match("shop.example", "/a")->name.value() == "/");
    CHECK(table.match("other.example", "/a/") == nullptr);
}
