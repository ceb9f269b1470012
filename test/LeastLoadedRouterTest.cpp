// Route selection by LeastLoadedRouter.
#include <Pimentopoint/Caller>
#include <Pimentopoint/Core>
#include <Pimentopoint/Operator>
#include <catch2/catch.hpp>

using namespace pimentopoint;

namespace {

/// One shard with a replica in each of two data centres; the first has two gateways.
class RouterFixture {
public:
    RouterFixture()
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
        router.setMembers(members);
    }
    Route choose(const RouteExclusions& exclusions = {}, Urgency urgency = Urgency::Ordinary)
    {
        auto route = router.choose(documents, documents.configuration->shardGroups().front().shards().front(), urgency, exclusions);
        REQUIRE(route);
        return *route;
    }
    /// Records a sub-query on \a route and a reply from its gateway.
    void reply(const Route& route, std::uint32_t queued, bool cold)
    {
        SubReply reply;
        reply.outcome = Outcome::Answered;
        reply.queued = queued;
        reply.cold = cold;
        router.recordSent(route);
        router.recordEnd(route, &reply);
    }

    ManualClock clock;
    PinnedDocuments documents;
    LeastLoadedRouter router { DataCentreName("a"), clock, 7 };
};

} // namespace

TEST_CASE("Of the gateways of a target, the one with the shorter queue is chosen")
{
    RouterFixture fixture;
    Route first = fixture.choose();
    REQUIRE(first.target == targetIdOf(TargetName("near")));
    fixture.reply(first, 3, false);
    for (int i = 0; i < 20; ++i) {
        Route next = fixture.choose();
        CHECK(next.target == first.target);
        CHECK(next.gateway != first.gateway);
    }
}

TEST_CASE("Sub-queries outstanding at one gateway don't add load to the target's other gateway")
{
    RouterFixture fixture;
    Route first = fixture.choose();
    fixture.router.recordSent(first);
    Route second = fixture.choose();
    CHECK(second.gateway != first.gateway);
    fixture.router.recordSent(second);
    fixture.router.recordAbandoned(second);
    CHECK(fixture.choose().gateway == second.gateway);
}

TEST_CASE("A cold target gets a small fraction of the sub-queries while another replica serves, and all once it is warm")
{
    RouterFixture fixture;
    RouteExclusions none;
    for (int i = 0; i < 2; ++i) {
        Route route = fixture.choose(none);
        fixture.reply(route, 0, true);
        none.routes.emplace_back(route.target, route.gateway);
    }
    constexpr int choices = 400;
    int cold = 0;
    for (int i = 0; i < choices; ++i)
        cold += fixture.choose().target == targetIdOf(TargetName("near"));
    CHECK(cold > 0);
    CHECK(cold < choices / 8);
    for (const auto& [target, gateway] : none.routes)
        fixture.reply({ target, gateway, Endpoint("127.0.0.1", 21), {} }, 0, false);
    for (int i = 0; i < choices; ++i)
        CHECK(fixture.choose().target == targetIdOf(TargetName("near")));
}

TEST_CASE("Only urgent sub-queries add load for an urgent sub-query")
{
    RouterFixture fixture;
    Route first = fixture.choose();
    fixture.reply(first, 9, false);
    RouteExclusions none;
    Route urgent = fixture.choose(none, Urgency::Urgent);
    fixture.reply(urgent, 0, false);
    fixture.router.recordSent(urgent);
    Route other = fixture.choose(none, Urgency::Urgent);
    CHECK(other.target == urgent.target);
    CHECK(other.gateway != urgent.gateway);
    fixture.reply(other, 0, false);
    int onFirst = 0;
    fixture.router.recordAbandoned(urgent);
    for (int i = 0; i < 40; ++i)
        onFirst += fixture.choose(none, Urgency::Urgent).gateway == first.gateway;
    CHECK(onFirst > 0);
    CHECK(onFirst < 40);
}
