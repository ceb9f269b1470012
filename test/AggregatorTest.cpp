#include "ServeFakes.h"

#include <catch2/catch.hpp>

using namespace pimentopoint;

namespace {

MemberRecord hostOf(const std::string& name, const std::string& dataCentre, std::uint32_t millicores = 120)
{
    MemberRecord record(MemberName(name), MemberRole::Front, DataCentreName(dataCentre), Incarnation(1));
    record.setEndpoints(Endpoint("10.0.1.1", 7000), Endpoint("10.0.1.1", 7000), Endpoint("10.0.1.1", 7001));
    record.setMillicores(millicores);
    return record;
}

AggregatorPool poolOf(const MemberRecord& self, const std::vector<MemberRecord>& others)
{
    AggregatorPool pool(self, [](const MemberName&, std::string_view, std::string_view) {});
    pool.setMembers(others);
    return pool;
}

const ShardReach everywhere { { { DataCentreName("a"), 36 }, { DataCentreName("b"), 36 } }, {}, {} };

/// A fan-out fleet whose host "self" in data centre "a" knows one strong host beside it, "big".
struct DelegatingFleet : ServeFleet {
    explicit DelegatingFleet(std::vector<MemberRecord> others = { hostOf("big", "a", 8000) })
        : ServeFleet({ fanOutRoute(4) })
    {
        for (int shard = 0; shard < 4; ++shard) {
            for (int replica = 1; replica <= 3; ++replica)
                pool.put(targetOf("s" + std::to_string(shard), replica, std::string(1, static_cast<char>('a' + replica - 1))), millisecond(0));
        }
        aggregators.setMembers(others);
    }
    CallActions::Send only() const
    {
        REQUIRE(sends.size() == 1);
        return sends.begin()->second;
    }
};

std::string recordOf(char letter)
{
    return std::string(recordBytes, letter);
}

TargetReply aggregate(unsigned status = 200)
{
    TargetReply reply = ServeFleet::ok("x, y, z", recordOf('e') + recordOf('c'));
    reply.status = status;
    reply.partStamps = reply.stamp;
    reply.missingParts = 1;
    return reply;
}

} // namespace

TEST_CASE("a fan-out is given away only to a much stronger host at home or to a data centre that has its targets")
{
    struct Case {
        const char* name;
        std::uint32_t own;
        std::vector<MemberRecord> others;
        ShardReach reach;
        const char* chosen; ///< Empty: this host runs it.
    };
    const ShardReach away { { { DataCentreName("b"), 36 }, { DataCentreName("c"), 20 } }, {}, {} };
    const ShardReach few { { { DataCentreName("a"), 10 }, { DataCentreName("b"), 36 } }, {}, {} };
    const ShardReach most { { { DataCentreName("a"), 30 }, { DataCentreName("b"), 36 } }, { 0, 1, 2, 3, 4, 5 }, { { DataCentreName("b"), 6 }, { DataCentreName("c"), 2 } } };
    MemberRecord suspect = hostOf("b1", "b");
    suspect.setState(MemberState::Suspect);
    MemberRecord leaving = hostOf("b1", "b");
    leaving.setState(MemberState::Leaving);
    MemberRecord without = hostOf("b1", "b");
    without.setEndpoints(without.udp(), without.tcp(), Endpoint());
    const Case cases[] = {
        { "nobody else", 120, {}, everywhere, "" },
        { "equal hosts", 250, { hostOf("a1", "a", 250), hostOf("b1", "b", 250) }, everywhere, "" },
        { "a stronger host at home", 120, { hostOf("a1", "a", 500), hostOf("a2", "a") }, everywhere, "a1" },
        { "a stronger host elsewhere", 120, { hostOf("b1", "b", 500) }, everywhere, "" },
        { "little stronger", 300, { hostOf("a1", "a", 500) }, everywhere, "" },
        { "no targets at home", 500, { hostOf("a1", "a"), hostOf("b1", "b"), hostOf("c1", "c") }, away, "b1" },
        { "few targets at home", 500, { hostOf("b1", "b") }, few, "b1" },
        { "most targets at home", 120, { hostOf("b1", "b", 500), hostOf("c1", "c", 500) }, most, "b1" },
        { "most targets at home, a stronger host there", 120, { hostOf("b1", "b", 500), hostOf("a1", "a", 500) }, most, "a1" },
        { "strong ones first elsewhere", 120, { hostOf("b1", "b"), hostOf("b2", "b"), hostOf("b3", "b", 500), hostOf("b4", "b") }, away, "b3" },
        { "no targets anywhere", 120, { hostOf("a1", "a", 500) }, {}, "a1" },
        { "a suspect", 120, { suspect }, away, "" },
        { "one that leaves", 120, { leaving }, away, "" },
        { "one that runs nothing for others", 120, { without }, away, "" },
    };
    for (const Case& each : cases) {
        INFO(each.name);
        AggregatorPool pool = poolOf(hostOf("self", "a", each.own), each.others);
        auto choice = pool.choose(each.reach, false, millisecond(0));
        CHECK((choice ? choice->name.value() : "") == each.chosen);
    }
}

