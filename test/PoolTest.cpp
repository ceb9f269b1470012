#include "ServeFakes.h"

#include <catch2/catch.hpp>

using namespace pimentopoint;

namespace {

struct Pool {
    explicit Pool(std::uint64_t seed = 7)
        : pool(DataCentreName("a"), TargetPoolTiming(), seed, [](const TargetName&, std::string_view, std::string_view) {})
    {
        setPolicy(20, 0);
    }
    void setPolicy(unsigned connections, double coldRate)
    {
        RoutingTable::Contents parts;
        parts.routes.push_back(singleRoute("one"));
        parts.services.push_back({ ServiceName("one"), "/health", connections, coldRate });
        pool.setRouting(std::make_shared<const RoutingTable>(std::move(parts)));
    }
    std::optional<TargetPool::Choice> choose(int time, const std::vector<TargetName>& tried = {})
    {
        return pool.choose(ServiceName("one"), tried, millisecond(time), shortage);
    }
    /// Records an attempt that ends with \a reply after \a takes milliseconds.
    /// \returns the chosen target; empty if there is none
    TargetName exchange(int time, const TargetReply& reply, int takes = 10)
    {
        auto choice = choose(time);
        if (!choice)
            return TargetName("");
        AttemptNumber id(++sends);
        pool.recordAttempt(choice->name, id, std::chrono::milliseconds(10), std::chrono::milliseconds(30), millisecond(time));
        pool.recordReply(choice->name, id, reply, millisecond(time + takes));
        return choice->name;
    }
    TargetPool pool;
    TargetPool::ChoiceStatus shortage = TargetPool::ChoiceStatus::Chosen;
    std::uint64_t sends = 0;
};

const TargetName first("one-1");
const TargetName second("one-2");

} // namespace

TEST_CASE("A target with a request outstanding past its straggler threshold is avoided until it replies")
{
    Pool fleet;
    fleet.pool.put(makeTarget("one", 1), millisecond(0));
    fleet.pool.put(makeTarget("one", 2, "b"), millisecond(0));
    fleet.pool.recordAttempt(first, AttemptNumber(1), std::chrono::milliseconds(10), std::chrono::milliseconds(30), millisecond(0));
    for (int i = 0; i < 20; ++i)
        CHECK(fleet.choose(31)->name == second);
    fleet.pool.recordReply(first, AttemptNumber(1), EngineFixture::ok("x"), millisecond(100));
    bool chosen = false;
    for (int i = 0; i < 20; ++i)
        chosen = chosen || fleet.choose(10000)->name == first;
    CHECK(chosen);
}

TEST_CASE("Local targets are preferred while they reply")
{
    Pool fleet;
    fleet.pool.put(makeTarget("one", 1), millisecond(0));
    fleet.pool.put(makeTarget("one", 2, "b"), millisecond(0));
    for (int i = 0; i < 50; ++i)
        CHECK(fleet.exchange(i * 10, EngineFixture::ok("x")) == first);
    // One refusal diverts requests to the remote target, but only temporarily.
    CHECK(fleet.exchange(600, EngineFixture::refused()) == first);
    CHECK(fleet.choose(800)->name == second);
    CHECK(fleet.choose(60000)->name == first);
}

TEST_CASE("A target that drains or whose entry was removed is used only if no other is usable, and for a limited time")
{
    struct Case {
        const char* name;
        bool drains;
    };
    for (const Case& each : { Case { "drains", true }, Case { "gone", false } }) {
        INFO(each.name);
        Pool fleet;
        DiscoveredTarget leaving = makeTarget("one", 1);
        fleet.pool.put(leaving, millisecond(0));
        fleet.pool.put(makeTarget("one", 2, "b"), millisecond(0));
        leaving.draining = true;
        if (each.drains)
            fleet.pool.put(leaving, millisecond(10));
        else
            fleet.pool.remove(first, millisecond(10));
        CHECK(fleet.choose(20)->name == second);
        CHECK(fleet.choose(20, { second })->name == first);
        int after = 10 + static_cast<int>(TargetPoolTiming().leavingUseTimeout / std::chrono::milliseconds(1));
        CHECK_FALSE(fleet.choose(after, { second }));
        CHECK(fleet.shortage == TargetPool::ChoiceStatus::NoTarget);
        // While the store is unavailable entries expire; they return when it recovers.
        leaving.draining = false;
        fleet.pool.put(leaving, millisecond(after));
        CHECK(fleet.choose(after, { second })->name == first);
    }
}

TEST_CASE("Targets of an evacuated data centre are not chosen even if no other is usable")
{
    Pool fleet;
    fleet.pool.put(makeTarget("one", 1), millisecond(0));
    fleet.pool.setExcludedDataCentres({ DataCentreName("a") });
    CHECK_FALSE(fleet.choose(0));
    fleet.pool.setExcludedDataCentres({});
    CHECK(fleet.choose(0));
}

TEST_CASE("A target whose address was taken over by another is not chosen again")
{
    Pool fleet;
    fleet.pool.put(makeTarget("one", 1), millisecond(0));
    TargetReply reply = EngineFixture::refused();
    reply.addressReused = true;
    fleet.exchange(5000, reply, 0);
    CHECK_FALSE(fleet.choose(5001));
}

