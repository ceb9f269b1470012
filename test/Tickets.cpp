#include <Pimentopoint/Caller>
#include <Pimentopoint/Core>
#include <catch2/catch.hpp>

using namespace pimentopoint;
using namespace std::chrono_literals;
using Catch::Matchers::Contains;

namespace {

const TicketHandler::ServingState serving { true, NotRunReason::None };
const TicketHandler::ServingState notServing { false, NotRunReason::Stale };

struct TicketFixture {
    TicketHandler handler { MemberName("f1"), Incarnation(5) };
    ManualClock clock;

    static SearchRequest request(const std::string& ticket, const std::string& text = "order")
    {
        SearchRequest request;
        request.searchFront = SearchFrontName("pickup");
        request.text = text;
        request.ticket = ticket;
        return request;
    }
    TicketHandler::Decision arrive(const SearchRequest& request, const TicketHandler::ServingState& state = serving)
    {
        return handler.handleRequest(
            request, state, [](const Ticket& ticket) { return ticket.incarnation() == Incarnation(9) ? std::optional(Endpoint("127.0.0.1", 9)) : std::nullopt; }, clock.now());
    }
};

} // namespace

TEST_CASE("A ticket is granted once; the same request sent again waits for the outcome or gets it again")
{
    TicketFixture fixture;
    SearchRequest request = TicketFixture::request(*fixture.handler.issue(fixture.clock.now()));
    TicketHandler::Decision first = fixture.arrive(request);
    REQUIRE(first.action == TicketHandler::Action::Run);
    TicketHandler::Decision second = fixture.arrive(request);
    CHECK(second.action == TicketHandler::Action::Await);
    CHECK_FALSE(fixture.handler.outcome(second.number, request.digest(), fixture.clock.now()));
    fixture.handler.finish(first.number, { 200, "done" });
    CHECK(fixture.handler.outcome(second.number, request.digest(), fixture.clock.now())->body == "done");
    CHECK(fixture.arrive(request).reply.body == "done");
    CHECK(fixture.arrive(request, notServing).reply.body == "done");
    CHECK_THAT(fixture.arrive(TicketFixture::request(request.ticket, "another")).reply.body, Contains("ticket-mismatch"));
}

TEST_CASE("The refusal of a request with a ticket is final")
{
    TicketFixture fixture;
    SearchRequest request = TicketFixture::request(*fixture.handler.issue(fixture.clock.now()));
    CHECK_THAT(fixture.arrive(request, notServing).reply.body, Contains("\"not-run\""));
    TicketHandler::Decision later = fixture.arrive(request);
    CHECK(later.action == TicketHandler::Action::Reply);
    CHECK_THAT(later.reply.body, Contains("\"not-run\""));
}

TEST_CASE("A request with a ticket of another incarnation is forwarded if that incarnation is up, and never run here")
{
    TicketFixture fixture;
    CHECK(fixture.arrive(TicketFixture::request("f1/9/1")).action == TicketHandler::Action::Forward);
    CHECK_THAT(fixture.arrive(TicketFixture::request("f1/4/1")).reply.body, Contains("incarnation-gone"));
    auto forwarded = fixture.handler.handleForwarded(TicketFixture::request("f1/4/1"), serving, fixture.clock.now());
    CHECK_THAT(forwarded.reply.body, Contains("incarnation-gone"));
}

TEST_CASE("A request with a malformed, unknown or expired ticket is not run")
{
    TicketFixture fixture;
    for (const char* bad : { "", "x", "//", "f1/5", "f1/x/1", "f1/5/x", "/5/1", "f1/5/" })
        CHECK_THAT(fixture.arrive(TicketFixture::request(bad)).reply.body, Contains("no-ticket"));
    CHECK_THAT(fixture.arrive(TicketFixture::request("f1/5/77")).reply.body, Contains("no-ticket"));
    SearchRequest request = TicketFixture::request(*fixture.handler.issue(fixture.clock.now()));
    fixture.clock.advance(10min);
    CHECK_THAT(fixture.arrive(request).reply.body, Contains("ticket-expired"));
}

TEST_CASE("The ticket table keeps running requests beyond their lifetime and issues no ticket beyond its capacity")
{
    ManualClock clock;
    TicketTable table(1min, 32);
    std::uint64_t running = *table.issue(clock.now());
    CHECK(table.claim(running, Digest(1), clock.now()).claim == TicketTable::Claim::Granted);
    for (int i = 0; i < 31; ++i)
        CHECK(table.issue(clock.now()));
    CHECK_FALSE(table.issue(clock.now()));
    clock.advance(2min);
    CHECK(table.claim(running, Digest(1), clock.now()).claim == TicketTable::Claim::Running);
    CHECK(table.issue(clock.now()));
}

TEST_CASE("An invalid request is rejected with a message that states the error")
{
    struct Row {
        std::string body;
        const char* expected;
    };
    const auto row = GENERATE(Row { "", "not valid JSON" }, Row { "[]", "must be a JSON object" }, Row { "{}", "query is missing" },
        Row { R"({"query":5})", "query must be a string" }, Row { R"({"query":"a","deadline":"0ms"})", "deadline is 0ms" },
        Row { R"({"query":"a","deadline":"-5ms"})", "deadline is -5ms" }, Row { R"({"query":"a","deadline":"99h"})", "deadline is 99h" },
        Row { R"({"query":"a","deadline":"1000s"})", "deadline is 1000s" }, Row { R"({"query":"a","colour":1})", "unknown member colour" },
        Row { "{\"query\":\"\xff\xfe\"}", "not valid JSON" }, Row { std::string(5000, '['), "nested too deeply" },
        Row { R"({"query":"a","id":")" + std::string(200, 'x') + "\"}", "id is longer" });
    try {
        SearchRequest::parse(SearchFrontName("f"), row.body);
        FAIL("accepted");
    } catch (const InvalidRequest& invalid) {
        CHECK_THAT(invalid.what(), Contains(row.expected));
    }
}

TEST_CASE("The burn rate is the failure rate divided by the allowed failure rate, per window")
{
    ManualClock clock;
    BurnRateWindows burn;
    for (int i = 0; i < 98; ++i)
        burn.record(true, clock.now());
    burn.record(false, clock.now());
    burn.record(false, clock.now());
    CHECK(burn.windows(clock.now()).front().burnRate(Fraction(0.99)) == Approx(2));
    clock.advance(2min);
    CHECK(burn.windows(clock.now()).front().total() == 0);
    CHECK(burn.windows(clock.now()).back().total() == 100);
    clock.advance(2h);
    CHECK(burn.windows(clock.now()).back().total() == 0);
}