TEST_CASE("hosts spread over the strong ones, and each keeps to its own")
{
    std::vector<MemberRecord> strong;
    for (int i = 0; i < 4; ++i)
        strong.push_back(hostOf("strong-" + std::to_string(i), "a", 500));
    std::map<MemberName, int> chosen;
    for (int i = 0; i < 200; ++i) {
        AggregatorPool pool = poolOf(hostOf("host-" + std::to_string(i), "a"), strong);
        MemberName first = pool.choose(everywhere, false, millisecond(0))->name;
        CHECK(pool.choose(everywhere, false, millisecond(5000))->name == first);
        ++chosen[first];
    }
    CHECK(chosen.size() == 4);
    for (const auto& [name, count] : chosen)
        CHECK(count < 100);
}

TEST_CASE("an aggregating host that fails, refuses, falls silent or is full is left alone for a while")
{
    struct Case {
        const char* name;
        std::function<void(AggregatorPool&)> event;
        int leftAloneUntil; ///< Milliseconds.
    };
    const MemberName host("a1");
    auto answered = [&](TargetReply reply) {
        return [&host, reply](AggregatorPool& pool) {
            pool.sent(host, SendId(1), std::chrono::milliseconds(100), millisecond(0));
            pool.ended(host, SendId(1), reply, millisecond(20));
        };
    };
    TargetReply quick = aggregate();
    quick.took = std::chrono::milliseconds(18);
    const Case cases[] = {
        { "answers", answered(quick), 0 },
        { "breaks off", answered(ServeFleet::lost()), 4020 },
        { "can't be reached", answered(ServeFleet::lost(TargetReply::End::NotSent)), 520 },
        { "refuses", answered(ServeFleet::refused()), 220 },
        { "reads its requests late", [&](AggregatorPool& pool) {
             pool.sent(host, SendId(1), std::chrono::milliseconds(100), millisecond(0));
             pool.ended(host, SendId(1), quick, millisecond(50));
         },
            550 },
        { "stands still", [&](AggregatorPool& pool) { pool.sent(host, SendId(1), std::chrono::milliseconds(-1), millisecond(0)); }, 1 << 20 },
        { "is given up", [&](AggregatorPool& pool) {
             pool.sent(host, SendId(1), std::chrono::milliseconds(100), millisecond(0));
             pool.abandoned(host, SendId(1), true, millisecond(100));
         },
            4100 },
        { "has eight of ours at work", [&](AggregatorPool& pool) {
             for (std::uint64_t i = 1; i <= 8; ++i)
                 pool.sent(host, SendId(i), std::chrono::hours(1), millisecond(0));
         },
            1 << 20 },
    };
    for (const Case& each : cases) {
        INFO(each.name);
        AggregatorPool pool = poolOf(hostOf("self", "a"), { hostOf("a1", "a", 500) });
        each.event(pool);
        CHECK(pool.choose(everywhere, false, millisecond(each.leftAloneUntil)).has_value() == (each.leftAloneUntil < (1 << 20)));
        if (each.leftAloneUntil)
            CHECK_FALSE(pool.choose(everywhere, false, millisecond(each.leftAloneUntil - 1)));
    }
    // A restart is another process: what spoke against the old one is forgotten.
    AggregatorPool pool = poolOf(hostOf("self", "a"), { hostOf("a1", "a", 500) });
    pool.sent(host, SendId(1), std::chrono::milliseconds(100), millisecond(0));
    pool.ended(host, SendId(1), ServeFleet::lost(), millisecond(10));
    MemberRecord again(host, MemberRole::Front, DataCentreName("a"), Incarnation(2));
    again.setEndpoints(Endpoint("10.0.1.1", 7000), Endpoint("10.0.1.1", 7000), Endpoint("10.0.1.1", 7001));
    again.setMillicores(500);
    pool.setMembers({ again });
    CHECK(pool.choose(everywhere, false, millisecond(11)));
}

