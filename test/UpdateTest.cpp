#include "Printing.h"

#include <Pimentopoint/Core>
#include <Pimentopoint/Serve>
#include <catch2/catch.hpp>

using namespace pimentopoint;

namespace {

Instant at(int milliseconds) { return Instant(std::chrono::milliseconds(milliseconds)); }

MemberRecord member(const std::string& name, const std::string& dataCentre, std::uint16_t port)
{
    MemberRecord record(MemberName(name), MemberRole::Front, DataCentreName(dataCentre), Incarnation(1));
    Endpoint endpoint("10.0.0.1", port);
    record.setEndpoints(endpoint, endpoint, endpoint);
    return record;
}

std::vector<MemberRecord> fleet()
{
    return { member("a-1", "a", 1), member("a-2", "a", 2), member("a-3", "a", 3), member("b-1", "b", 4), member("b-2", "b", 5) };
}

std::vector<MemberRecord> without(const std::string& name)
{
    std::vector<MemberRecord> members = fleet();
    std::erase_if(members, [&](const MemberRecord& each) { return each.name().value() == name; });
    return members;
}

UpdateSource sourceOf(const MemberRecord& self)
{
    UpdateSource source(self);
    source.setMembers(without(self.name().value()));
    return source;
}

StoreItem item(const std::string& key, std::uint64_t revision, const std::string& value = "v")
{
    return { key, value, revision, false };
}

StoreResult items(std::vector<StoreItem> list, std::uint64_t revision, bool hasMore = false)
{
    StoreResult result;
    result.kind = StoreResult::Kind::Items;
    result.items = std::move(list);
    result.revision = revision;
    result.hasMore = hasMore;
    return result;
}

StoreResult changes(std::vector<StoreItem> list, std::uint64_t revision)
{
    StoreResult result = items(std::move(list), revision);
    result.kind = StoreResult::Kind::Changes;
    return result;
}

StoreTiming timing()
{
    StoreTiming timing;
    timing.batchInterval = Duration(0);
    return timing;
}

} // namespace

TEST_CASE("The path of a read with a wait that is too long or out of range is refused")
{
    CHECK(parseUpdatePath("/v1/news/since/5/30000"));
    for (const char* wait : { "30001", "9223372036854775807", "9223372036854775808", "18446744073709551615", "18446744073709551616", "-1", "" }) {
        INFO(wait);
        CHECK_FALSE(parseUpdatePath(std::string("/v1/news/since/5/") + wait));
    }
}

TEST_CASE("One host of each data centre reads the store, the others read from that host")
{
    std::size_t storeReaders = 0;
    std::set<std::string> sources;
    for (const MemberRecord& self : fleet()) {
        UpdateSource source = sourceOf(self);
        UpdateSource::Choice choice = source.choose(at(0)).value();
        storeReaders += !choice.host;
        if (self.dataCentre().value() == "a" && choice.host)
            sources.insert(choice.host->text());
    }
    CHECK(storeReaders == 2);
    CHECK(sources.size() == 1);
}

TEST_CASE("The host with the most processor time reads the store")
{
    std::vector<MemberRecord> members = fleet();
    members[1].setMillicores(500);
    members[2].setMillicores(120);
    members[0].setMillicores(120);
    UpdateSource weak(members[0]);
    weak.setMembers({ members[1], members[2] });
    CHECK(weak.choose(at(0)).value().host == members[1].tcp());
    UpdateSource strong(members[1]);
    strong.setMembers({ members[0], members[2] });
    CHECK_FALSE(strong.choose(at(0)).value().host);
}

TEST_CASE("A host whose sources fail tries the hosts that rank before it one after the other, then the store")
{
    std::set<std::size_t> hostsBeforeStore;
    for (const MemberRecord& self : fleet()) {
        UpdateSource source = sourceOf(self);
        std::set<Endpoint> tried;
        for (auto choice = source.choose(at(0)).value(); choice.host; choice = source.choose(at(0)).value()) {
            CHECK(tried.insert(*choice.host).second);
            source.recordFailure(choice, at(0));
        }
        if (self.dataCentre().value() == "a")
            hostsBeforeStore.insert(tried.size());
        CHECK(tried.size() < 3);
    }
    CHECK(hostsBeforeStore == std::set<std::size_t> { 0, 1, 2 });
}

