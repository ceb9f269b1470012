#include <Pimentopoint/Core>
#include <Pimentopoint/Operator>
#include <Pimentopoint/Peer>
#include <Pimentopoint/Target>
#include <array>
#include <catch2/catch.hpp>
#include <cstdio>
#include <fstream>
#include <sstream>
#include <thread>

using namespace pimentopoint;
using Catch::Matchers::Contains;

namespace {

std::string sample(std::uint64_t version, const std::string& region = "r")
{
    ConfigurationBuilder builder { ConfigurationVersion(version) };
    builder.addDataCentre(DataCentre(DataCentreName("a"), region).addGateway(MemberName("g1")).addGateway(MemberName("g2")));
    builder.addTargetSet(TargetSet("s").setSlots(5).setConnections(8).setColdLimit(3));
    for (std::uint16_t i = 0; i < 200; ++i)
        builder.addTarget("t" + std::to_string(i), Endpoint("127.0.0.1", static_cast<std::uint16_t>(1000 + i)), "a");
    builder.addShardGroup("g", SnapshotVersion(1), { { "t0", "t1" }, { "t2" }, { "t3" } });
    builder.addSearchFront("f", "g");
    return builder.print();
}

std::string replaced(std::string text, const std::string& from, const std::string& to)
{
    std::size_t position = text.find(from);
    REQUIRE(position != std::string::npos);
    return text.replace(position, from.size(), to);
}

std::string errorMessage(const std::string& text)
{
    try {
        readConfiguration(text, "file");
    } catch (const InvalidDocument& invalid) {
        return invalid.what();
    }
    return "accepted";
}

} // namespace

TEST_CASE("A printed configuration is read and printed again without changes")
{
    std::string text = sample(3);
    CHECK(printConfiguration(*readConfiguration(text)) == text);
}

TEST_CASE("An invalid configuration is rejected with the line, path, found value and allowed values")
{
    struct Row {
        const char* from;
        const char* to;
        const char* expected;
    };
    const auto row = GENERATE(Row { "version: 3", "version: 0", "file:2: version: found 0, allowed: 1 to" },
        Row { "slots: 5", "slotz: 5", "slotz: found an unknown key, allowed: nearest known key is slots" },
        Row { "connectTime: 0s", "connectTime: 5", "found 5, allowed: 0s to 1s, with a unit" },
        Row { "coldLimit: 3", "coldLimit: 6", "coldLimit: found 6, allowed: 1 to 5" },
        Row { "{name: t1, address: 127.0.0.1:1001", "{name: t0, address: 127.0.0.1:1001", "t0 (duplicate)" },
        Row { "127.0.0.1:1001", "localhost:1001", "an IPv4 address and a port" }, Row { "127.0.0.1:1001", "127.0.0.1:1000", "a unique address" },
        Row { "dataCentre: a}", "dataCentre: z}", "found z, allowed: the name of a data centre" },
        Row { "targets: [t0, t1]", "targets: [t0, nowhere]", "found nowhere, allowed: the name of a target" },
        Row { "targets: [t0, t1]", "targets: []", "found no target, allowed: at least one" },
        Row { "begin: 1431655765,", "begin: 1431655766,", "the end of the previous shard" }, Row { "shardGroup: g", "shardGroup: h", "the name of a shard group" },
        Row { "urgency: ordinary", "urgency: soon", "one of ordinary, urgent" }, Row { "extraSends: 5%", "extraSends: 500%", "0% to 100%" },
        Row { "deadline: 200ms", "deadline: -1ms", "found -1ms" }, Row { "deadline: 200ms", "deadline: 11s", "found 11s" },
        Row { "gateways: [g1, g2]", "gateways: []", "at least one gateway" }, Row { "gateways: [g1, g2]", "gateways: [g1, g1]", "a unique name" },
        Row { "snapshot: 1", "snapshot: &x 1", "an anchor" }, Row { "snapshot: 1", "snapshot: [[[[[[[[[[[[[[[[[[1]]]]]]]]]]]]]]]]]]", "nesting too deep" },
        Row { "pimentopoint: 1", "pimentopoint: 2", "pimentopoint: found 2, allowed: 1 to 1" }, Row { "pimentopoint: 1", "pimentopoint: {", "valid YAML" });
    CHECK_THAT(errorMessage(replaced(sample(3), row.from, row.to)), Contains(row.expected));
}

TEST_CASE("An invalid document is rejected with all of its problems at once")
{
    std::string text = replaced(replaced(sample(3), "slots: 5", "slots: x"), "urgency: ordinary", "urgency: soon");
    try {
        readConfiguration(text);
        FAIL("accepted");
    } catch (const InvalidDocument& invalid) {
        CHECK(invalid.problems().size() >= 2);
    }
}

TEST_CASE("A document that is empty, larger than 1 MiB, deeply nested or has cyclic aliases is rejected before it is loaded")
{
    CHECK_THAT(errorMessage(std::string((1 << 20) + 1, ' ')), Contains("at most 1048576"));
    CHECK_THAT(errorMessage("a: &a [*a]\n"), Contains("anchor"));
    CHECK_THAT(errorMessage(std::string(100000, '[')), Contains("allowed"));
    CHECK_THAT(errorMessage(""), Contains("one YAML document"));
}

TEST_CASE("Settings with unknown or missing keys are rejected")
{
    std::string text = "name: f1\ndataCentre: a\nlisten: {http: 127.0.0.1:1, tcp: 127.0.0.1:2, udp: 127.0.0.1:3}\nmembers: []\nplatform: 127.0.0.1:4\n";
    CHECK(Settings::read(text, "s").name() == MemberName("f1"));
    CHECK_THROWS_AS(Settings::read(text + "colour: red\n", "s"), InvalidDocument);
    CHECK_THROWS_AS(Settings::read("name: f1\n", "s"), InvalidDocument);
}