TEST_CASE("when two hosts of a data centre fall silent, no other one there is tried for a while")
{
    const ShardReach lacking { { { DataCentreName("a"), 30 }, { DataCentreName("b"), 36 }, { DataCentreName("c"), 36 } }, { 0, 1, 2, 3 }, { { DataCentreName("b"), 4 }, { DataCentreName("c"), 4 } } };
    std::vector<MemberRecord> others;
    for (int i = 0; i < 10; ++i) {
        others.push_back(hostOf("b" + std::to_string(i), "b"));
        others.push_back(hostOf("c" + std::to_string(i), "c"));
    }
    for (int self = 0; self < 50; ++self) {
        AggregatorPool pool = poolOf(hostOf("self-" + std::to_string(self), "a"), others);
        int lost = 0;
        for (int time = 0; time < 4000; time += 20) {
            auto choice = pool.choose(lacking, false, millisecond(time));
            REQUIRE(choice);
            SendId send(static_cast<std::uint64_t>(time + 1));
            pool.sent(choice->name, send, std::chrono::milliseconds(100), millisecond(time));
            // Data centre b has no power.
            if (choice->name.value().starts_with("b")) {
                ++lost;
                pool.abandoned(choice->name, send, true, millisecond(time + 10));
            } else {
                TargetReply reply = aggregate();
                reply.took = std::chrono::milliseconds(9);
                pool.ended(choice->name, send, reply, millisecond(time + 10));
            }
        }
        CHECK(lost <= 2);
    }
}

TEST_CASE("a call that another host runs is passed on unchanged, with the caller's time that is left")
{
    DelegatingFleet fleet;
    CallId call = fleet.ask("fan.example", millisecond(0));
    CallActions::Send send = fleet.only();
    REQUIRE(send.delegation);
    CHECK(send.delegation->version == ConfigurationVersion(1));
    CHECK(send.deadline == millisecond(2000));
    fleet.reply(send.send, aggregate(), millisecond(50));
    REQUIRE(fleet.answers.contains(call));
    CHECK(fleet.answers[call].status == 200);
    CHECK(fleet.answers[call].fannedOut);
    CHECK(fleet.answers[call].partStamps == "x, y, z");
    CHECK(fleet.answers[call].missingParts == 1);
    CHECK(fleet.answers[call].body == recordOf('e') + recordOf('c'));
}

TEST_CASE("a call that the other host certainly did not run is run here; one that may have run is not sent again")
{
    struct Case {
        const char* name;
        TargetReply reply;
        unsigned status; ///< 0: it is run here.
    };
    const Case cases[] = {
        { "not sent", ServeFleet::lost(TargetReply::End::NotSent), 0 },
        { "refused", ServeFleet::refused(), 0 },
        { "broken off", ServeFleet::lost(), 502 },
        { "failed there", aggregate(504), 502 },
    };
    for (const Case& each : cases) {
        INFO(each.name);
        DelegatingFleet fleet;
        CallId call = fleet.ask("fan.example", millisecond(0));
        fleet.reply(fleet.only().send, each.reply, millisecond(5));
        CHECK(fleet.sends.size() == (each.status ? 0 : 4));
        CHECK(fleet.answers.contains(call) == (each.status != 0));
        if (each.status)
            CHECK(fleet.answers[call].status == each.status);
        for (auto [id, send] : std::map(fleet.sends)) {
            CHECK_FALSE(send.delegation);
            fleet.reply(id, ServeFleet::ok(send.target.value()), millisecond(20));
        }
        if (!each.status)
            CHECK(fleet.answers[call].status == 200);
    }
}

