#include <Pimentopoint/Caller>
#include <Pimentopoint/Core>
#include <catch2/catch.hpp>

using namespace pimentopoint;
using namespace std::chrono_literals;
using Catch::Matchers::Contains;

namespace {

const TicketHandler::ServingState serving { true, NotRunReason::None };
const TicketHandler::ServingState closed { false, NotRunReason::Stale };

struct DeskBench {
    TicketHandler desk { MemberName("f1"), Incarnation(5) };
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
        return desk.handleRequest(
            request, state, [](const Ticket& ticket) { return ticket.incarnation() == Incarnation(9) ? std::optional(Endpoint("127.0.0.1", 9)) : std::nullopt; }, clock.now());
    }
};

} // namespace

TEST_CASE("a ticket is granted once; a repeat waits for the outcome or gets the same one")
{
    DeskBench bench;
    SearchRequest request = DeskBench::request(*bench.desk.issue(bench.clock.now()));
    TicketHandler::Decision first = bench.arrive(request);
    REQUIRE(first.action == TicketHandler::Action::Run);
    TicketHandler::Decision second = bench.arrive(request);
    CHECK(second.action == TicketHandler::Action::Await);
    CHECK_FALSE(bench.desk.outcome(second.number, request.digest(), bench.clock.now()));
    bench.desk.finish(first.number, { 200, "done" });
    CHECK(bench.desk.outcome(second.number, request.digest(), bench.clock.now())->body == "done");
    CHECK(bench.arrive(request).reply.body == "done");
    CHECK(bench.arrive(request, closed).reply.body == "done");
    CHECK_THAT(bench.arrive(DeskBench::request(request.ticket, "another")).reply.body, Contains("ticket-mismatch"));
}

TEST_CASE("a refusal with a ticket is final")
{
    DeskBench bench;
    SearchRequest request = DeskBench::request(*bench.desk.issue(bench.clock.now()));
    CHECK_THAT(bench.arrive(request, closed).reply.body, Contains("\"not-run\""));
    TicketHandler::Decision later = bench.arrive(request);
    CHECK(later.action == TicketHandler::Action::Reply);
    CHECK_THAT(later.reply.body, Contains("\"not-run\""));
}

TEST_CASE("a ticket of another incarnation is passed on if it is up, and never run here")
{
    DeskBench bench;
    CHECK(bench.arrive(DeskBench::request("f1/9/1")).action == TicketHandler::Action::Forward);
    CHECK_THAT(bench.arrive(DeskBench::request("f1/4/1")).reply.body, Contains("incarnation-gone"));
    auto passedOn = bench.desk.handleForwarded(DeskBench::request("f1/4/1"), serving, bench.clock.now());
    CHECK_THAT(passedOn.reply.body, Contains("incarnation-gone"));
}

TEST_CASE("a ticket that is malformed, never issued or too old runs nothing")
{
    DeskBench bench;
    for (const char* bad : { "", "x", "//", "f1/5", "f1/x/1", "f1/5/x", "/5/1", "f1/5/" })
        CHECK_THAT(bench.arrive(DeskBench::request(bad)).reply.body, Contains("no-ticket"));
    CHECK_THAT(bench.arrive(DeskBench::request("f1/5/77")).reply.body, Contains("no-ticket"));
    SearchRequest request = DeskBench::request(*bench.desk.issue(bench.clock.now()));
    bench.clock.advance(10min);
    CHECK_THAT(bench.arrive(request).reply.body, Contains("ticket-expired"));
}

TEST_CASE("the ledger forgets nothing that runs and issues nothing beyond its capacity")
{
    ManualClock clock;
    TicketTable ledger(1min, 32);
    std::uint64_t running = *ledger.issue(clock.now());
    CHECK(ledger.claim(running, Digest(1), clock.now()).claim == TicketTable::Claim::Granted);
    for (int i = 0; i < 31; ++i)
        CHECK(ledger.issue(clock.now()));
    CHECK_FALSE(ledger.issue(clock.now()));
    clock.advance(2min);
    CHECK(ledger.claim(running, Digest(1), clock.now()).claim == TicketTable::Claim::Running);
    CHECK(ledger.issue(clock.now()));
}

TEST_CASE("a request that cannot be read is refused with what is wrong")
{
    struct Row {
        std::string body;
        const char* expected;
    };
    const auto row = GENERATE(Row { "", "no valid JSON" }, Row { "[]", "no JSON object" }, Row { "{}", "query is missing" },
        Row { R"({"query":5})", "query is no string" }, Row { R"({"query":"a","deadline":"0ms"})", "deadline is 0ms" },
        Row { R"({"query":"a","deadline":"-5ms"})", "deadline is -5ms" }, Row { R"({"query":"a","deadline":"99h"})", "deadline is 99h" },
        Row { R"({"query":"a","deadline":"1000s"})", "deadline is 1000s" }, Row { R"({"query":"a","colour":1})", "unknown member colour" },
        Row { "{\"query\":\"\xff\xfe\"}", "no valid JSON" }, Row { std::string(5000, '['), "nested too deep" },
        Row { R"({"query":"a","id":")" + std::string(200, 'x') + "\"}", "id is longer" });
    try {
        SearchRequest::parse(SearchFrontName("f"), row.body);
        FAIL("accepted");
    } catch (const InvalidRequest& invalid) {
        CHECK_THAT(invalid.what(), Contains(row.expected));
    }
}

TEST_CASE("burn is the bad share over the allowed share, window by window")
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
