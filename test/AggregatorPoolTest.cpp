#include "ServeFakes.h"

#include <catch2/catch.hpp>

using namespace pimentopoint;

namespace {

AggregatorPool poolOf(const MemberRecord& self, const std::vector<MemberRecord>& others)
{
    AggregatorPool pool(self, [](const MemberName&, std::string_view, std::string_view) {});
    pool.setMembers(others);
    return pool;
}

const ShardAvailability everywhere { { { DataCentreName("a"), 36 }, { DataCentreName("b"), 36 } }, {}, {} };

} // namespace

TEST_CASE("A fan-out is delegated only to a much stronger local host or to a data centre that has its targets")
{
    struct Case {
        const char* name;
        std::uint32_t own;
        std::vector<MemberRecord> others;
        ShardAvailability availability;
        const char* chosen; ///< Name of the chosen host; empty: this host runs the fan-out.
    };
    const ShardAvailability noneLocal { { { DataCentreName("b"), 36 }, { DataCentreName("c"), 20 } }, {}, {} };
    const ShardAvailability fewLocal { { { DataCentreName("a"), 10 }, { DataCentreName("b"), 36 } }, {}, {} };
    const ShardAvailability mostLocal { { { DataCentreName("a"), 30 }, { DataCentreName("b"), 36 } }, { 0, 1, 2, 3, 4, 5 }, { { DataCentreName("b"), 6 }, { DataCentreName("c"), 2 } } };
    MemberRecord suspect = makeHost("b1", "b");
    suspect.setState(MemberState::Suspect);
    MemberRecord leaving = makeHost("b1", "b");
    leaving.setState(MemberState::Leaving);
    MemberRecord withoutHttp = makeHost("b1", "b");
    withoutHttp.setEndpoints(withoutHttp.udp(), withoutHttp.tcp(), Endpoint());
    const Case cases[] = {
        { "no other host", 120, {}, everywhere, "" },
        { "equal hosts", 250, { makeHost("a1", "a", 250), makeHost("b1", "b", 250) }, everywhere, "" },
        { "a stronger local host", 120, { makeHost("a1", "a", 500), makeHost("a2", "a") }, everywhere, "a1" },
        { "a stronger remote host", 120, { makeHost("b1", "b", 500) }, everywhere, "" },
        { "slightly stronger local host", 300, { makeHost("a1", "a", 500) }, everywhere, "" },
        { "no local targets", 500, { makeHost("a1", "a"), makeHost("b1", "b"), makeHost("c1", "c") }, noneLocal, "b1" },
        { "few local targets", 500, { makeHost("b1", "b") }, fewLocal, "b1" },
        { "most targets local", 120, { makeHost("b1", "b", 500), makeHost("c1", "c", 500) }, mostLocal, "b1" },
        { "most targets local, a stronger local host", 120, { makeHost("b1", "b", 500), makeHost("a1", "a", 500) }, mostLocal, "a1" },
        { "strong remote hosts first", 120, { makeHost("b1", "b"), makeHost("b2", "b"), makeHost("b3", "b", 500), makeHost("b4", "b") }, noneLocal, "b3" },
        { "no targets anywhere", 120, { makeHost("a1", "a", 500) }, {}, "a1" },
        { "suspected host", 120, { suspect }, noneLocal, "" },
        { "leaving host", 120, { leaving }, noneLocal, "" },
        { "host that accepts no delegations", 120, { withoutHttp }, noneLocal, "" },
    };
    for (const Case& each : cases) {
        INFO(each.name);
        AggregatorPool pool = poolOf(makeHost("self", "a", each.own), each.others);
        auto choice = pool.choose(each.availability, false, millisecond(0));
        CHECK((choice ? choice->name.value() : "") == each.chosen);
    }
}

TEST_CASE("Hosts spread over the strong aggregators, and each keeps its choice")
{
    std::vector<MemberRecord> strong;
    for (int i = 0; i < 4; ++i)
        strong.push_back(makeHost("strong-" + std::to_string(i), "a", 500));
    std::map<MemberName, int> chosen;
    for (int i = 0; i < 200; ++i) {
        AggregatorPool pool = poolOf(makeHost("host-" + std::to_string(i), "a"), strong);
        MemberName first = pool.choose(everywhere, false, millisecond(0))->name;
        CHECK(pool.choose(everywhere, false, millisecond(5000))->name == first);
        ++chosen[first];
    }
    CHECK(chosen.size() == 4);
    for (const auto& [name, count] : chosen)
        CHECK(count < 100);
}