TEST_CASE("a host that does not begin costs one call, which ends soon; one that has begun has most of the caller's patience")
{
    for (bool begins : { false, true }) {
        INFO("begins " << begins);
        DelegatingFleet fleet;
        CallId call = fleet.ask("fan.example", millisecond(0), std::chrono::milliseconds(1200));
        SendId silent = fleet.only().send;
        if (begins)
            fleet.engine.acknowledged(silent, millisecond(3));
        int end = begins ? 1020 : 50;
        fleet.tick(millisecond(end - 1));
        CHECK_FALSE(fleet.answers.contains(call));
        fleet.tick(millisecond(end));
        REQUIRE(fleet.answers.contains(call));
        CHECK(fleet.answers[call].status == 502);
        CHECK(fleet.sends.empty());
        // A host that did not begin is left alone.
        fleet.ask("fan.example", millisecond(end + 1));
        CHECK(fleet.sends.size() == (begins ? 1 : 4));
    }
}

TEST_CASE("an acknowledgement after the call was given up changes nothing")
{
    DelegatingFleet fleet;
    CallId call = fleet.ask("fan.example", millisecond(0));
    SendId late = fleet.only().send;
    fleet.tick(millisecond(50));
    REQUIRE(fleet.answers.contains(call));
    fleet.engine.acknowledged(late, millisecond(51));
    CHECK(fleet.answers.size() == 1);
    CHECK(fleet.sends.empty());
}

TEST_CASE("when the caller leaves, the host that runs its call is told at once")
{
    DelegatingFleet fleet;
    CallId call = fleet.ask("fan.example", millisecond(0));
    fleet.leave(call, millisecond(10));
    CHECK(fleet.sends.empty());
    CHECK(fleet.aborts == 1);
}

TEST_CASE("a host runs fan-outs of others only with the same version, with processor time to spare, and never passes them on")
{
    CallLimits limits;
    limits.delegatedSends = 100;
    for (bool busy : { false, true }) {
        for (std::uint64_t version : { 1U, 2U }) {
            INFO("busy " << busy << ", version " << version);
            ServeFleet fleet({ fanOutRoute(4) }, 64, 0, limits);
            for (int shard = 0; shard < 4; ++shard)
                fleet.pool.put(targetOf("s" + std::to_string(shard), 1), millisecond(0));
            fleet.aggregators.setMembers({ hostOf("big", "a", 8000) });
            auto ask = [&](std::uint64_t asked, std::uint64_t id) {
                auto request = std::make_shared<CallerRequest>();
                request->id = "id" + std::to_string(id);
                request->target = "/q";
                request->host = "fan.example";
                request->patience = std::chrono::seconds(1);
                request->arrivedAt = millisecond(1000);
                request->delegation = Delegation { ConfigurationVersion(asked), Duration(0), {} };
                CallActions actions;
                fleet.engine.begin(CallId(id), request, millisecond(1000), actions);
                fleet.take(actions);
            };
            std::uint64_t calls = 0;
            // 26 calls of four sends within a moment are more than a hundred a second.
            while (busy && calls < 26)
                ask(1, ++calls);
            std::size_t before = fleet.sends.size();
            ask(version, ++calls);
            bool refused = busy || version != 1;
            CHECK(fleet.sends.size() - before == (refused ? 0 : 4));
            CHECK(fleet.answers.contains(CallId(calls)) == refused);
            if (refused)
                CHECK(fleet.answers[CallId(calls)].status == 503);
            for (const auto& [id, send] : fleet.sends)
                CHECK_FALSE(send.delegation);
        }
    }
}

