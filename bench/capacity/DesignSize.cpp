#include "DesignSize.h"

#include <Pimentopoint/Operator>
#include <iostream>

namespace pimentopoint::bench {

using namespace std::chrono_literals;

std::string makeConfiguration(std::size_t targetCount, std::uint64_t version, std::size_t gatewaysPerDataCentre, bool moved)
{
    ConfigurationBuilder builder { ConfigurationVersion(version) };
    for (std::size_t i = 0; i < static_cast<std::size_t>(dataCentres); ++i) {
        DataCentre dataCentre { DataCentreName(dataCentreName(i)), "region" + std::to_string(i % 3) };
        for (std::size_t gateway = 0; gateway < gatewaysPerDataCentre; ++gateway)
            dataCentre.addGateway(MemberName("gateway-" + std::to_string(i) + "-" + std::to_string(gateway)));
        builder.addDataCentre(dataCentre);
    }
    builder.addTargetSet(TargetSet("servers").setSlots(6).setConnections(50).setConnectTime(6ms).setColdLimit(2));
    std::vector<std::vector<std::string>> shards(targetCount / 3);
    for (std::size_t i = 0; i < targetCount; ++i) {
        std::string name = "server-" + std::to_string(i);
        bool changed = moved && i == targetCount / 2;
        builder.addTarget(name, Endpoint("10." + std::to_string(i / 256 % 256) + "." + std::to_string(i % 256) + (changed ? ".9" : ".1"), 8080), dataCentreName(i));
        if (i / 3 < shards.size())
            shards[i / 3].push_back(name);
    }
    std::size_t shard = 0;
    std::size_t group = 0;
    while (shard < shards.size()) {
        std::size_t count = std::min<std::size_t>(250, shards.size() - shard);
        std::string name = "index-" + std::to_string(group++);
        builder.addShardGroup(name, SnapshotVersion(1), { shards.begin() + static_cast<std::ptrdiff_t>(shard), shards.begin() + static_cast<std::ptrdiff_t>(shard + count) });
        builder.addSearchFront(name + "-front", name, [](SearchFront& front) { front.setDeadline(59ms).setLatencyObjective(59ms); });
        shard += count;
    }
    return builder.print();
}

void printRow(const std::vector<std::string>& cells)
{
    std::cout << "|";
    for (const std::string& cell : cells)
        std::cout << " " << cell << " |";
    std::cout << "\n";
}

} // namespace pimentopoint::bench
