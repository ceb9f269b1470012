#include "../platform/Documents.h"
#include "../platform/PlatformNames.h"
#include "../platform/StoreFormat.h"
#include "OddEntries.h"

#include <catch2/catch.hpp>
#include <cereal/external/base64.hpp>
#include <filesystem>
#include <fstream>
#include <nlohmann/json.hpp>
#include <sstream>

using namespace pimentopoint;

namespace {

StoreItem makeItem(const std::string& key, const std::string& value)
{
    return { key, value, 5, false };
}

nlohmann::json validEntry()
{
    return { { "service", "s" }, { "address", "10.1.2.3:80" }, { "zone", "a" }, { "version", "v1" }, { "slots", 2 }, { "state", "ready" }, { "warmup_left_ms", 0 }, { "sequence", 4 } };
}

nlohmann::json validConfiguration()
{
    return { { "version", 7 },
        { "routes",
            { { { "name", "fan" }, { "host", "Fan.example" }, { "prefix", "/f/" }, { "kind", "idempotent" }, { "timeout_ms", 600 }, { "goal_ms", 60 }, { "priority", 2 }, { "fanout", { "x", "y" } }, { "max_attempts", 2 }, { "top_k", 5 }, { "min_coverage", 0.75 } },
                { { "name", "parts" }, { "host", "p.example" }, { "prefix", "/" }, { "kind", "non_idempotent" }, { "timeout_ms", 900 }, { "backends", { { { "service", "x" }, { "weight", 3 } }, { { "service", "y" }, { "weight", 1 } } } }, { "max_attempts", 1 } } } },
        { "services", { { { "name", "x" }, { "health_path", "/health" }, { "max_connections", 26 }, { "warmup_per_s", 0.5 } } } },
        { "limits", { { "header_bytes", 100 }, { "body_bytes", 200 }, { "header_timeout_ms", 300 }, { "idle_timeout_ms", 400 } } } };
}

} // namespace

TEST_CASE("A configuration document is decoded into routes, services and limits")
{
    auto change = platform::decode(makeItem("op/config", validConfiguration().dump()));
    auto* contents = std::get_if<RoutingTable::Contents>(&change);
    REQUIRE(contents);
    CHECK(contents->version == ConfigurationVersion(7));
    const RoutePolicy& fan = contents->routes[0];
    CHECK(fan.host == "fan.example");
    CHECK(fan.idempotent);
    CHECK(fan.isFanOut());
    CHECK(fan.topRecords == 5);
    CHECK(fan.minCoverage == Fraction(0.75));
    CHECK(fan.timeout == std::chrono::milliseconds(600));
    CHECK(fan.objective == std::chrono::milliseconds(60));
    const RoutePolicy& weighted = contents->routes[1];
    CHECK_FALSE(weighted.idempotent);
    CHECK(weighted.services.size() == 2);
    CHECK(weighted.services[0].weight == 3);
    CHECK(weighted.objective == weighted.timeout);
    CHECK(contents->services[0].maxConnections == 26);
    CHECK(contents->services[0].coldRequestsPerSecond == 0.5);
    CHECK(contents->limits.bodyBytes == 200);
}

TEST_CASE("Unknown fields and keys are ignored")
{
    nlohmann::json entry = validEntry();
    entry["later"] = { 1, 2 };
    auto change = platform::decode(makeItem("servers/i-1", entry.dump()));
    CHECK(std::holds_alternative<DiscoveredTarget>(change));
    CHECK(std::holds_alternative<std::monostate>(platform::decode(makeItem("op/other", "x"))));
    CHECK(std::holds_alternative<std::monostate>(platform::decode(makeItem("my/leader", "x"))));
}

TEST_CASE("A malformed target entry is rejected")
{
    struct Case {
        const char* field;
        nlohmann::json value;
    };
    const Case cases[] = { { "service", 4 }, { "address", "nowhere" }, { "address", "10.0.0.1:0" }, { "zone", nullptr }, { "version", 1 }, { "slots", "2" }, { "slots", 0 }, { "slots", 1.5 },
        { "state", "sleeping" }, { "state", 1 }, { "warmup_left_ms", "0" }, { "sequence", "4" }, { "sequence", 4.5 }, { "born", 1.5 }, { "born", "now" } };
    for (const Case& each : cases) {
        INFO(each.field << " = " << each.value.dump());
        nlohmann::json entry = validEntry();
        entry[each.field] = each.value;
        CHECK_THROWS_AS(platform::decode(makeItem("servers/i-1", entry.dump())), platform::MalformedDocument);
    }
    for (const char* field : { "service", "address", "zone", "version", "slots", "state", "warmup_left_ms", "sequence" }) {
        INFO("without " << field);
        nlohmann::json entry = validEntry();
        entry.erase(field);
        CHECK_THROWS_AS(platform::decode(makeItem("servers/i-1", entry.dump())), platform::MalformedDocument);
    }
    for (const char* bytes : { "", "{", "[]", "\xff\xfe", "null", "{\"service\":" })
        CHECK_THROWS_AS(platform::decode(makeItem("servers/i-1", bytes)), platform::MalformedDocument);
}