namespace {

/// A fan-out over eight shards, of which the host's own data centre lacks the first three; "b1" is in one that has all.
struct PartlyAwayFleet : ServeFleet {
    explicit PartlyAwayFleet(double minCoverage = 0.75)
        : ServeFleet({ fanOutRoute(8, minCoverage) })
    {
        for (int shard = 0; shard < 8; ++shard) {
            for (int replica = 1; replica <= 3; ++replica) {
                const char* places[] = { "b", "c", shard < 3 ? "d" : "a" };
                pool.put(targetOf("s" + std::to_string(shard), replica, places[replica - 1]), millisecond(0));
            }
        }
        aggregators.setMembers({ hostOf("b1", "b") });
    }
    CallActions::Send group() const
    {
        auto found = std::find_if(sends.begin(), sends.end(), [](const auto& send) { return send.second.delegation.has_value(); });
        REQUIRE(found != sends.end());
        return found->second;
    }
    void answerRest(Instant now, std::size_t most = 100)
    {
        for (auto [id, send] : std::map(sends)) {
            if (send.delegation || !most)
                continue;
            --most;
            reply(id, ok(send.target.value(), recordOf('d')), now);
        }
    }
};

} // namespace

TEST_CASE("the shards that a data centre lacks are asked for by one host of another, and all answers are merged")
{
    PartlyAwayFleet fleet;
    CallId call = fleet.ask("fan.example", millisecond(0));
    CHECK(fleet.sends.size() == 1 + 5);
    CHECK(fleet.group().delegation->shards == std::vector<std::size_t> { 0, 1, 2 });
    fleet.answerRest(millisecond(10));
    CHECK_FALSE(fleet.answers.contains(call));
    fleet.reply(fleet.group().send, aggregate(), millisecond(20));
    REQUIRE(fleet.answers.contains(call));
    const CallerAnswer& answer = fleet.answers[call];
    CHECK(answer.status == 200);
    CHECK(answer.missingParts == 1);
    CHECK(answer.body == recordOf('e') + recordOf('d') + recordOf('d') + recordOf('d'));
    // Three signatures of the other host's parts, five of ours.
    CHECK(std::count(answer.partStamps.begin(), answer.partStamps.end(), ',') == 7);
}

TEST_CASE("shards that another host was to ask for are asked for here if it certainly did not, and are missing otherwise")
{
    struct Case {
        const char* name;
        TargetReply reply;
        double minCoverage;
        unsigned status;
        unsigned missing;
        bool askedHere;
    };
    TargetReply empty = aggregate();
    empty.missingParts = 3;
    const Case cases[] = {
        { "not sent", ServeFleet::lost(TargetReply::End::NotSent), 0.75, 200, 0, true },
        { "refused", ServeFleet::refused(), 0.75, 200, 0, true },
        { "broken off, enough without it", ServeFleet::lost(), 0.6, 200, 3, false },
        { "broken off, not enough without it", ServeFleet::lost(), 0.75, 502, 0, false },
        { "failed there", aggregate(502), 0.6, 200, 3, false },
        { "none of them came", empty, 0.6, 200, 3, false },
        { "one of them is missing", aggregate(), 0.75, 200, 1, false },
        { "one of them is missing, and none may", aggregate(), 1, 502, 0, false },
    };
    for (const Case& each : cases) {
        INFO(each.name);
        PartlyAwayFleet fleet(each.minCoverage);
        CallId call = fleet.ask("fan.example", millisecond(0));
        fleet.answerRest(millisecond(5));
        fleet.reply(fleet.group().send, each.reply, millisecond(10));
        CHECK(fleet.sends.size() == (each.askedHere ? 3 : 0));
        fleet.answerRest(millisecond(15));
        REQUIRE(fleet.answers.contains(call));
        CHECK(fleet.answers[call].status == each.status);
        CHECK(fleet.answers[call].missingParts == each.missing);
    }
}

TEST_CASE("a call that has enough shards is answered at its objective, and the other host is told to end")
{
    PartlyAwayFleet fleet(0.6);
    CallId call = fleet.ask("fan.example", millisecond(0));
    fleet.engine.acknowledged(fleet.group().send, millisecond(5));
    fleet.answerRest(millisecond(10));
    fleet.tick(millisecond(171));
    CHECK_FALSE(fleet.answers.contains(call));
    fleet.tick(millisecond(172));
    REQUIRE(fleet.answers.contains(call));
    CHECK(fleet.answers[call].missingParts == 3);
    CHECK(fleet.sends.empty());
}