TEST_CASE("A document store adopts only newer valid documents and reports conflicts")
{
    DocumentStore store;
    CHECK(store.offer(DocumentKind::Configuration, sample(2)).adoption == Adoption::Adopted);
    CHECK(store.offer(DocumentKind::Configuration, sample(2)).adoption == Adoption::NotNewer);
    CHECK(store.offer(DocumentKind::Configuration, sample(1)).adoption == Adoption::NotNewer);
    CHECK(store.offer(DocumentKind::Configuration, sample(2, "other")).adoption == Adoption::Conflict);
    CHECK(store.activeDocuments().configuration->dataCentres().front().region() == "r");
    CHECK(store.offer(DocumentKind::Configuration, "version: 9").adoption == Adoption::Rejected);
    CHECK(store.version(DocumentKind::Configuration) == 2);
    CHECK(store.offer(DocumentKind::Configuration, sample(4)).adoption == Adoption::Adopted);
    CHECK(store.offer(DocumentKind::Hosts, "version: 1\nhosts: [{name: t0, state: leaving}]\n").adoption == Adoption::Adopted);
    CHECK(store.activeDocuments().hosts->leaving(targetIdOf(TargetName("t0"))));
}

TEST_CASE("Offering the same document from several threads concurrently reports no conflict")
{
    for (int round = 0; round < 20; ++round) {
        DocumentStore store;
        std::array<Adoption, 4> results {};
        std::vector<std::thread> sources;
        for (Adoption& result : results)
            sources.emplace_back([&] { result = store.offer(DocumentKind::Configuration, sample(2)).adoption; });
        for (std::thread& source : sources)
            source.join();
        for (Adoption result : results)
            CHECK(result != Adoption::Conflict);
    }
}

TEST_CASE("A newer document is transferred between processes as its changed pieces")
{
    DocumentStore older;
    DocumentStore newer;
    older.offer(DocumentKind::Configuration, sample(1));
    newer.offer(DocumentKind::Configuration, replaced(sample(2), "127.0.0.1:1100", "127.0.0.1:9100"));
    DocumentReply reply = newer.reply(older.request(DocumentKind::Configuration));
    std::size_t sent = 0;
    for (const DocumentReply::Piece& piece : reply.pieces)
        sent += piece.text.size();
    CHECK(sent < newer.text(DocumentKind::Configuration).size() / 2);
    CHECK(older.accept(reply).adoption == Adoption::Adopted);
    CHECK(older.text(DocumentKind::Configuration) == newer.text(DocumentKind::Configuration));
    DocumentStore empty;
    CHECK(empty.accept(reply).adoption == Adoption::Rejected);
    CHECK(empty.accept(newer.reply(empty.request(DocumentKind::Configuration))).adoption == Adoption::Adopted);
    CHECK(newer.reply(newer.request(DocumentKind::Configuration)).pieces.empty());
}

TEST_CASE("The shares of a target sum to its limits for any number of gateways")
{
    for (std::size_t gateways = 1; gateways <= 5; ++gateways) {
        ConfigurationBuilder builder { ConfigurationVersion(1) };
        DataCentre dataCentre { DataCentreName("a"), "r" };
        for (std::size_t i = 0; i < gateways; ++i)
            dataCentre.addGateway(MemberName("g" + std::to_string(i)));
        builder.addDataCentre(dataCentre);
        for (std::uint32_t slots = 1; slots <= 6; ++slots) {
            for (std::uint32_t cold = 1; cold <= slots; ++cold) {
                std::string name = std::to_string(slots) + "-" + std::to_string(cold);
                builder.addTargetSet(TargetSet(name).setSlots(slots).setConnections(slots + 3).setColdLimit(cold));
                builder.addTarget(name, Endpoint("127.0.0.1", static_cast<std::uint16_t>(slots * 100 + cold)), "a");
            }
        }
        builder.addShardGroup("g", SnapshotVersion(1), { { "1-1" } }).addSearchFront("f", "g");
        ConfigurationPointer configuration = builder.build();
        ShareTable table(*configuration);
        for (const Target& target : configuration->targets()) {
            std::uint32_t slots = 0;
            std::uint32_t cold = 0;
            std::uint32_t connections = 0;
            for (const ShareTable::Owner& owner : table.owners(target.id())) {
                slots += owner.share.slots();
                cold += owner.share.coldLimit();
                connections += owner.share.connections();
                CHECK(owner.share.coldLimit() >= 1);
            }
            CHECK(slots == configuration->limits(target).slots());
            CHECK(cold == configuration->limits(target).coldLimit());
            CHECK(connections == configuration->limits(target).connections());
        }
    }
}

TEST_CASE("The example programs print the YAML documents in examples")
{
    const std::array<std::string, 2> names { "nkansah", "zarqa" };
    for (const std::string& name : names) {
        std::FILE* pipe = popen((std::string(PIMENTOPOINT_BINARIES) + "/example-" + name).c_str(), "r");
        REQUIRE(pipe);
        std::string printed;
        std::array<char, 4096> buffer {};
        while (std::size_t count = std::fread(buffer.data(), 1, buffer.size(), pipe))
            printed.append(buffer.data(), count);
        CHECK(pclose(pipe) == 0);
        std::ifstream file(std::string(PIMENTOPOINT_SOURCE) + "/examples/" + name + ".yaml");
        std::stringstream expected;
        expected << file.rdbuf();
        CHECK(printed == expected.str());
    }
}
