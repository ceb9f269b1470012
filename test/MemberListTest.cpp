#include "Ports.h"

#include <Pimentopoint/Net>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>

using namespace pimentopoint;
using namespace std::chrono_literals;

namespace {

MemberRecord makeRecord(const std::string& name, const Endpoint& endpoint)
{
    MemberRecord record(MemberName(name), MemberRole::Front, DataCentreName("a"), Incarnation(1));
    return record.setEndpoints(endpoint, endpoint, endpoint);
}

/// A host that requests lists and one that answers, on one event loop.
struct Fixture {
    boost::asio::io_context context { 1 };
    BootClock clock;
    HeaderNames headerNames;
    Endpoint endpoint = test::freeEndpoint();
    Membership asking { makeRecord("asking", test::freeEndpoint()), {}, MembershipTiming(), 1 };
    Membership answering { makeRecord("answering", endpoint), {}, MembershipTiming(), 2 };
    std::vector<MemberRecord> received;
    std::size_t lists = 0;
    std::size_t requests = 0;
    std::optional<CallerAnswer> replacement; ///< Answer that is given instead of the list.
    MemberListExchange client { context, asking, [this](const std::vector<MemberRecord>& records) {
                                   received = records;
                                   ++lists;
                               } };
    MemberListExchange service { context, answering, [](const std::vector<MemberRecord>&) {} };
    CallerServer server { context, clock, headerNames, endpoint, 8,
        { [this](CallId call, const std::shared_ptr<const CallerRequest>& request) {
             ++requests;
             auto answer = service.answer(request->requestTarget);
             REQUIRE(answer);
             server.answer(call, replacement.value_or(*answer));
         },
            [](CallId) {}, [] { return CallerLimits(); } } };

    void exchange()
    {
        client.request(answering.self());
        context.restart();
        context.run_for(100ms);
    }
};

} // namespace

TEST_CASE("A member list is sent to a host whose list differs, and only then")
{
    Fixture hosts;
    hosts.answering.merge({ makeRecord("third", test::freeEndpoint()) }, Instant());
    hosts.exchange();
    REQUIRE(hosts.lists == 1);
    REQUIRE(hosts.received.size() == 2);
    hosts.asking.merge(hosts.received, Instant());
    CHECK(hosts.asking.usableCount() == 2);

    hosts.answering.merge({ hosts.asking.self() }, Instant());
    CHECK(hosts.asking.digest() == hosts.answering.digest());
    hosts.exchange();
    CHECK(hosts.requests == 2);
    CHECK(hosts.lists == 1);
}

TEST_CASE("A reply that is no member list is dropped, and the next request is sent")
{
    Fixture hosts;
    CallerAnswer garbage;
    garbage.status = 200;
    garbage.body = std::string(5000, '\xff');
    CallerAnswer refusal;
    refusal.status = 503;
    for (const CallerAnswer& each : { garbage, refusal }) {
        hosts.replacement = each;
        hosts.exchange();
        CHECK(hosts.lists == 0);
    }
    hosts.replacement.reset();
    hosts.exchange();
    CHECK(hosts.lists == 1);
    CHECK(hosts.requests == 3);
    CHECK_FALSE(hosts.service.answer("/v1/news/all/"));
}