TEST_CASE("a host asked for some shards counts the others as in, and answers earlier by the time that is spent elsewhere")
{
    PartlyAwayFleet fleet(0.75);
    auto request = std::make_shared<CallerRequest>();
    request->id = "id1";
    request->target = "/q";
    request->host = "fan.example";
    request->patience = std::chrono::seconds(1);
    request->arrivedAt = millisecond(0);
    request->delegation = Delegation { ConfigurationVersion(1), std::chrono::milliseconds(20), { 4, 5, 6 } };
    CallActions actions;
    fleet.engine.begin(CallId(1), request, millisecond(0), actions);
    fleet.take(actions);
    REQUIRE(fleet.sends.size() == 3);
    // One of three is in: two of eight are missing, as many as may.
    fleet.answerRest(millisecond(10), 1);
    fleet.tick(millisecond(151));
    CHECK(fleet.answers.empty());
    fleet.tick(millisecond(152));
    REQUIRE(fleet.answers.size() == 1);
    CHECK(fleet.answers[CallId(1)].status == 200);
    CHECK(fleet.answers[CallId(1)].missingParts == 2);
    // A shard that the route lacks is a fault of the sender.
    auto wrong = std::make_shared<CallerRequest>(*request);
    wrong->delegation->shards = { 8 };
    CallActions refusal;
    fleet.engine.begin(CallId(2), wrong, millisecond(0), refusal);
    REQUIRE(refusal.answers.size() == 1);
    CHECK(refusal.answers[0].answer.status == 400);
}

TEST_CASE("connections to targets go to the hosts that use them, and all keep at least their part")
{
    std::vector<MemberRecord> members;
    for (int i = 0; i < 6; ++i)
        members.push_back(hostOf("strong-" + std::to_string(i), std::string(1, static_cast<char>('a' + i % 3)), 500));
    for (int i = 0; i < 51; ++i)
        members.push_back(hostOf("weak-" + std::to_string(i), std::string(1, static_cast<char>('a' + i % 3))));
    ConnectionWeights weak = connectionWeights(hostOf("self", "a"), members);
    ConnectionWeights strong = connectionWeights(hostOf("self", "a", 500), members);
    CHECK(strong.own / strong.all > 10 * (weak.own / weak.all));
    CHECK(6 * 500 / weak.all + 52 * weak.own / weak.all == Approx(1));
    // Where all are equal, or the strong ones are elsewhere, all have the same.
    std::vector<MemberRecord> equal(7, hostOf("other", "a", 250));
    ConnectionWeights one = connectionWeights(hostOf("self", "a", 250), equal);
    CHECK(one.own / one.all == Approx(1.0 / 8));
    ConnectionWeights apart = connectionWeights(hostOf("self", "a"), { hostOf("strong", "b", 500) });
    CHECK(apart.own == 120);
}

TEST_CASE("a part that finds no connection waits for one while the other parts are at work")
{
    // One connection a target: a second call waits for the shard whose targets are all at work.
    ServeFleet fleet({ fanOutRoute(2, 1) }, 1);
    for (int shard = 0; shard < 2; ++shard) {
        for (int replica = 1; replica <= 1 + shard; ++replica)
            fleet.pool.put(targetOf("s" + std::to_string(shard), replica), millisecond(0));
    }
    CallId first = fleet.ask("fan.example", millisecond(0));
    CallId second = fleet.ask("fan.example", millisecond(0));
    auto reply = [&](const std::string& target, std::int64_t at) {
        for (auto [id, send] : std::map(fleet.sends)) {
            if (send.target.value().starts_with(target))
                fleet.reply(id, ServeFleet::ok(send.target.value() + std::to_string(at)), millisecond(at));
        }
    };
    reply("s1", 10);
    for (int time = 20; time < 140; time += 20)
        fleet.tick(millisecond(time));
    CHECK(fleet.answers.empty());
    reply("s0", 140);
    reply("s0", 150);
    REQUIRE(fleet.answers.contains(first));
    REQUIRE(fleet.answers.contains(second));
    CHECK(fleet.answers[second].status == 200);
    CHECK(fleet.answers[second].missingParts == 0);
}