TEST_CASE("An aggregator that fails, refuses, is unresponsive or is saturated is avoided for a time")
{
    struct Case {
        const char* name;
        std::function<void(AggregatorPool&)> event;
        int avoidedUntil; ///< Milliseconds.
    };
    const MemberName host("a1");
    auto replied = [&](TargetReply reply) {
        return [&host, reply](AggregatorPool& pool) {
            pool.recordAttempt(host, AttemptNumber(1), std::chrono::milliseconds(100), millisecond(0));
            pool.recordReply(host, AttemptNumber(1), reply, millisecond(20));
        };
    };
    TargetReply quick = makeAggregateReply();
    quick.processingTime = std::chrono::milliseconds(18);
    const Case cases[] = {
        { "answers", replied(quick), 0 },
        { "connection lost", replied(EngineFixture::lost()), 4020 },
        { "unreachable", replied(EngineFixture::lost(TargetReply::ReplyOutcome::NotSent)), 520 },
        { "refuses", replied(EngineFixture::refused()), 220 },
        { "long network delay", [&](AggregatorPool& pool) {
             pool.recordAttempt(host, AttemptNumber(1), std::chrono::milliseconds(100), millisecond(0));
             pool.recordReply(host, AttemptNumber(1), quick, millisecond(50));
         },
            550 },
        { "stalled", [&](AggregatorPool& pool) { pool.recordAttempt(host, AttemptNumber(1), std::chrono::milliseconds(-1), millisecond(0)); }, 1 << 20 },
        { "attempt given up", [&](AggregatorPool& pool) {
             pool.recordAttempt(host, AttemptNumber(1), std::chrono::milliseconds(100), millisecond(0));
             pool.recordAbandoned(host, AttemptNumber(1), true, millisecond(100));
         },
            4100 },
        { "eight attempts outstanding", [&](AggregatorPool& pool) {
             for (std::uint64_t i = 1; i <= 8; ++i)
                 pool.recordAttempt(host, AttemptNumber(i), std::chrono::hours(1), millisecond(0));
         },
            1 << 20 },
    };
    for (const Case& each : cases) {
        INFO(each.name);
        AggregatorPool pool = poolOf(makeHost("self", "a"), { makeHost("a1", "a", 500) });
        each.event(pool);
        CHECK(pool.choose(everywhere, false, millisecond(each.avoidedUntil)).has_value() == (each.avoidedUntil < (1 << 20)));
        if (each.avoidedUntil)
            CHECK_FALSE(pool.choose(everywhere, false, millisecond(each.avoidedUntil - 1)));
    }
    // A new incarnation is another process, so failures of the old one no longer count.
    AggregatorPool pool = poolOf(makeHost("self", "a"), { makeHost("a1", "a", 500) });
    pool.recordAttempt(host, AttemptNumber(1), std::chrono::milliseconds(100), millisecond(0));
    pool.recordReply(host, AttemptNumber(1), EngineFixture::lost(), millisecond(10));
    MemberRecord restarted(host, MemberRole::Front, DataCentreName("a"), Incarnation(2));
    restarted.setEndpoints(Endpoint("10.0.1.1", 7000), Endpoint("10.0.1.1", 7000), Endpoint("10.0.1.1", 7001));
    restarted.setMillicores(500);
    pool.setMembers({ restarted });
    CHECK(pool.choose(everywhere, false, millisecond(11)));
}

TEST_CASE("No host of a data centre is chosen for a time after two of its hosts were unresponsive")
{
    const ShardAvailability partlyRemote { { { DataCentreName("a"), 30 }, { DataCentreName("b"), 36 }, { DataCentreName("c"), 36 } }, { 0, 1, 2, 3 }, { { DataCentreName("b"), 4 }, { DataCentreName("c"), 4 } } };
    std::vector<MemberRecord> others;
    for (int i = 0; i < 10; ++i) {
        others.push_back(makeHost("b" + std::to_string(i), "b"));
        others.push_back(makeHost("c" + std::to_string(i), "c"));
    }
    for (int self = 0; self < 50; ++self) {
        AggregatorPool pool = poolOf(makeHost("self-" + std::to_string(self), "a"), others);
        int lost = 0;
        for (int time = 0; time < 4000; time += 20) {
            auto choice = pool.choose(partlyRemote, false, millisecond(time));
            REQUIRE(choice);
            AttemptNumber attempt(static_cast<std::uint64_t>(time + 1));
            pool.recordAttempt(choice->name, attempt, std::chrono::milliseconds(100), millisecond(time));
            // All hosts of data centre b are unresponsive.
            if (choice->name.value().starts_with("b")) {
                ++lost;
                pool.recordAbandoned(choice->name, attempt, true, millisecond(time + 10));
            } else {
                TargetReply reply = makeAggregateReply();
                reply.processingTime = std::chrono::milliseconds(9);
                pool.recordReply(choice->name, attempt, reply, millisecond(time + 10));
            }
        }
        CHECK(lost <= 2);
    }
}

TEST_CASE("Connection weights favour hosts that run fan-outs, and the weights of all hosts sum to the total")
{
    std::vector<MemberRecord> members;
    for (int i = 0; i < 6; ++i)
        members.push_back(makeHost("strong-" + std::to_string(i), std::string(1, static_cast<char>('a' + i % 3)), 500));
    for (int i = 0; i < 51; ++i)
        members.push_back(makeHost("weak-" + std::to_string(i), std::string(1, static_cast<char>('a' + i % 3))));
    ConnectionWeights weak = connectionWeights(makeHost("self", "a"), members);
    ConnectionWeights strong = connectionWeights(makeHost("self", "a", 500), members);
    CHECK(strong.own / strong.total > 10 * (weak.own / weak.total));
    CHECK(6 * 500 / weak.total + 52 * weak.own / weak.total == Approx(1));
    // If all hosts are equal, or the stronger ones are remote, no weight is reduced.
    std::vector<MemberRecord> equal(7, makeHost("other", "a", 250));
    ConnectionWeights one = connectionWeights(makeHost("self", "a", 250), equal);
    CHECK(one.own / one.total == Approx(1.0 / 8));
    ConnectionWeights remoteStronger = connectionWeights(makeHost("self", "a"), { makeHost("strong", "b", 500) });
    CHECK(remoteStronger.own == 120);
}
