/// \file
/// Prints the configuration of Zarqa Dials Software House.
#include "Fleet.h"

#include <iostream>

using namespace pimentopoint;
using namespace std::chrono_literals;

int main()
{
    ConfigurationBuilder builder { ConfigurationVersion(1) };
    builder.addDataCentre(DataCentre(DataCentreName("amman-east"), "levant").addGateway(MemberName("amman-east-g1")).addGateway(MemberName("amman-east-g2")));
    builder.addDataCentre(DataCentre(DataCentreName("amman-west"), "levant").addGateway(MemberName("amman-west-g1")).addGateway(MemberName("amman-west-g2")));
    builder.addDataCentre(DataCentre(DataCentreName("salt"), "levant").addGateway(MemberName("salt-g1")));
    examples::Fleet fleet(builder, { "amman-east", "amman-west", "salt" }, 22000);
    auto dials = fleet.add(TargetSet("dials").setSlots(2).setConnections(25).setConnectTime(6ms).setColdLimit(1), 10, 3);
    auto invoice = fleet.add(TargetSet("invoice").setSlots(2).setConnections(25).setConnectTime(6ms).setColdLimit(1), 15, 3);
    auto orders = fleet.add(TargetSet("orders").setSlots(3).setConnections(40).setConnectTime(1ms).setColdLimit(1), 5, 2);
    auto jobs = fleet.add(TargetSet("jobs").setSlots(3).setConnections(40).setConnectTime(1ms).setColdLimit(1), 2, 2);
    builder.addShardGroup("dials", SnapshotVersion(1), dials).addShardGroup("invoice", SnapshotVersion(1), invoice);
    builder.addShardGroup("orders", SnapshotVersion(1), orders).addShardGroup("jobs", SnapshotVersion(1), jobs);
    auto latencyFirst = [](SearchFront& front) { front.setPreference(Preference::Latency).setDeadline(200ms).setLatencyObjective(59ms).setEnoughCoverage(Fraction(0.9)); };
    builder.addSearchFront("dial-finder", "dials", [&](SearchFront& front) {
        latencyFirst(front);
        front.setUrgency(Urgency::Urgent);
    });
    builder.addSearchFront("stock", "jobs", [&](SearchFront& front) {
        latencyFirst(front);
        front.setUrgency(Urgency::Urgent);
    });
    builder.addSearchFront("invoices", "invoice", latencyFirst);
    builder.addSearchFront("order-lookup", "orders", [](SearchFront& front) { front.setIdempotent(false).setDeadline(300ms); });
    std::cout << builder.print();
}