TEST_CASE("A removed target that restarts under the same name is usable again")
{
    Pool fleet;
    DiscoveredTarget target = makeTarget("one", 1);
    target.startedAt = 1;
    fleet.pool.put(target, millisecond(0));
    fleet.pool.remove(first, millisecond(0));
    CHECK_FALSE(fleet.choose(5000));
    target.startedAt = 2;
    fleet.pool.put(target, millisecond(5000));
    CHECK(fleet.choose(5000));
}

TEST_CASE("Requests of all hosts together stay within a target's connection limit")
{
    struct Case {
        unsigned connections;
        std::size_t hosts;
    };
    for (const Case& each : { Case { 26, 8 }, Case { 46, 8 }, Case { 62, 61 }, Case { 410, 58 }, Case { 100, 3 } }) {
        Pool fleet;
        fleet.setPolicy(each.connections, 0);
        fleet.pool.setHostFractions(each.hosts, 1.0 / static_cast<double>(each.hosts));
        fleet.pool.put(makeTarget("one", 1), millisecond(0));
        std::size_t sent = 0;
        while (auto choice = fleet.choose(0)) {
            fleet.pool.recordAttempt(choice->name, AttemptNumber(++sent), std::chrono::milliseconds(10), std::chrono::milliseconds(30), millisecond(0));
            REQUIRE(sent < 1000);
        }
        CHECK(fleet.shortage == TargetPool::ChoiceStatus::Saturated);
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
                auto fleet = std::make_unique<Pool>(host * 1000 + static_cast<std::size_t>(time));
                fleet->setPolicy(1000, each.perSecond);
                DiscoveredTarget cold = makeTarget("one", 1);
                cold.coldFor = std::chrono::milliseconds(end - time);
                fleet->pool.put(cold, millisecond(time));
                return fleet;
            };
            // Hosts have known each other for a minute; only a restarted host has not discovered the others.
            HostCountEstimate count(millisecond(-60000));
            count.recordMembers(each.hosts, each.hosts, millisecond(-1000));
            auto fleet = begin(0);
            constexpr int restartAt = 20000;
            bool restarted = false;
            for (int time = static_cast<int>(host); time < end; time += 10) {
                if (each.restarts && host % 2 && !restarted && time >= restartAt) {
                    restarted = true;
                    fleet = begin(time);
                    count = HostCountEstimate(millisecond(time));
                }
                bool alone = restarted && time < restartAt + 1000;
                count.recordMembers(alone ? 1 : each.hosts, alone ? 1 : each.hosts, millisecond(time));
                fleet->pool.setHostFractions(count.value(millisecond(time)), count.fraction(1, millisecond(time)));
                if (time >= each.demandFrom && !fleet->exchange(time, EngineFixture::ok("x"), 0).value().empty())
                    times.insert(time);
            }
        }
        INFO(each.name);
        CHECK_FALSE(times.empty());
        std::ptrdiff_t most = 0;
        for (int start = 0; start < end; start += 10)
            most = std::max(most, std::distance(times.lower_bound(start), times.lower_bound(start + 1000)));
        CHECK(static_cast<double>(most) <= each.perSecond * factor + slack);
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

TEST_CASE("Connections are opened ahead of need to local targets, and to remote ones only if the limit allows it for every host")
{
    for (std::size_t hosts : { 4U, 60U }) {
        Pool fleet;
        fleet.setPolicy(62, 0);
        fleet.pool.setHostFractions(hosts, 1.0 / static_cast<double>(hosts));
        fleet.pool.put(makeTarget("one", 1), millisecond(0));
        fleet.pool.put(makeTarget("one", 2, "b"), millisecond(0));
        std::set<TargetName> opened;
        for (int i = 0; i < 5; ++i) {
            for (const auto& choice : fleet.pool.chooseUnconnected(1, millisecond(i))) {
                opened.insert(choice.name);
                fleet.pool.setOpenConnections(choice.name, 1, millisecond(i));
            }
        }
        CHECK(opened.contains(first));
        CHECK(opened.contains(second) == (hosts == 4));
    }
}

TEST_CASE("A connection closed by its target is opened again only after the reopen delay")
{
    Pool fleet;
    fleet.pool.put(makeTarget("one", 1), millisecond(0));
    REQUIRE(fleet.pool.chooseUnconnected(1, millisecond(0)).size() == 1);
    fleet.pool.setOpenConnections(first, 1, millisecond(0));
    CHECK(fleet.pool.chooseUnconnected(1, millisecond(10)).empty());
    fleet.pool.setOpenConnections(first, 0, millisecond(20));
    int opened = 0;
    for (int time = 30; time < 5000; time += 100)
        opened += static_cast<int>(fleet.pool.chooseUnconnected(1, millisecond(time)).size());
    CHECK(opened == 0);
    CHECK(fleet.pool.chooseUnconnected(1, millisecond(5020)).size() == 1);
}

TEST_CASE("Routes match by HTTP host and longest prefix")
{
    RoutingTable::Contents parts;
    for (const char* prefix : { "/a/", "/a/b/", "/" }) {
        RoutePolicy route = singleRoute("one");
        route.name = RouteName(prefix);
        route.host = "Shop.Example";
        route.prefix = prefix;
        parts.routes.push_back(route);
    }
    RoutingTable table(std::move(parts));
    CHECK(table.match("shop.example:80", "/a/b/c")->name.value() == "/a/b/");
    CHECK(table.match("SHOP.example", "/a/x")->name.value() == "/a/");
    CHECK(table.match("shop.example", "/a")->name.value() == "/");
    CHECK(table.match("other.example", "/a/") == nullptr);
}
