#include <Pimentopoint/Core>
#include <Pimentopoint/Serve>
#include <catch2/catch.hpp>

using namespace pimentopoint;
using namespace std::chrono_literals;

namespace {

constexpr Duration maxUpdateDelay = 5s;

MemberRecord member(std::uint16_t port)
{
    MemberRecord record(MemberName("host-" + std::to_string(port)), MemberRole::Front, DataCentreName("a"), Incarnation(1));
    Endpoint endpoint("10.0.0.1", port);
    record.setEndpoints(endpoint, endpoint, endpoint);
    record.setMillicores(1000U - port); // Ranks hosts by their ports.
    return record;
}

StoreResult result(StoreResult::Kind kind, std::uint64_t revision)
{
    StoreResult result;
    result.kind = kind;
    result.revision = revision;
    result.items.push_back({ "item", "v", revision, false });
    return result;
}

/// Runs the relay of host 3 of a data centre, below hosts 1 and 2, with ticks at the usual interval.
class RelayRun {
public:
    RelayRun()
        : m_relay(member(3), maxUpdateDelay, 1)
    {
        m_relay.setMembers({ member(1), member(2) });
    }

    void runUntil(Instant end)
    {
        for (; m_now < end; m_now += 100ms)
            collect([this](UpdateActions& actions) { m_relay.tick(m_now, actions); });
    }
    void reply(ReadNumber number, StoreResult result, std::optional<ReplyAge> age = ReplyAge())
    {
        collect([&](UpdateActions& actions) { m_relay.handleResult(number, std::move(result), age, m_now, actions); });
    }
    /// Answers the first listing and the probe that follows it, so that the next read waits for changes at host 1.
    void complete()
    {
        runUntil(m_now + 100ms);
        reply(reads.back().number, result(StoreResult::Kind::Items, 10));
        reply(reads.back().number, result(StoreResult::Kind::Changes, 10));
    }
    void pause(Duration duration) { m_now += duration; }
    Instant now() const { return m_now; }
    UpdateRelay& relay() { return m_relay; }

    std::vector<UpdateActions::Read> reads;
    std::vector<StoreItem> items;

private:
    void collect(const std::function<void(UpdateActions&)>& event)
    {
        UpdateActions actions;
        event(actions);
        reads.insert(reads.end(), actions.reads.begin(), actions.reads.end());
        items.insert(items.end(), actions.items.begin(), actions.items.end());
    }

    UpdateRelay m_relay;
    Instant m_now {};
};

} // namespace

TEST_CASE("A reply that took long to arrive is at least as old as the time that it took")
{
    RelayRun run;
    run.complete();
    REQUIRE(run.reads.back().source.host == member(1).tcp());
    Instant startedAt = run.now();
    run.pause(900ms);
    run.reply(run.reads.back().number, result(StoreResult::Kind::Changes, 11), ReplyAge { 50ms, 200ms });
    REQUIRE(run.relay().age(run.now()));
    CHECK(*run.relay().age(run.now()) >= run.now() - startedAt - 200ms + 50ms);
}

TEST_CASE("A page that may be stale does not make what a host knows recent")
{
    UpdateRelay relay(member(1), maxUpdateDelay, 1);
    UpdateActions actions;
    relay.tick(Instant(), actions);
    REQUIRE(actions.reads.size() == 1);
    REQUIRE(actions.reads[0].read.mayBeStale);
    relay.handleResult(actions.reads[0].number, result(StoreResult::Kind::Items, 10), std::nullopt, Instant(1ms), actions);
    CHECK(relay.complete());
    CHECK_FALSE(relay.age(Instant(1ms)));
    CHECK_FALSE(relay.isFresh(Instant(1ms)));
}

TEST_CASE("After a late read the next source is tried with a read that it answers at once, and the late reply is still used")
{
    RelayRun run;
    run.complete();
    UpdateActions::Read watch = run.reads.back();
    REQUIRE(watch.read.wait > Duration(0));
    run.runUntil(run.now() + watch.read.wait + scaled(maxUpdateDelay, 0.12));
    UpdateActions::Read probe = run.reads.back();
    CHECK(probe.source.host == member(2).tcp());
    CHECK(probe.read.wait == Duration(0));
    run.items.clear();
    run.reply(watch.number, result(StoreResult::Kind::Changes, 12));
    REQUIRE(run.items.size() == 1);
    CHECK(run.items[0].revision == 12);
}

TEST_CASE("A host that was paused itself goes on reading from the same source")
{
    RelayRun run;
    run.complete();
    run.pause(7s);
    run.runUntil(run.now() + 100ms);
    CHECK(run.reads.back().source.host == member(1).tcp());
}

TEST_CASE("A host whose knowledge is old reads the store although another source still has time to reply")
{
    RelayRun run;
    run.complete();
    // The source replies, but what it knows grows older with each reply.
    Instant confirmedAt = run.now();
    Instant limit = confirmedAt + scaled(maxUpdateDelay, 0.8);
    bool storeRead = false;
    while (!storeRead && run.now() < limit) {
        run.runUntil(run.now() + 400ms);
        storeRead = std::any_of(run.reads.begin(), run.reads.end(), [](const UpdateActions::Read& read) { return !read.source.host; });
        if (run.reads.back().source.host)
            run.reply(run.reads.back().number, result(StoreResult::Kind::Changes, 10), ReplyAge { run.now() - confirmedAt, 0ms });
    }
    CHECK(storeRead);
}

TEST_CASE("A listing that a silent host leaves without a reply continues at the store, at a start and after lost history")
{
    for (bool historyLost : { false, true }) {
        INFO((historyLost ? "after lost history" : "at a start"));
        RelayRun run;
        if (historyLost) {
            run.complete();
            StoreResult lost;
            lost.kind = StoreResult::Kind::HistoryLost;
            run.reply(run.reads.back().number, lost);
        }
        run.runUntil(run.now() + 200ms);
        REQUIRE(run.reads.back().source.host == member(1).tcp());
        REQUIRE(run.reads.back().read.kind == StoreRead::Kind::Page);
        run.runUntil(run.now() + scaled(maxUpdateDelay, 0.2));
        CHECK_FALSE(run.reads.back().source.host);
        CHECK(run.reads.back().read.kind == StoreRead::Kind::Page);
    }
}
