// Reads of the store over connections that fall silent, and of a store that returns from an older copy, with sockets on loopback.
#include "../platform/StoreFormat.h"
#include "../soak/Proxy.h"
#include "../standins/StandinStore.h"
#include "Ports.h"

#include <Pimentopoint/Net>
#include <catch2/catch.hpp>

using namespace pimentopoint;
using namespace std::chrono_literals;

namespace {

MemberRecord member(const std::string& name, const Endpoint& endpoint, std::uint32_t millicores)
{
    MemberRecord record(MemberName(name), MemberRole::Front, DataCentreName("a"), Incarnation(1));
    record.setEndpoints(endpoint, endpoint, endpoint);
    record.setMillicores(millicores);
    return record;
}

/// A host that follows the store, and the values that it knows.
struct Follower {
    Follower(boost::asio::io_context& context, const Clock& clock, const MemberRecord& self, const Endpoint& store)
        : feed(context, clock, metrics, self, { store, self.tcp(), 1s, self.millicores() },
            { platform::storePath, [](const StoreRead& read, const HttpReader::Result& reply) { return platform::parseStoreResult(read, reply.status, headerValue(reply.headers, platform::storeEraHeader), reply.body); },
                [this](const std::vector<StoreItem>& items) {
                    for (const StoreItem& item : items) {
                        if (!item.mayBeOlder)
                            values[item.key] = item.value;
                    }
                },
                [](const std::string&) { return std::nullopt; } })
    {
    }

    std::map<std::string, std::string> values;
    Metrics metrics;
    UpdateFeed feed;
};

/// A store behind a proxy, a host that reads it and one that reads from that host.
struct StoreLoop {
    StoreLoop()
    {
        first.feed.setMembers({ secondRecord });
        second.feed.setMembers({ firstRecord });
        store.put("key", "one");
    }
    bool until(const std::function<bool()>& condition)
    {
        for (int turns = 0; turns < 5000 && !condition(); ++turns) {
            store.tick();
            first.feed.tick();
            second.feed.tick();
            context.run_for(2ms);
        }
        return condition();
    }
    bool bothKnow(const std::string& value)
    {
        return until([&] { return first.values["key"] == value && second.values["key"] == value; });
    }

    boost::asio::io_context context { 1 };
    BootClock clock;
    Endpoint storeEndpoint = test::freeEndpoint();
    Endpoint proxyEndpoint = test::freeEndpoint();
    MemberRecord firstRecord = member("first", test::freeEndpoint(), 500);
    MemberRecord secondRecord = member("second", test::freeEndpoint(), 100);
    StandinStore store { context, clock, storeEndpoint };
    Proxy proxy { context, proxyEndpoint, storeEndpoint };
    Follower first { context, clock, firstRecord, proxyEndpoint };
    Follower second { context, clock, secondRecord, proxyEndpoint };
};

} // namespace

TEST_CASE("A change becomes known although all open connections to the store are silent from then on")
{
    StoreLoop loop;
    REQUIRE(loop.bothKnow("one"));
    for (const char* value : { "two", "three" }) {
        loop.proxy.discardOnOpenConnections();
        loop.store.put("key", value);
        CHECK(loop.bothKnow(value));
    }
}

TEST_CASE("A change becomes known at a host and at its reader after the store returned, at revisions given out before")
{
    StoreLoop loop;
    REQUIRE(loop.bothKnow("one"));
    StandinStore::Copy copy = loop.store.copy();
    loop.store.put("key", "two");
    loop.store.put("other", "x");
    REQUIRE(loop.bothKnow("two"));
    loop.store.returnFrom(copy);
    loop.store.put("key", "three");
    CHECK(loop.bothKnow("three"));
    loop.store.put("key", "four");
    CHECK(loop.bothKnow("four"));
}
