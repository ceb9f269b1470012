// The front's choice of routes.
#include <Pimentopoint/Caller>
#include <Pimentopoint/Core>
#include <Pimentopoint/Operator>
#include <catch2/catch.hpp>

using namespace pimentopoint;

namespace {

/// One shard with a replica in each of two data centres; the first has two gateways.
class BoardBench {
public:
    BoardBench()
    {
        ConfigurationBuilder builder { ConfigurationVersion(1) };
        builder.addDataCentre(DataCentre(DataCentreName("a"), "r").addGateway(MemberName("g1")).addGateway(MemberName("g2")));
        builder.addDataCentre(DataCentre(DataCentreName("b"), "r").addGateway(MemberName("g3")));
        builder.addTargetSet(TargetSet("s").setSlots(6).setConnections(12).setColdLimit(2));
        builder.addTarget("near", Endpoint("127.0.0.1", 10), "a").addTarget("far", Endpoint("127.0.0.1", 11), "b");
        builder.addShardGroup("g", SnapshotVersion(1), { { "near", "far" } });
        builder.addSearchFront("f", "g", [](SearchFront&) {});
        documents.configuration = builder.build();
        std::vector<MemberRecord> members;
        for (const char* name : { "g1", "g2", "g3" }) {
            MemberRecord record(MemberName(name), MemberRole::Gateway, DataCentreName(name[1] == '3' ? "b" : "a"), Incarnation(1));
            Endpoint endpoint("127.0.0.1", static_cast<std::uint16_t>(20 + name[1] - '0'));
            members.push_back(record.setEndpoints(endpoint, endpoint, endpoint));
        }
        board.setMembers(members);
    }
    Route choose(const RouteExclusions& exclusions = {}, Urgency urgency = Urgency::Ordinary)
    {
        auto route = board.choose(documents, documents.configuration->shardGroups().front().shards().front(), urgency, exclusions);
        REQUIRE(route);
        return *route;
    }
    /// Sends on \a route and takes a reply from its gateway.
    void reply(const Route& route, std::uint32_t queued, bool cold)
    {
        SubReply reply;
        reply.outcome = Outcome::Answered;
        reply.queued = queued;
        reply.cold = cold;
        board.recordSent(route);
        board.recordEnd(route, &reply);
    }

    ManualClock clock;
    PinnedDocuments documents;
    LeastLoadedRouter board { DataCentreName("a"), clock, 7 };
};

} // namespace

TEST_CASE("of a target's gateways the one with the shorter queue is asked")
{
    BoardBench bench;
    Route first = bench.choose();
    REQUIRE(first.target == targetIdOf(TargetName("near")));
    bench.reply(first, 3, false);
    for (int i = 0; i < 20; ++i) {
        Route next = bench.choose();
        CHECK(next.target == first.target);
        CHECK(next.gateway != first.gateway);
    }
}

TEST_CASE("what is outstanding at one gateway leaves the target's other gateway as it was")
{
    BoardBench bench;
    Route first = bench.choose();
    bench.board.recordSent(first);
    Route second = bench.choose();
    CHECK(second.gateway != first.gateway);
    bench.board.recordSent(second);
    bench.board.recordAbandoned(second);
    CHECK(bench.choose().gateway == second.gateway);
}

TEST_CASE("a cold target gets few sub-queries while another serves, but some, and all again once it is warm")
{
    BoardBench bench;
    RouteExclusions none;
    for (int i = 0; i < 2; ++i) {
        Route route = bench.choose(none);
        bench.reply(route, 0, true);
        none.routes.emplace_back(route.target, route.gateway);
    }
    constexpr int choices = 400;
    int cold = 0;
    for (int i = 0; i < choices; ++i)
        cold += bench.choose().target == targetIdOf(TargetName("near"));
    CHECK(cold > 0);
    CHECK(cold < choices / 8);
    for (const auto& [target, gateway] : none.routes)
        bench.reply({ target, gateway, Endpoint("127.0.0.1", 21), {} }, 0, false);
    for (int i = 0; i < choices; ++i)
        CHECK(bench.choose().target == targetIdOf(TargetName("near")));
}

TEST_CASE("for urgent work only what goes before it counts")
{
    BoardBench bench;
    Route first = bench.choose();
    bench.reply(first, 9, false);
    RouteExclusions none;
    Route urgent = bench.choose(none, Urgency::Urgent);
    bench.reply(urgent, 0, false);
    bench.board.recordSent(urgent);
    Route other = bench.choose(none, Urgency::Urgent);
    CHECK(other.target == urgent.target);
    CHECK(other.gateway != urgent.gateway);
    bench.reply(other, 0, false);
    int onFirst = 0;
    bench.board.recordAbandoned(urgent);
    for (int i = 0; i < 40; ++i)
        onFirst += bench.choose(none, Urgency::Urgent).gateway == first.gateway;
    CHECK(onFirst > 0);
    CHECK(onFirst < 40);
}