TEST_CASE("A target entry with extreme values is rejected")
{
    for (const auto& [name, value] : oddEntries(validEntry())) {
        INFO(name);
        CHECK_THROWS_AS(platform::decode(makeItem("servers/i-1", value)), platform::MalformedDocument);
    }
}

TEST_CASE("An item of the store that can't be read doesn't keep the other items of a reply from being read")
{
    for (const char* odd : { "{\"key\":7,\"value\":\"\",\"revision\":4}", "{\"key\":\"servers/odd\",\"revision\":4}", "{\"key\":\"servers/odd\",\"value\":\"dg==\",\"revision\":-4}", "17" }) {
        INFO(odd);
        std::string body = "{\"items\":[" + std::string(odd) + ",{\"key\":\"servers/good\",\"value\":\"dg==\",\"revision\":5}],\"has_more\":false,\"as_of\":9}";
        StoreResult result = platform::parseStoreResult(StoreRead(), 200, "", body);
        REQUIRE(result.kind == StoreResult::Kind::Items);
        REQUIRE(result.items.size() == 1);
        CHECK(result.items[0].key == "servers/good");
        CHECK(result.unreadableItems == 1);
        CHECK_FALSE(result.cause.empty());
    }
}

TEST_CASE("Evacuations and removed target entries are decoded as different changes")
{
    auto begins = platform::decode(makeItem("op/evacuate/a", "{}"));
    REQUIRE(std::get_if<platform::Evacuation>(&begins));
    CHECK(std::get<platform::Evacuation>(begins).active);
    auto ends = platform::decode({ "op/evacuate/a", "", 9, true });
    CHECK_FALSE(std::get<platform::Evacuation>(ends).active);
    auto gone = platform::decode({ "servers/i-1", "", 9, true });
    CHECK(std::get<platform::TargetRemoved>(gone).name == TargetName("i-1"));
}

TEST_CASE("The store's replies are decoded, and invalid ones yield a failure with a cause")
{
    StoreRead page;
    StoreRead watch;
    watch.kind = StoreRead::Kind::Watch;
    watch.afterRevision = 41;
    watch.wait = std::chrono::milliseconds(1500);
    CHECK(platform::storePath(watch) == "/api/kv-watch?prefix=&after=41&wait_ms=1500");
    page.afterKey = "servers/i 1";
    CHECK(platform::storePath(page) == "/api/kv-range?prefix=&after=servers/i%201");
    nlohmann::json valid = { { "items", { { { "key", "k" }, { "value", "dmFsdWU=" }, { "revision", 3 }, { "created", 3 }, { "lease", 0 } } } }, { "has_more", true }, { "as_of", 9 } };
    StoreResult result = platform::parseStoreResult(page, 200, "", valid.dump());
    CHECK(result.kind == StoreResult::Kind::Items);
    CHECK(result.items.at(0).value == "value");
    CHECK(result.hasMore);
    CHECK(result.revision == 9);
    CHECK(platform::parseStoreResult(watch, 410, "", "").kind == StoreResult::Kind::HistoryLost);
    nlohmann::json events = { { "events", { { { "key", "k" }, { "revision", 4 }, { "removed", true } } } }, { "as_of", 10 } };
    result = platform::parseStoreResult(watch, 200, "", events.dump());
    CHECK(result.kind == StoreResult::Kind::Changes);
    CHECK(result.items.at(0).removed);
    for (unsigned status : { 429U, 503U, 404U, 500U }) {
        result = platform::parseStoreResult(watch, status, "", "");
        CHECK(result.kind == StoreResult::Kind::Failed);
        CHECK_FALSE(result.cause.empty());
    }
    for (const char* body : { "", "{", "{}", "{\"items\":[{}],\"has_more\":false,\"as_of\":-1}", "{\"items\":[{}],\"has_more\":false}", "{\"items\":1}" })
        CHECK(platform::parseStoreResult(StoreRead(), 200, "", body).kind == StoreResult::Kind::Failed);
}

TEST_CASE("Names of the platform's protocol occur only in the platform folder")
{
    const HeaderNames& dialect = platform::headerNames();
    const std::vector<std::string> words { dialect.requestId, dialect.deadline, dialect.targetName, dialect.notRun, dialect.signature, dialect.subRequestSignatures, dialect.missingShards, dialect.readinessPath,
        "kv-range", "kv-watch", "op/config", "op/evacuate", "warmup_left_ms", "warmup_per_s", "max_attempts", "min_coverage", "top_k", "fanout", "X-Pimentopoint-", "PIMENTOPOINT_BOOT" };
    for (const char* folder : { "Pimentopoint", "daemons", "cli", "examples" }) {
        for (const auto& entry : std::filesystem::recursive_directory_iterator(std::filesystem::path(PIMENTOPOINT_SOURCE) / folder)) {
            if (!entry.is_regular_file())
                continue;
            std::ifstream file(entry.path());
            std::stringstream text;
            text << file.rdbuf();
            for (const std::string& word : words) {
                INFO(entry.path() << " contains " << word);
                CHECK(text.str().find(word) == std::string::npos);
            }
        }
    }
}
