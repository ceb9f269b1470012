#include <Pimentopoint/Core>
#include <Pimentopoint/Target>
#include <catch2/catch.hpp>

using namespace pimentopoint;
using namespace std::chrono_literals;

namespace {

constexpr Duration usualService = 5ms;

/// One lane, its clock and what it ordered.
class LaneBench {
public:
    explicit LaneBench(const Share& share, Duration openAfter = Duration(0))
        : lane(TargetId(1), Endpoint("127.0.0.1", 1), clock.now(), clock.now() + openAfter)
    {
        AdmissionActions none;
        lane.setShare(share, clock.now(), Duration(0), none);
        lane.tick(clock.now(), none);
    }
    void submit(std::uint64_t number, Duration remaining = 1s, Urgency urgency = Urgency::Ordinary, const WarmthHint& hint = {}, bool repeatable = true)
    {
        auto context = std::make_shared<SubQueryContext>(SubQueryContext { SnapshotVersion(1), urgency, repeatable, "q" });
        lane.submit({ AttemptId(Incarnation(1), number), TargetId(1), KeyRange(0, 10), clock.now() + remaining, context }, hint, clock.now(), actions);
    }
    void end(std::uint64_t number, ExchangeOutcome how = ExchangeOutcome::Replied, std::uint64_t incarnation = 7)
    {
        ExchangeResult result;
        result.attempt = AttemptId(Incarnation(1), number);
        result.target = TargetId(1);
        result.outcome = how;
        result.newConnection = true;
        result.reply = { result.attempt, Incarnation(incarnation), SnapshotVersion(1), { KeyRange(0, 10) }, "[]" };
        lane.handleResult(result, clock.now(), actions);
    }
    /// Sends one after the other until the lane is warm.
    void warm()
    {
        for (int i = 0; i < 2000 && lane.ramp().state() != WarmupRamp::State::Warm; ++i)
            serveOne(usualService);
        REQUIRE(lane.ramp().state() == WarmupRamp::State::Warm);
        actions = {};
    }
    void serveOne(Duration service, std::uint64_t incarnation = 7)
    {
        submit(++m_number);
        clock.advance(service);
        end(m_number, ExchangeOutcome::Replied, incarnation);
    }
    NotRunReason refusalOf(std::uint64_t number) const
    {
        for (const AdmissionActions::Reply& finished : actions.replies) {
            if (finished.attempt.number() == number)
                return finished.reply.notRunReason;
        }
        return NotRunReason::None;
    }

    ManualClock clock;
    TargetAdmission lane;
    AdmissionActions actions;

private:
    std::uint64_t m_number = 1000000;
};

} // namespace

TEST_CASE("a target is cold until its replies prove otherwise; the cold limit holds")
{
    LaneBench bench(Share(6, 2, 12));
    for (std::uint64_t i = 0; i < 6; ++i)
        bench.submit(i);
    CHECK(bench.actions.dispatches.size() <= 2);
    CHECK(bench.lane.outstanding() <= 2);
    bench.clock.advance(usualService);
    bench.end(0);
    CHECK(bench.lane.outstanding() <= 2);
}

TEST_CASE("the limit rises in steps once the cold time has passed without trouble")
{
    LaneBench bench(Share(6, 2, 12));
    bench.serveOne(usualService);
    CHECK(bench.lane.ramp().state() == WarmupRamp::State::Cold);
    bench.warm();
    for (std::uint64_t i = 0; i < 6; ++i)
        bench.submit(i);
    CHECK(bench.lane.outstanding() <= 6);
    CHECK(bench.lane.outstanding() > 2);
}

TEST_CASE("a hint proves warmth only with the same incarnation and a usual service time")
{
    struct Row {
        std::uint64_t incarnation;
        Duration service;
        bool warm;
    };
    const auto row = GENERATE(Row { 7, usualService, true }, Row { 8, usualService, false }, Row { 7, usualService * 10, false });
    LaneBench bench(Share(6, 1, 12));
    bench.submit(1, 1s, Urgency::Ordinary, { Incarnation(row.incarnation), static_cast<std::uint32_t>(usualService.count()) });
    bench.clock.advance(row.service);
    bench.end(1);
    CHECK((bench.lane.ramp().state() == WarmupRamp::State::Warm) == row.warm);
}