TEST_CASE("A store that failed once is tried again before all hosts have been tried")
{
    for (const MemberRecord& self : fleet()) {
        UpdateSource source = sourceOf(self);
        bool storeTried = false;
        source.recordFailure({}, at(0));
        for (int time = 100; time <= 400; time += 100) {
            auto choice = source.choose(at(time));
            if (!choice)
                continue;
            storeTried = storeTried || !choice->host;
            source.recordFailure(*choice, at(time));
        }
        CHECK(storeTried);
    }
}

TEST_CASE("A host whose reads of the store fail tries every other host")
{
    for (const MemberRecord& self : fleet()) {
        UpdateSource source = sourceOf(self);
        // Every source fails, so each is tried in turn.
        std::set<Endpoint> tried;
        for (int time = 0; time < 600; time += 50) {
            auto choice = source.choose(at(time));
            if (!choice)
                continue;
            if (choice->host)
                tried.insert(*choice->host);
            source.recordFailure(*choice, at(time));
        }
        CHECK(tried.size() == fleet().size() - 1);
    }
}

TEST_CASE("A follower lists pages, then watches from the revision of the first page")
{
    StoreFollower follower("", timing(), 1);
    auto first = follower.beginRead(at(0));
    REQUIRE(first);
    CHECK(first->kind == StoreRead::Kind::Page);
    CHECK_FALSE(follower.beginRead(at(0)));
    StoreUpdate update = follower.handleResult(items({ item("a", 3) }, 10, true), at(1));
    CHECK(update.changes.size() == 1);
    CHECK_FALSE(update.allKeys);
    auto second = follower.beginRead(at(1));
    REQUIRE(second);
    CHECK(second->afterKey == "a");
    update = follower.handleResult(items({ item("b", 11) }, 12), at(2));
    REQUIRE(update.allKeys);
    CHECK(*update.allKeys == std::set<std::string> { "a", "b" });
    auto watch = follower.beginRead(at(2));
    REQUIRE(watch);
    CHECK(watch->kind == StoreRead::Kind::Watch);
    CHECK(watch->afterRevision == 10);
}

TEST_CASE("Only a first listing may be stale: after lost history, or a page older than the listing, pages must be current")
{
    struct Case {
        const char* name;
        StoreResult result;
    };
    StoreResult lost;
    lost.kind = StoreResult::Kind::HistoryLost;
    for (const Case& each : { Case { "lost history", lost }, Case { "an older page", items({}, 5) } }) {
        INFO(each.name);
        StoreFollower follower("", timing(), 1);
        auto first = follower.beginRead(at(0));
        REQUIRE(first);
        CHECK(first->mayBeStale);
        bool olderPage = each.result.kind == StoreResult::Kind::Items;
        follower.handleResult(items({ item("a", 3) }, 10, olderPage), at(0));
        follower.beginRead(at(0));
        follower.handleResult(each.result, at(1));
        auto due = follower.nextReadAt();
        REQUIRE(due);
        auto relisted = follower.beginRead(*due);
        REQUIRE(relisted);
        CHECK(relisted->kind == StoreRead::Kind::Page);
        CHECK_FALSE(relisted->mayBeStale);
    }
}

TEST_CASE("A follower lists again after lost history and retries a watch after a failure")
{
    struct Case {
        const char* name;
        StoreResult::Kind kind;
        StoreRead::Kind next;
    };
    for (const Case& each : { Case { "lost history", StoreResult::Kind::HistoryLost, StoreRead::Kind::Page }, Case { "failure", StoreResult::Kind::Failed, StoreRead::Kind::Watch } }) {
        INFO(each.name);
        StoreFollower follower("", timing(), 1);
        follower.beginRead(at(0));
        follower.handleResult(items({ item("a", 3) }, 10), at(0));
        follower.beginRead(at(0));
        StoreResult result;
        result.kind = each.kind;
        follower.handleResult(result, at(5));
        auto due = follower.nextReadAt();
        REQUIRE(due);
        CHECK(*due <= at(5) + timing().maxRetryDelay);
        auto read = follower.beginRead(*due);
        REQUIRE(read);
        CHECK(read->kind == each.next);
    }
}

