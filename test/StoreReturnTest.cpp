// A store that returns from an older copy: what follower, mirror and relay take from it, and when every host of a data centre knows what it has.
#include "UpdateFleet.h"

#include <catch2/catch.hpp>

using namespace pimentopoint;
using namespace std::chrono_literals;

namespace {

StoreItem item(const std::string& key, std::uint64_t revision, const std::string& value = "v") { return { key, value, revision, false }; }

StoreResult result(StoreResult::Kind kind, unsigned era, std::vector<StoreItem> items, std::uint64_t revision, bool hasMore = false)
{
    StoreResult result;
    result.kind = kind;
    result.era = StoreEra(era);
    result.items = std::move(items);
    result.revision = revision;
    result.hasMore = hasMore;
    return result;
}

StoreResult page(unsigned era, std::vector<StoreItem> items, std::uint64_t revision, bool hasMore = false) { return result(StoreResult::Kind::Items, era, std::move(items), revision, hasMore); }
StoreResult changes(unsigned era, std::vector<StoreItem> items, std::uint64_t revision) { return result(StoreResult::Kind::Changes, era, std::move(items), revision); }

StoreUpdate listing(const std::vector<StoreItem>& items)
{
    StoreUpdate update;
    update.changes = items;
    update.allKeys.emplace();
    for (const StoreItem& each : items)
        update.allKeys->insert(each.key);
    return update;
}

StoreUpdate write(const StoreItem& written)
{
    StoreUpdate update;
    update.changes = { written };
    return update;
}

StorePosition position(unsigned era, std::uint64_t revision) { return { StoreEra(era), revision }; }

/// A follower that watches from revision 100 of era 1, and its clock.
struct Watching {
    Watching()
    {
        put(page(1, { item("a", 90), item("b", 100) }, 100));
    }
    StoreRead begin()
    {
        now = std::max(now, follower.nextReadAt().value());
        return follower.beginRead(now).value();
    }
    StoreUpdate put(StoreResult result)
    {
        begin();
        return follower.handleResult(std::move(result), now);
    }

    StoreFollower follower { "", StoreTiming(), 1 };
    Instant now {};
};

std::map<std::string, std::string> valuesOf(const std::vector<StoreItem>& items, bool uncertain)
{
    std::map<std::string, std::string> values;
    for (const StoreItem& each : items) {
        if (each.mayBeOlder == uncertain)
            values[each.key] = each.removed ? "removed" : each.value;
    }
    return values;
}

using Values = std::map<std::string, std::string>;

} // namespace

TEST_CASE("After the store returned, a listing is taken whatever its revision, and the watch continues from it")
{
    for (std::uint64_t revision : { 40, 99, 100, 101, 140 }) {
        for (StoreResult::Kind first : { StoreResult::Kind::HistoryLost, StoreResult::Kind::Changes }) {
            INFO("revision " << revision);
            Watching run;
            CHECK(run.put(result(first, 2, { item("c", revision) }, revision)).changes.empty());
            StoreRead read = run.begin();
            REQUIRE(read.kind == StoreRead::Kind::Page);
            CHECK_FALSE(read.mayBeStale);
            StoreUpdate update = run.follower.handleResult(page(2, { item("a", 30, "older"), item("c", revision) }, revision), run.now);
            CHECK(update.changes.size() == 2);
            REQUIRE(update.allKeys);
            read = run.begin();
            CHECK(read.kind == StoreRead::Kind::Watch);
            CHECK(read.era == StoreEra(2));
            CHECK(read.afterRevision == revision);
        }
    }
}

TEST_CASE("A reply from before the store returned changes nothing once the return is known")
{
    for (StoreResult::Kind kind : { StoreResult::Kind::Items, StoreResult::Kind::Changes, StoreResult::Kind::HistoryLost }) {
        Watching run;
        run.put(changes(2, {}, 60));
        run.put(page(2, { item("a", 50) }, 60));
        StoreUpdate update = run.put(result(kind, 1, { item("a", 110, "before") }, 110));
        CHECK(update.changes.empty());
        CHECK_FALSE(update.allKeys);
        CHECK(run.follower.position() == position(2, 60));
        CHECK(run.follower.handleAdditionalChanges(changes(1, { item("a", 111, "before") }, 111)).changes.empty());
    }
}

