/// \file
/// Prints the configuration of scripts/demo: two data centres and six shards of two replicas each.
#include "Fleet.h"

#include <iostream>

using namespace pimentopoint;
using namespace std::chrono_literals;

int main(int argc, char** argv)
{
    auto firstPort = static_cast<std::uint16_t>(argc > 1 ? std::stoi(argv[1]) : 23000);
    ConfigurationBuilder builder { ConfigurationVersion(1) };
    builder.addDataCentre(DataCentre(DataCentreName("east"), "demo").addGateway(MemberName("east-g1")).addGateway(MemberName("east-g2")));
    builder.addDataCentre(DataCentre(DataCentreName("west"), "demo").addGateway(MemberName("west-g1")).addGateway(MemberName("west-g2")));
    examples::Fleet fleet(builder, { "east", "west" }, firstPort);
    auto shards = fleet.add(TargetSet("pans").setSlots(6).setConnections(12).setConnectTime(1ms).setColdLimit(2), 6, 2);
    builder.addShardGroup("pans", SnapshotVersion(1), shards);
    builder.addSearchFront("pans", "pans", [](SearchFront& front) { front.setUrgency(Urgency::Urgent).setDeadline(400ms); });
    builder.addSearchFront("pickup", "pans", [](SearchFront& front) { front.setIdempotent(false).setDeadline(400ms); });
    std::cout << builder.print();
}