TEST_CASE("a sign of cold collapses the limit at once; one usual reply to later work restores it, slow ones confirm")
{
    LaneBench bench(Share(6, 1, 12));
    bench.warm();
    SECTION("one slow reply was a straggler")
    {
        bench.serveOne(usualService * 10);
        CHECK(bench.lane.ramp().limit(bench.lane.share()) == 1);
        bench.serveOne(usualService);
        CHECK(bench.lane.ramp().state() == WarmupRamp::State::Warm);
    }
    SECTION("the target is cold again without a word")
    {
        for (int i = 0; i < 4; ++i)
            bench.serveOne(usualService * 10);
        CHECK(bench.lane.ramp().state() == WarmupRamp::State::Cold);
    }
    SECTION("another incarnation is cold")
    {
        bench.serveOne(usualService, 8);
        CHECK(bench.lane.ramp().state() == WarmupRamp::State::Cold);
    }
    SECTION("a shed request")
    {
        bench.submit(1);
        bench.end(1, ExchangeOutcome::RefusedShed);
        CHECK(bench.lane.ramp().limit(bench.lane.share()) == 1);
    }
    SECTION("a lost connection")
    {
        bench.submit(1);
        bench.end(1, ExchangeOutcome::ConnectionLost);
        CHECK(bench.lane.ramp().limit(bench.lane.share()) == 1);
    }
    SECTION("a slow reply with later work served as usual meanwhile is that request's own")
    {
        bench.submit(1);
        bench.clock.advance(Duration(1));
        bench.submit(2);
        bench.clock.advance(usualService);
        bench.end(2);
        bench.clock.advance(usualService * 10);
        bench.end(1);
        CHECK(bench.lane.ramp().state() == WarmupRamp::State::Warm);
    }
    SECTION("a reply to work sent before the doubt proves nothing")
    {
        bench.submit(1);
        bench.submit(2);
        bench.clock.advance(usualService * 10);
        bench.end(1);
        REQUIRE(bench.lane.ramp().state() == WarmupRamp::State::Suspected);
        bench.end(2);
        CHECK(bench.lane.ramp().state() == WarmupRamp::State::Suspected);
    }
}

TEST_CASE("work that may go on at the target keeps its slot after the exchange ended")
{
    LaneBench bench(Share(1, 1, 3));
    bench.warm();
    bench.submit(1, 300ms);
    bench.submit(2, 2s);
    bench.clock.advance(100ms);
    bench.end(1, ExchangeOutcome::ConnectionLost);
    bench.clock.advance(199ms);
    bench.lane.tick(bench.clock.now(), bench.actions);
    CHECK(bench.actions.dispatches.size() == 1);
    bench.clock.advance(30ms);
    bench.lane.tick(bench.clock.now(), bench.actions);
    CHECK(bench.actions.dispatches.size() == 2);
}

TEST_CASE("urgent work goes first and ordinary work keeps a part of the turns")
{
    LaneBench bench(Share(1, 1, 3));
    bench.warm();
    bench.submit(1);
    for (std::uint64_t i = 100; i < 120; ++i)
        bench.submit(i, 10s, Urgency::Ordinary);
    for (std::uint64_t i = 200; i < 240; ++i)
        bench.submit(i, 10s, Urgency::Urgent);
    bench.actions = {};
    bench.end(1);
    unsigned ordinary = 0;
    std::uint64_t first = bench.actions.dispatches.front().attempt.number();
    for (int i = 0; i < 27; ++i) {
        std::uint64_t running = bench.actions.dispatches.back().attempt.number();
        ordinary += running < 200;
        bench.clock.advance(usualService);
        bench.end(running);
    }
    CHECK(first == 200);
    CHECK(ordinary == 3);
}

TEST_CASE("work that cannot meet its deadline is refused at the door, and late work is never sent")
{
    LaneBench bench(Share(1, 1, 3));
    bench.warm();
    bench.submit(1);
    bench.submit(2, 50ms);
    for (std::uint64_t i = 3; i < 20; ++i)
        bench.submit(i, 50ms);
    CHECK(bench.refusalOf(19) == NotRunReason::Shed);
    bench.submit(30, Duration(0));
    CHECK(bench.refusalOf(30) == NotRunReason::Deadline);
    bench.clock.advance(60ms);
    bench.actions = {};
    bench.lane.tick(bench.clock.now(), bench.actions);
    CHECK(bench.refusalOf(2) == NotRunReason::Deadline);
    CHECK(bench.actions.dispatches.empty());
}

TEST_CASE("a lost share applies at once, a gained one when the former owner has stopped")
{
    LaneBench bench(Share(4, 2, 8));
    AdmissionActions actions;
    bench.lane.setShare(Share(2, 1, 4), bench.clock.now(), 11s, actions);
    CHECK(bench.lane.share().slots() == 2);
    bench.lane.setShare(Share(4, 2, 8), bench.clock.now(), 11s, actions);
    bench.clock.advance(10s);
    bench.lane.tick(bench.clock.now(), actions);
    CHECK(bench.lane.share().slots() == 2);
    bench.clock.advance(1s);
    bench.lane.tick(bench.clock.now(), actions);
    CHECK(bench.lane.share().slots() == 4);
}