TEST_CASE("A watch result is reported in revision order without changes already known")
{
    StoreFollower follower("", timing(), 1);
    follower.beginRead(at(0));
    follower.handleResult(items({}, 10), at(0));
    follower.beginRead(at(0));
    StoreUpdate update = follower.handleResult(changes({ item("c", 14), item("old", 9), item("b", 12) }, 14), at(1));
    REQUIRE(update.changes.size() == 2);
    CHECK(update.changes[0].key == "b");
    CHECK(update.changes[1].key == "c");
    CHECK(follower.position().revision == 14);
}

TEST_CASE("A listing older than the known revision fails and changes nothing")
{
    StoreFollower follower("", timing(), 1);
    follower.beginRead(at(0));
    follower.handleResult(items({ item("a", 3) }, 20), at(0));
    follower.beginRead(at(0));
    StoreResult lost;
    lost.kind = StoreResult::Kind::HistoryLost;
    follower.handleResult(lost, at(1));
    // Another host replies with a listing older than the known revision.
    follower.beginRead(at(1));
    StoreUpdate update = follower.handleResult(items({ item("a", 2) }, 15), at(2));
    CHECK(update.changes.empty());
    CHECK_FALSE(update.allKeys);
    CHECK(follower.position().revision == 20);
    auto due = follower.nextReadAt();
    REQUIRE(due);
    auto relisted = follower.beginRead(*due);
    REQUIRE(relisted);
    CHECK(relisted->kind == StoreRead::Kind::Page);
}

TEST_CASE("A page older than the first page of its listing is rejected")
{
    StoreFollower follower("", timing(), 1);
    follower.beginRead(at(0));
    follower.handleResult(items({ item("a", 3) }, 20, true), at(0));
    follower.beginRead(at(0));
    StoreUpdate update = follower.handleResult(items({ item("a", 2), item("b", 4) }, 15), at(1));
    CHECK(update.changes.empty());
    CHECK_FALSE(update.allKeys);
    CHECK_FALSE(follower.complete());
}

TEST_CASE("A mirror replies to reads like the store")
{
    StoreMirror mirror;
    StoreRead page;
    CHECK(mirror.answer(page).kind == StoreResult::Kind::Failed);
    StoreUpdate listing;
    listing.changes = { item("a", 3), item("b", 4) };
    listing.allKeys = std::set<std::string> { "a", "b" };
    mirror.apply(listing, { {}, 10 }, at(0));
    CHECK(mirror.answer(page).items.size() == 2);
    StoreRead watch;
    watch.kind = StoreRead::Kind::Watch;
    watch.afterRevision = 10;
    CHECK_FALSE(mirror.hasUpdates(watch));
    StoreUpdate removal;
    removal.changes = { { "a", "", 11, true } };
    mirror.apply(removal, { {}, 11 }, at(1));
    REQUIRE(mirror.hasUpdates(watch));
    StoreResult result = mirror.answer(watch);
    REQUIRE(result.items.size() == 1);
    CHECK(result.items[0].removed);
    CHECK(mirror.answer(page).items.size() == 1);
    watch.afterRevision = 5;
    CHECK(mirror.answer(watch).kind == StoreResult::Kind::HistoryLost);
    mirror.removeExpired(at(120000));
    watch.afterRevision = 10;
    CHECK(mirror.answer(watch).kind == StoreResult::Kind::HistoryLost);
}

