/// \file
/// Prints the configuration of Nkansah Tinworks Collective.
#include "Fleet.h"

#include <iostream>

using namespace pimentopoint;
using namespace std::chrono_literals;

int main()
{
    ConfigurationBuilder builder { ConfigurationVersion(1) };
    builder.addDataCentre(DataCentre(DataCentreName("adum"), "ashanti").addGateway(MemberName("adum-g1")).addGateway(MemberName("adum-g2")));
    builder.addDataCentre(DataCentre(DataCentreName("bantama"), "ashanti").addGateway(MemberName("bantama-g1")).addGateway(MemberName("bantama-g2")));
    builder.addDataCentre(DataCentre(DataCentreName("suame"), "ashanti").addGateway(MemberName("suame-g1")));
    examples::Fleet fleet(builder, { "adum", "bantama", "suame" }, 21000);
    auto kitchen = fleet.add(TargetSet("kitchen").setSlots(6).setConnections(50).setConnectTime(6ms).setColdLimit(2), 10, 3);
    auto courier = fleet.add(TargetSet("courier").setSlots(6).setConnections(50).setConnectTime(6ms).setColdLimit(2), 15, 3);
    auto joblog = fleet.add(TargetSet("joblog").setSlots(2).setConnections(100).setConnectTime(1ms).setColdLimit(1), 25, 2);
    auto invoice = fleet.add(TargetSet("invoice").setSlots(2).setConnections(100).setConnectTime(1ms).setColdLimit(1), 12, 2);
    builder.addShardGroup("kitchen", SnapshotVersion(1), kitchen).addShardGroup("courier", SnapshotVersion(1), courier);
    builder.addShardGroup("joblog", SnapshotVersion(1), joblog).addShardGroup("invoice", SnapshotVersion(1), invoice);
    auto coverageFirst = [](SearchFront& front) { front.setPreference(Preference::Coverage).setDeadline(400ms).setEnoughCoverage(Fraction(1)); };
    builder.addSearchFront("kitchen-portal", "kitchen", [&](SearchFront& front) {
        coverageFirst(front);
        front.setUrgency(Urgency::Urgent);
    });
    builder.addSearchFront("retinning-log", "joblog", coverageFirst).addSearchFront("invoices", "invoice", coverageFirst);
    builder.addSearchFront("courier-pickup", "courier", [](SearchFront& front) { front.setIdempotent(false).setDeadline(400ms); });
    std::cout << builder.print();
}