TEST_CASE("A listing during which the store returns starts again and reports none of the earlier pages")
{
    for (bool complete : { false, true }) {
        INFO("complete " << complete);
        StoreFollower follower("", StoreTiming(), 1);
        Instant now {};
        auto put = [&](StoreResult each) {
            now = std::max(now, follower.nextReadAt().value());
            follower.beginRead(now);
            return follower.handleResult(std::move(each), now);
        };
        if (complete) {
            put(page(1, { item("a", 90) }, 100));
            put(result(StoreResult::Kind::HistoryLost, 2, {}, 0));
        }
        put(page(2, { item("a", 50) }, 60, true));
        StoreUpdate update = put(page(3, { item("b", 20) }, 40));
        CHECK(update.changes.empty());
        CHECK_FALSE(update.allKeys);
        update = put(page(3, { item("a", 30) }, 40, true));
        CHECK_FALSE(update.allKeys);
        update = put(page(3, { item("b", 20) }, 40));
        REQUIRE(update.allKeys);
        CHECK(*update.allKeys == std::set<std::string> { "a", "b" });
        CHECK(follower.position() == position(3, 40));
    }
}

TEST_CASE("A listing of the earlier era is refused while the later one is known from another reply")
{
    Watching run;
    CHECK(run.follower.handleLaterEra(StoreEra(2)));
    CHECK_FALSE(run.follower.handleLaterEra(StoreEra(2)));
    CHECK_FALSE(run.put(page(1, { item("a", 110) }, 110)).allKeys);
    CHECK(run.put(page(2, { item("a", 30) }, 40)).allKeys);
}

TEST_CASE("A revision that the store does not know any more within an era is given up")
{
    Watching run;
    run.put(result(StoreResult::Kind::HistoryLost, 1, {}, 0));
    run.follower.forgetRevision();
    REQUIRE(run.put(page(1, { item("a", 30) }, 40)).allKeys);
    CHECK(run.follower.position() == position(1, 40));
}

TEST_CASE("What was known stays in force until the writers of a returned store have written again, then the store's content applies")
{
    StoreMirror mirror;
    mirror.apply(listing({ item("config", 80, "7"), item("kept", 20), item("lost", 95), item("rewritten", 90, "new"), item("stale", 91, "new") }), position(1, 100), Instant());
    mirror.apply(write({ "gone", "", 101, true }), position(1, 101), Instant());
    // The copy has an older configuration, older values, an entry that was removed since and lacks one that was added since.
    auto changed = mirror.apply(listing({ item("config", 40, "5"), item("gone", 41), item("kept", 20), item("rewritten", 42, "old"), item("stale", 43, "old"), item("unknown", 44) }), position(2, 60), Instant(10s));
    CHECK(valuesOf(changed, false) == Values { { "unknown", "v" } });
    CHECK(valuesOf(changed, true) == Values { { "config", "5" }, { "gone", "v" }, { "rewritten", "old" }, { "stale", "old" } });
    CHECK(mirror.position() == position(2, 60));
    CHECK(mirror.endRetention(Instant(12s)).empty());
    changed = mirror.apply(write(item("rewritten", 61, "newest")), position(2, 61), Instant(12s));
    CHECK(valuesOf(changed, false) == Values { { "rewritten", "newest" } });
    changed = mirror.endRetention(Instant(13s));
    CHECK(valuesOf(changed, false) == Values { { "config", "5" }, { "gone", "v" }, { "lost", "removed" }, { "stale", "old" } });
    CHECK(mirror.endRetention(Instant(20s)).empty());
}