TEST_CASE("A mirror reports only new changes when updates arrive twice or out of order")
{
    StoreMirror mirror;
    StoreUpdate listing;
    listing.changes = { item("a", 3), item("b", 4) };
    listing.allKeys = std::set<std::string> { "a", "b" };
    CHECK(mirror.apply(listing, { {}, 10 }, at(0)).size() == 2);
    CHECK(mirror.apply(listing, { {}, 10 }, at(1)).empty());
    StoreUpdate outdated;
    outdated.changes = { item("a", 2, "older") };
    CHECK(mirror.apply(outdated, { {}, 11 }, at(2)).empty());
    StoreUpdate relisted;
    relisted.changes = { item("b", 4), item("c", 12) };
    relisted.allKeys = std::set<std::string> { "b", "c" };
    std::vector<StoreItem> changed = mirror.apply(relisted, { {}, 12 }, at(3));
    REQUIRE(changed.size() == 2);
    CHECK(changed[0].key == "c");
    CHECK(changed[1].key == "a");
    CHECK(changed[1].removed);
}

TEST_CASE("A mirror reports only the latest of several changes of a key that arrive together")
{
    StoreMirror mirror;
    StoreUpdate listing;
    listing.changes = { item("a", 3), item("b", 4) };
    listing.allKeys = std::set<std::string> { "a", "b" };
    mirror.apply(listing, { {}, 10 }, at(0));
    StoreUpdate update;
    update.changes = { item("a", 11, "first"), { "b", "", 12, true }, item("a", 13, "second"), item("b", 14, "back") };
    std::vector<StoreItem> changed = mirror.apply(update, { {}, 14 }, at(1));
    REQUIRE(changed.size() == 2);
    CHECK(changed[0].value == "second");
    CHECK(changed[1].value == "back");
    CHECK_FALSE(changed[1].removed);
}

TEST_CASE("A mirror reports a removal to readers when a new listing omits a key")
{
    StoreMirror mirror;
    StoreUpdate listing;
    listing.changes = { item("a", 3), item("b", 4) };
    listing.allKeys = std::set<std::string> { "a", "b" };
    mirror.apply(listing, { {}, 10 }, at(0));
    StoreUpdate relisted;
    relisted.changes = { item("b", 4) };
    relisted.allKeys = std::set<std::string> { "b" };
    mirror.apply(relisted, { {}, 20 }, at(1));
    StoreRead watch;
    watch.kind = StoreRead::Kind::Watch;
    watch.afterRevision = 10;
    StoreResult result = mirror.answer(watch);
    REQUIRE(result.items.size() == 1);
    CHECK(result.items[0].key == "a");
    CHECK(result.items[0].removed);
}

TEST_CASE("Updates are encoded without loss, and malformed input yields a failure with a cause")
{
    StoreResult result = changes({ item("k", 7, std::string("\0\xff\"", 3)), { "gone", "", 8, true } }, 9);
    StoreResult back = decodeUpdates(200, encodeUpdates(result));
    CHECK(back.kind == StoreResult::Kind::Changes);
    CHECK(back.revision == 9);
    REQUIRE(back.items.size() == 2);
    CHECK(back.items[0].value == result.items[0].value);
    CHECK(back.items[1].removed);
    std::string bytes = encodeUpdates(result);
    for (std::size_t size = 0; size < bytes.size(); ++size) {
        StoreResult cut = decodeUpdates(200, bytes.substr(0, size));
        CHECK(cut.kind == StoreResult::Kind::Failed);
        CHECK_FALSE(cut.cause.empty());
    }
    CHECK(decodeUpdates(200, bytes + "x").kind == StoreResult::Kind::Failed);
    CHECK(decodeUpdates(503, bytes).kind == StoreResult::Kind::Failed);
    for (const char* path : { "/", "/v1/news/since/", "/v1/news/since/1", "/v1/news/since/x/5", "/v1/news/since/1/999999999" })
        CHECK_FALSE(parseUpdatePath(path));
    StoreRead watch;
    watch.kind = StoreRead::Kind::Watch;
    watch.afterRevision = 42;
    watch.wait = std::chrono::milliseconds(750);
    auto read = parseUpdatePath(updatePath(watch));
    REQUIRE(read);
    CHECK(read->afterRevision == 42);
    CHECK(read->wait == watch.wait);
}