TEST_CASE("a fresh gateway sends nothing until work of its former self has ended")
{
    LaneBench bench(Share(4, 2, 8), 300ms);
    bench.submit(1);
    CHECK(bench.refusalOf(1) == NotRunReason::Starting);
    bench.clock.advance(300ms);
    bench.submit(2);
    CHECK(bench.actions.dispatches.size() == 1);
}

TEST_CASE("what waits and is cancelled is dropped; what is at work keeps its slot until its end")
{
    LaneBench bench(Share(1, 1, 3));
    bench.warm();
    bench.submit(1);
    bench.submit(2);
    bench.lane.cancel(AttemptId(Incarnation(1), 2), bench.actions);
    CHECK(bench.lane.waiting() == 0);
    bench.lane.cancel(AttemptId(Incarnation(1), 1), bench.actions);
    CHECK(bench.lane.outstanding() == 1);
    CHECK(bench.actions.cancels.size() == 1);
    bench.actions = {};
    bench.end(1);
    CHECK(bench.actions.replies.empty());
    CHECK(bench.lane.idle());
}

TEST_CASE("a silent connection is given up early only for work that may be repeated")
{
    LaneBench bench(Share(2, 1, 4));
    bench.warm();
    bench.submit(1, 5s);
    bench.submit(2, 5s, Urgency::Ordinary, {}, false);
    REQUIRE(bench.actions.dispatches.size() == 2);
    CHECK(bench.actions.dispatches[0].replyTimeout < 1s);
    CHECK(bench.actions.dispatches[1].replyTimeout == Duration(5s));
}

TEST_CASE("a reply to cancelled work, and one early reply, do not make later ones look slow")
{
    LaneBench bench(Share(2, 1, 6));
    bench.warm();
    bench.submit(1);
    bench.lane.cancel(AttemptId(Incarnation(1), 1), bench.actions);
    bench.end(1);
    CHECK(bench.lane.ramp().serviceTime() == usualService);
    LaneBench cold(Share(2, 1, 6));
    cold.serveOne(Duration(100));
    cold.warm();
    CHECK(cold.lane.ramp().state() == WarmupRamp::State::Warm);
}

TEST_CASE("lost connections slow a lane down only until exchanges end well again")
{
    LaneBench bench(Share(3, 1, 9));
    bench.warm();
    for (std::uint64_t i = 1; i <= 6; ++i) {
        bench.submit(i);
        bench.end(i, ExchangeOutcome::ConnectionLost);
        bench.clock.advance(1100ms);
        bench.lane.tick(bench.clock.now(), bench.actions);
    }
    bench.warm();
    for (int i = 0; i < 3; ++i)
        bench.serveOne(usualService);
    for (std::uint64_t i = 10; i < 13; ++i)
        bench.submit(i);
    CHECK(bench.lane.outstanding() == 3);
}

TEST_CASE("what cannot be done in the time left is not begun, and a short deadline is no sign of a cold target")
{
    LaneBench bench(Share(1, 1, 3));
    bench.warm();
    bench.submit(1, 5s);
    bench.submit(2, 12ms);
    bench.clock.advance(9ms);
    bench.actions = {};
    bench.end(1);
    CHECK(bench.refusalOf(2) == NotRunReason::Deadline);
    CHECK(bench.actions.dispatches.empty());
    bench.submit(3, 6ms);
    bench.clock.advance(6ms);
    bench.end(3, ExchangeOutcome::TimedOut);
    CHECK(bench.lane.ramp().state() == WarmupRamp::State::Warm);
}

TEST_CASE("while urgent work is usual ordinary work leaves a slot free for it, and takes it back when it is not")
{
    LaneBench bench({ 3, 2, 8 });
    bench.warm();
    std::uint64_t number = 10000;
    for (int i = 0; i < 200; ++i) {
        bench.submit(++number, 1s, i % 2 ? Urgency::Urgent : Urgency::Ordinary);
        bench.clock.advance(usualService);
        bench.end(number);
    }
    bench.actions = {};
    for (int i = 0; i < 5; ++i)
        bench.submit(++number, 10s);
    CHECK(bench.actions.dispatches.size() == 2);
    bench.submit(++number, 10s, Urgency::Urgent);
    CHECK(bench.actions.dispatches.size() == 3);
    CHECK(bench.lane.outstanding() == 3);
    SECTION("no urgent work any more")
    {
        for (int i = 0; i < 400; ++i) {
            bench.submit(++number, 10s);
            bench.clock.advance(usualService);
            bench.end(bench.actions.dispatches.front().attempt.number());
            bench.actions.dispatches.erase(bench.actions.dispatches.begin());
        }
        CHECK(bench.lane.outstanding() == 3);
    }
}
