#include <Pimentopoint/Core>
#include <Pimentopoint/Target>
#include <catch2/catch.hpp>

using namespace pimentopoint;
using namespace std::chrono_literals;

namespace {

constexpr Duration normalServiceTime = 5ms;

/// One TargetAdmission with its clock and the actions that it requested.
class AdmissionFixture {
public:
    explicit AdmissionFixture(const Share& share, Duration openAfter = Duration(0))
        : admission(TargetId(1), Endpoint("127.0.0.1", 1), clock.now(), clock.now() + openAfter)
    {
        AdmissionActions none;
        admission.setShare(share, clock.now(), Duration(0), none);
        admission.tick(clock.now(), none);
    }
    void submit(std::uint64_t number, Duration remaining = 1s, Urgency urgency = Urgency::Ordinary, const WarmthHint& hint = {}, bool repeatable = true)
    {
        auto context = std::make_shared<SubQueryContext>(SubQueryContext { SnapshotVersion(1), urgency, repeatable, "q" });
        admission.submit({ AttemptId(Incarnation(1), number), TargetId(1), KeyRange(0, 10), clock.now() + remaining, context }, hint, clock.now(), actions);
    }
    void complete(std::uint64_t number, ExchangeOutcome outcome = ExchangeOutcome::Replied, std::uint64_t incarnation = 7)
    {
        ExchangeResult result;
        result.attempt = AttemptId(Incarnation(1), number);
        result.target = TargetId(1);
        result.outcome = outcome;
        result.newConnection = true;
        result.reply = { result.attempt, Incarnation(incarnation), SnapshotVersion(1), { KeyRange(0, 10) }, "[]" };
        admission.handleResult(result, clock.now(), actions);
    }
    /// Serves one request after the other until the target is warm.
    void warm()
    {
        for (int i = 0; i < 2000 && admission.ramp().state() != WarmupRamp::State::Warm; ++i)
            serveOne(normalServiceTime);
        REQUIRE(admission.ramp().state() == WarmupRamp::State::Warm);
        actions = {};
    }
    void serveOne(Duration serviceTime, std::uint64_t incarnation = 7)
    {
        submit(++m_number);
        clock.advance(serviceTime);
        complete(m_number, ExchangeOutcome::Replied, incarnation);
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
    TargetAdmission admission;
    AdmissionActions actions;

private:
    std::uint64_t m_number = 1000000;
};

} // namespace

TEST_CASE("A new target is cold and gets no more requests than the cold limit")
{
    AdmissionFixture fixture(Share(6, 2, 12));
    for (std::uint64_t i = 0; i < 6; ++i)
        fixture.submit(i);
    CHECK(fixture.actions.dispatches.size() <= 2);
    CHECK(fixture.admission.outstanding() <= 2);
    fixture.clock.advance(normalServiceTime);
    fixture.complete(0);
    CHECK(fixture.admission.outstanding() <= 2);
}

TEST_CASE("After the cold time without failures, the limit rises in steps to the share")
{
    AdmissionFixture fixture(Share(6, 2, 12));
    fixture.serveOne(normalServiceTime);
    CHECK(fixture.admission.ramp().state() == WarmupRamp::State::Cold);
    fixture.warm();
    for (std::uint64_t i = 0; i < 6; ++i)
        fixture.submit(i);
    CHECK(fixture.admission.outstanding() <= 6);
    CHECK(fixture.admission.outstanding() > 2);
}

TEST_CASE("A hint makes a target warm only if the incarnation matches and the service time is normal")
{
    struct Row {
        std::uint64_t incarnation;
        Duration serviceTime;
        bool warm;
    };
    const auto row = GENERATE(Row { 7, normalServiceTime, true }, Row { 8, normalServiceTime, false }, Row { 7, normalServiceTime * 10, false });
    AdmissionFixture fixture(Share(6, 1, 12));
    fixture.submit(1, 1s, Urgency::Ordinary, { Incarnation(row.incarnation), static_cast<std::uint32_t>(normalServiceTime.count()) });
    fixture.clock.advance(row.serviceTime);
    fixture.complete(1);
    CHECK((fixture.admission.ramp().state() == WarmupRamp::State::Warm) == row.warm);
}

TEST_CASE("A failure reduces the limit to the cold limit; a normal reply to a later request restores it, slow replies make the target cold")
{
    AdmissionFixture fixture(Share(6, 1, 12));
    fixture.warm();
    SECTION("one slow reply reduces the limit, a normal one makes the target warm again")
    {
        fixture.serveOne(normalServiceTime * 10);
        CHECK(fixture.admission.ramp().limit(fixture.admission.share()) == 1);
        fixture.serveOne(normalServiceTime);
        CHECK(fixture.admission.ramp().state() == WarmupRamp::State::Warm);
    }
    SECTION("repeated slow replies make the target cold")
    {
        for (int i = 0; i < 4; ++i)
            fixture.serveOne(normalServiceTime * 10);
        CHECK(fixture.admission.ramp().state() == WarmupRamp::State::Cold);
    }
    SECTION("a reply of another incarnation makes the target cold")
    {
        fixture.serveOne(normalServiceTime, 8);
        CHECK(fixture.admission.ramp().state() == WarmupRamp::State::Cold);
    }
    SECTION("a shed request reduces the limit")
    {
        fixture.submit(1);
        fixture.complete(1, ExchangeOutcome::RefusedShed);
        CHECK(fixture.admission.ramp().limit(fixture.admission.share()) == 1);
    }
    SECTION("a lost connection reduces the limit")
    {
        fixture.submit(1);
        fixture.complete(1, ExchangeOutcome::ConnectionLost);
        CHECK(fixture.admission.ramp().limit(fixture.admission.share()) == 1);
    }
    SECTION("a slow reply after a normal reply to a later request keeps the target warm")
    {
        fixture.submit(1);
        fixture.clock.advance(Duration(1));
        fixture.submit(2);
        fixture.clock.advance(normalServiceTime);
        fixture.complete(2);
        fixture.clock.advance(normalServiceTime * 10);
        fixture.complete(1);
        CHECK(fixture.admission.ramp().state() == WarmupRamp::State::Warm);
    }
    SECTION("a reply to a request sent before the suspicion does not clear it")
    {
        fixture.submit(1);
        fixture.submit(2);
        fixture.clock.advance(normalServiceTime * 10);
        fixture.complete(1);
        REQUIRE(fixture.admission.ramp().state() == WarmupRamp::State::Suspected);
        fixture.complete(2);
        CHECK(fixture.admission.ramp().state() == WarmupRamp::State::Suspected);
    }
}

TEST_CASE("A request that may still run at the target keeps its slot after a lost connection")
{
    AdmissionFixture fixture(Share(1, 1, 3));
    fixture.warm();
    fixture.submit(1, 300ms);
    fixture.submit(2, 2s);
    fixture.clock.advance(100ms);
    fixture.complete(1, ExchangeOutcome::ConnectionLost);
    fixture.clock.advance(199ms);
    fixture.admission.tick(fixture.clock.now(), fixture.actions);
    CHECK(fixture.actions.dispatches.size() == 1);
    fixture.clock.advance(30ms);
    fixture.admission.tick(fixture.clock.now(), fixture.actions);
    CHECK(fixture.actions.dispatches.size() == 2);
}

TEST_CASE("Urgent sub-queries are served first, with a fixed fraction of ordinary ones in between")
{
    AdmissionFixture fixture(Share(1, 1, 3));
    fixture.warm();
    fixture.submit(1);
    for (std::uint64_t i = 100; i < 120; ++i)
        fixture.submit(i, 10s, Urgency::Ordinary);
    for (std::uint64_t i = 200; i < 240; ++i)
        fixture.submit(i, 10s, Urgency::Urgent);
    fixture.actions = {};
    fixture.complete(1);
    unsigned ordinary = 0;
    std::uint64_t first = fixture.actions.dispatches.front().attempt.number();
    for (int i = 0; i < 27; ++i) {
        std::uint64_t inFlight = fixture.actions.dispatches.back().attempt.number();
        ordinary += inFlight < 200;
        fixture.clock.advance(normalServiceTime);
        fixture.complete(inFlight);
    }
    CHECK(first == 200);
    CHECK(ordinary == 3);
}

TEST_CASE("A sub-query that can't meet its deadline is refused on submission, and an expired one is never sent")
{
    AdmissionFixture fixture(Share(1, 1, 3));
    fixture.warm();
    fixture.submit(1);
    fixture.submit(2, 50ms);
    for (std::uint64_t i = 3; i < 20; ++i)
        fixture.submit(i, 50ms);
    CHECK(fixture.refusalOf(19) == NotRunReason::Shed);
    fixture.submit(30, Duration(0));
    CHECK(fixture.refusalOf(30) == NotRunReason::Deadline);
    fixture.clock.advance(60ms);
    fixture.actions = {};
    fixture.admission.tick(fixture.clock.now(), fixture.actions);
    CHECK(fixture.refusalOf(2) == NotRunReason::Deadline);
    CHECK(fixture.actions.dispatches.empty());
}

TEST_CASE("A decrease of the share applies at once, an increase when the former owner has stopped")
{
    AdmissionFixture fixture(Share(4, 2, 8));
    AdmissionActions actions;
    fixture.admission.setShare(Share(2, 1, 4), fixture.clock.now(), 11s, actions);
    CHECK(fixture.admission.share().slots() == 2);
    fixture.admission.setShare(Share(4, 2, 8), fixture.clock.now(), 11s, actions);
    fixture.clock.advance(10s);
    fixture.admission.tick(fixture.clock.now(), actions);
    CHECK(fixture.admission.share().slots() == 2);
    fixture.clock.advance(1s);
    fixture.admission.tick(fixture.clock.now(), actions);
    CHECK(fixture.admission.share().slots() == 4);
}

TEST_CASE("A restarted gateway sends nothing until requests of its previous incarnation have ended")
{
    AdmissionFixture fixture(Share(4, 2, 8), 300ms);
    fixture.submit(1);
    CHECK(fixture.refusalOf(1) == NotRunReason::Starting);
    fixture.clock.advance(300ms);
    fixture.submit(2);
    CHECK(fixture.actions.dispatches.size() == 1);
}

TEST_CASE("Cancellation removes a queued sub-query; one in flight keeps its slot until its exchange ends")
{
    AdmissionFixture fixture(Share(1, 1, 3));
    fixture.warm();
    fixture.submit(1);
    fixture.submit(2);
    fixture.admission.cancel(AttemptId(Incarnation(1), 2), fixture.actions);
    CHECK(fixture.admission.waiting() == 0);
    fixture.admission.cancel(AttemptId(Incarnation(1), 1), fixture.actions);
    CHECK(fixture.admission.outstanding() == 1);
    CHECK(fixture.actions.cancels.size() == 1);
    fixture.actions = {};
    fixture.complete(1);
    CHECK(fixture.actions.replies.empty());
    CHECK(fixture.admission.idle());
}

TEST_CASE("An unresponsive connection is closed before the deadline only for idempotent sub-queries")
{
    AdmissionFixture fixture(Share(2, 1, 4));
    fixture.warm();
    fixture.submit(1, 5s);
    fixture.submit(2, 5s, Urgency::Ordinary, {}, false);
    REQUIRE(fixture.actions.dispatches.size() == 2);
    CHECK(fixture.actions.dispatches[0].replyTimeout < 1s);
    CHECK(fixture.actions.dispatches[1].replyTimeout == Duration(5s));
}

TEST_CASE("The reply to a cancelled request, or one early reply, does not make normal replies count as slow")
{
    AdmissionFixture fixture(Share(2, 1, 6));
    fixture.warm();
    fixture.submit(1);
    fixture.admission.cancel(AttemptId(Incarnation(1), 1), fixture.actions);
    fixture.complete(1);
    CHECK(fixture.admission.ramp().serviceTime() == normalServiceTime);
    AdmissionFixture cold(Share(2, 1, 6));
    cold.serveOne(Duration(100));
    cold.warm();
    CHECK(cold.admission.ramp().state() == WarmupRamp::State::Warm);
}

TEST_CASE("After lost connections, successful exchanges restore the full limit")
{
    AdmissionFixture fixture(Share(3, 1, 9));
    fixture.warm();
    for (std::uint64_t i = 1; i <= 6; ++i) {
        fixture.submit(i);
        fixture.complete(i, ExchangeOutcome::ConnectionLost);
        fixture.clock.advance(1100ms);
        fixture.admission.tick(fixture.clock.now(), fixture.actions);
    }
    fixture.warm();
    for (int i = 0; i < 3; ++i)
        fixture.serveOne(normalServiceTime);
    for (std::uint64_t i = 10; i < 13; ++i)
        fixture.submit(i);
    CHECK(fixture.admission.outstanding() == 3);
}

TEST_CASE("A sub-query that can't complete before its deadline is not sent, and an expired short deadline does not make the target suspected")
{
    AdmissionFixture fixture(Share(1, 1, 3));
    fixture.warm();
    fixture.submit(1, 5s);
    fixture.submit(2, 12ms);
    fixture.clock.advance(9ms);
    fixture.actions = {};
    fixture.complete(1);
    CHECK(fixture.refusalOf(2) == NotRunReason::Deadline);
    CHECK(fixture.actions.dispatches.empty());
    fixture.submit(3, 6ms);
    fixture.clock.advance(6ms);
    fixture.complete(3, ExchangeOutcome::TimedOut);
    CHECK(fixture.admission.ramp().state() == WarmupRamp::State::Warm);
}

TEST_CASE("Ordinary sub-queries leave a slot free while urgent ones are frequent, and use it again afterwards")
{
    AdmissionFixture fixture({ 3, 2, 8 });
    fixture.warm();
    std::uint64_t number = 10000;
    for (int i = 0; i < 200; ++i) {
        fixture.submit(++number, 1s, i % 2 ? Urgency::Urgent : Urgency::Ordinary);
        fixture.clock.advance(normalServiceTime);
        fixture.complete(number);
    }
    fixture.actions = {};
    for (int i = 0; i < 5; ++i)
        fixture.submit(++number, 10s);
    CHECK(fixture.actions.dispatches.size() == 2);
    fixture.submit(++number, 10s, Urgency::Urgent);
    CHECK(fixture.actions.dispatches.size() == 3);
    CHECK(fixture.admission.outstanding() == 3);
    SECTION("without further urgent sub-queries ordinary ones use all slots")
    {
        for (int i = 0; i < 400; ++i) {
            fixture.submit(++number, 10s);
            fixture.clock.advance(normalServiceTime);
            fixture.complete(fixture.actions.dispatches.front().attempt.number());
            fixture.actions.dispatches.erase(fixture.actions.dispatches.begin());
        }
        CHECK(fixture.admission.outstanding() == 3);
    }
}