TEST_CASE("What was known before the first of two returns in a row stays in force until the second one is settled")
{
    StoreMirror mirror;
    mirror.apply(listing({ item("lost", 95), item("stale", 91, "new") }), position(1, 100), Instant());
    mirror.apply(listing({ item("stale", 43, "old") }), position(2, 60), Instant(10s));
    auto changed = mirror.apply(listing({ item("stale", 43, "old") }), position(3, 50), Instant(12s));
    CHECK(valuesOf(changed, false).empty());
    CHECK(mirror.endRetention(Instant(14s)).empty());
    changed = mirror.apply(write(item("lost", 51)), position(3, 51), Instant(14s));
    CHECK(valuesOf(changed, false) == Values { { "lost", "v" } });
    CHECK(valuesOf(mirror.endRetention(Instant(15s)), false) == Values { { "stale", "old" } });
}

TEST_CASE("A mirror gives readers of another era its whole content, and nothing to a reader that states none but the changes")
{
    StoreMirror mirror;
    mirror.apply(listing({ item("a", 90) }), position(1, 100), Instant());
    mirror.apply(listing({ item("a", 30, "older") }), position(2, 60), Instant());
    StoreRead watch;
    watch.kind = StoreRead::Kind::Watch;
    watch.afterRevision = 60;
    for (std::optional<StoreEra> era : { std::optional(StoreEra(1)), std::optional(StoreEra(2)), std::optional<StoreEra>() }) {
        watch.era = era;
        bool other = era == StoreEra(1);
        CHECK(mirror.hasUpdates(watch) == other);
        CHECK((mirror.answer(watch).kind == StoreResult::Kind::HistoryLost) == other);
    }
    StoreResult whole = mirror.answer(StoreRead());
    CHECK(whole.era == StoreEra(2));
    REQUIRE(whole.items.size() == 1);
    CHECK(whole.items[0].value == "older");
}

TEST_CASE("Every host knows a version in time after the store returned from an older copy, whatever was written before and since")
{
    for (std::size_t hosts : { 1, 2, 8, 61, 200 }) {
        for (std::uint64_t seed = 1; seed <= 12; ++seed) {
            INFO(hosts << " hosts, seed " << seed);
            Random random(seed * 1000 + hosts);
            auto draw = [&random](int limit) { return static_cast<int>(random.fraction() * limit); };
            auto some = [&](double fraction) {
                std::set<std::size_t> drawn;
                for (std::size_t i = 0; i < hosts; ++i) {
                    if (random.fraction() < fraction)
                        drawn.insert(i);
                }
                return drawn;
            };
            UpdateFleet fleet(hosts, 300ms);
            fleet.run(5s + scaled(UpdateFleet::maxUpdateDelay, random.fraction()));
            auto writeOthers = [&](int count) {
                for (int i = 0; i < count; ++i)
                    fleet.write("other-" + std::to_string(draw(20)), std::to_string(draw(1000)));
            };
            int returns = 1 + draw(2);
            for (int each = 0; each < returns; ++each) {
                writeOthers(draw(20));
                UpdateFleet::StoreCopy copy = fleet.storeContent();
                for (int i = 0; i <= draw(3); ++i) {
                    writeOthers(draw(10));
                    fleet.publish();
                    fleet.run(Duration(draw(2'000'000)));
                }
                fleet.silent = some(0.2);
                fleet.isolated = some(0.2);
                for (std::size_t i = 0; i < hosts; ++i)
                    fleet.refused.insert(i);
                fleet.run(Duration(draw(2'000'000)));
                fleet.returnFrom(copy);
                fleet.refused.clear();
                writeOthers(draw(30));
                fleet.run(Duration(draw(2'000'000)));
                writeOthers(draw(30));
                fleet.republish();
                // Hosts that were paused or partitioned over this return come back before the next one, or after it.
                if (draw(2))
                    fleet.silent.clear();
                if (draw(2))
                    fleet.isolated.clear();
                fleet.run(Duration(draw(6'000'000)));
            }
            fleet.silent.clear();
            fleet.isolated.clear();
            fleet.publish();
            fleet.run(UpdateFleet::maxUpdateDelay);
            CHECK(fleet.uninformedHosts(fleet.publishedVersion()).empty());
        }
    }
}
