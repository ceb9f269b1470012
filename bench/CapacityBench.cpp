/// \file
/// Measures slopes and prints docs/CAPACITY.md: bench/CapacityBench > docs/CAPACITY.md (or scripts/capacity).
#include "capacity/ControlSlopes.h"
#include "capacity/DataSlopes.h"
#include "capacity/Size.h"

#include <algorithm>
#include <cmath>
#include <iostream>

using namespace pimentopoint::bench;

namespace {

std::string verdict(bool holds) { return holds ? "holds" : "**does not**"; }

std::string margin(double derived, double allowed) { return number(allowed / std::max(derived, 1e-9), 1) + "x"; }

} // namespace

int main()
{
    std::cout << "<!-- Printed by bench/CapacityBench through scripts/capacity; edit the bench, not this page. -->\n"
              << "# Capacity\n\n"
              << "What today's design needs at the size to design for: 750 nodes, 3,100 servers, 150,000 queries a second to 250 servers each\n"
              << "(37.5 million sub-queries a second), 59 ms for 99 in 100, 3 regions, 7 data centres, 440 changes a day in force within 11 s, control\n"
              << "at most 4.3% of a core, 32 MB and 3 KB/s per node. Every figure is worked out from the slopes below, measured on one machine of 8\n"
              << "cores in the run that printed this page. The tables at the end of the page hold the verdicts.\n\n"
              << "A residual is the largest deviation from the fitted line over the largest value: the noise of its column.\n\n## Measured slopes\n\n";
    MembershipFigures membership = measureMembership();
    measureBursts();
    DocumentFigures documents = measureDocuments();
    SubQueryFigures sub;
    measureWire(sub);
    measureFront(sub);
    measureGateway(sub);
    measureExchange(sub);
    measureTickets(sub);
    double reads = measurePlatform();

    double perNode = subQueriesPerSecond / nodes;
    double frontMicroseconds = sub.frontSeconds.slope() * 1e6;
    double gatewayMicroseconds = sub.gatewaySeconds.slope() * 1e6 + sub.exchangeSeconds * 1e6;
    double gateways = nodes;
    double exchangesPerThread = 1 / sub.exchangeSeconds;
    double gatewaysPerDataCentre = gateways / dataCentres;
    double serversPerDataCentre = servers / dataCentres;
    // A home data centre holds one of three replicas of a shard for 7 data centres in 3 of 7 cases; the rest is asked next door.
    double gatewaysPerQuery = std::min(shardsPerQuery, gatewaysPerDataCentre * 3);
    double batchSize = shardsPerQuery / gatewaysPerQuery;
    double wireBytes = (sub.batchBytes.at(batchSize) + sub.replyBytes.at(batchSize)) / batchSize;
    double cores = perNode * (frontMicroseconds + gatewayMicroseconds) * 1e-6;
    double carried = coresPerNode / ((frontMicroseconds + gatewayMicroseconds) * 1e-6) * nodes / shardsPerQuery;
    double eventRate = eventsPerDay / secondsPerDay;
    double changeRate = changesPerDay / secondsPerDay;
    double bytes = membership.bytesPerSecond.at(nodes) + membership.bytesPerEvent.at(nodes) * eventRate
        + (documents.transferBytes.at(servers) * 2 + membership.versionBytes.at(nodes)) * changeRate;
    double core = membership.coreShare.at(nodes) + (documents.readSeconds.at(servers) + documents.shareSeconds.at(servers)) * changeRate;
    double heap = membership.heapBytes.at(nodes) + 2 * documents.heapBytes.at(servers);
    double targetRate = subQueriesPerSecond / servers;
    double serviceMilliseconds = slotsPerTarget / targetRate * 1000;
    double subQueryTail = (1 - std::pow(0.99, 1 / shardsPerQuery)) * 1e6;

    std::cout << "## Control, per node at 750 nodes\n\n";
    row({ "requirement", "derived", "allowed", "from", "margin", "verdict", "carried by" });
    row({ "---", "---", "---", "---", "---", "---", "---" });
    row({ "bytes a second, sent plus received", number(bytes, 0), number(allowedBytesPerSecond, 0), "probes + restarts + document pieces", margin(bytes, allowedBytesPerSecond), verdict(bytes <= allowedBytesPerSecond), "Membership (bounded probes and news), DocumentPieces" });
    row({ "share of a core", number(core * 100, 3) + "%", "4.3%", "membership + reading a change", margin(core, allowedCore), verdict(core <= allowedCore), "Membership, ConfigurationReader, ShareTable" });
    row({ "heap, MB", number(heap / 1048576, 2), "32", "records + two configurations", margin(heap / 1048576, allowedMegabytes), verdict(heap / 1048576 <= allowedMegabytes), "MemberRecord, Configuration" });
    row({ "seconds until a change is in force", number(membership.secondsInForce.at(nodes), 2), "11", "spread over the wire, watch held open", margin(membership.secondsInForce.at(nodes), allowedSecondsInForce), verdict(membership.secondsInForce.at(nodes) <= allowedSecondsInForce), "two watchers a data centre, Notice, Probe" });
    row({ "reads of the platform a second, all nodes", number(reads), "2000", "14 watchers + slow reads", margin(reads, allowedReadsPerSecond), verdict(reads <= allowedReadsPerSecond), "PlatformWatch" });
    row({ "configuration document, KB", number(documents.documentBytes.at(servers) / 1024, 0), "1024", "bytes per target", margin(documents.documentBytes.at(servers) / 1024, 1024), verdict(documents.documentBytes.at(servers) < 1048576), "ConfigurationText" });
    std::cout << "\n## Data, at 150,000 queries a second\n\n";
    row({ "requirement", "derived", "allowed", "from", "margin", "verdict" });
    row({ "---", "---", "---", "---", "---", "---" });
    row({ "sub-queries a second and node", number(perNode, 0), "", "37.5 million / 750", "", "" });
    row({ "front, us of a core per sub-query", number(frontMicroseconds, 2), "", "slope", "", "" });
    row({ "gateway with exchange, us of a core per sub-query", number(gatewayMicroseconds, 2), "", "slopes", "", "" });
    row({ "cores a node, both roles", number(cores), number(coresPerNode, 0), "sum x rate", margin(cores, coresPerNode), verdict(cores <= coresPerNode) });
    row({ "queries a second that 750 nodes of 8 cores carry", number(carried, 0), number(queriesPerSecond, 0), "8 cores / sum", number(carried / queriesPerSecond, 2) + "x", verdict(carried >= queriesPerSecond) });
    row({ "client threads that a gateway needs", number(perNode / exchangesPerThread), number(clientThreads, 0), "rate x us of an exchange", margin(perNode / exchangesPerThread, clientThreads), verdict(perNode <= exchangesPerThread * clientThreads) });
    row({ "queries a second at which those threads are full", number(exchangesPerThread * clientThreads * nodes / shardsPerQuery, 0), number(queriesPerSecond, 0), "threads x 750 / 250", number(exchangesPerThread * clientThreads * nodes / shardsPerQuery / queriesPerSecond, 2) + "x", verdict(perNode <= exchangesPerThread * clientThreads) });
    row({ "most exchanges a second in this run, the stand-ins on the same cores", number(sub.mostExchangesPerSecond, 0), number(perNode, 0), "table above", number(sub.mostExchangesPerSecond / perNode, 2) + "x", sub.mostExchangesPerSecond >= perNode ? "holds" : "not reached on this machine" });
    row({ "gateways that one query meets", number(gatewaysPerQuery, 0), "", "3 data centres' gateways, at most one a shard", "", "" });
    row({ "sub-queries in a batch", number(batchSize, 2), "", "250 / gateways met", "", "" });
    row({ "bytes per sub-query between processes", number(wireBytes, 0), "", "line at the batch size", "", "" });
    row({ "Mbit/s a node between processes", number(wireBytes * perNode * 2 * 8 / 1e6, 0), "not stated", "both roles", "", "not measured" });
    row({ "TCP connections a front holds", number(gateways, 0), "", "one a gateway", "", "" });
    row({ "connections at a target, per owner", number(slotsPerTarget / 2, 0) + " of " + number(connectionsPerTarget / 2, 0), "", "share of slots", "", "holds" });
    row({ "targets a gateway owns", number(2 * serversPerDataCentre / gatewaysPerDataCentre, 0), "", "two owners a target", "", "" });
    row({ "sub-queries a second at one target", number(targetRate, 0), "", "37.5 million / 3,100", "", "" });
    row({ "service time that 6 slots allow, ms", number(serviceMilliseconds, 2), "", "slots / rate", "", "the servers' side" });
    row({ "sub-queries that may be later than 59 ms, per million", number(subQueryTail, 0), "", "1 - 0.99^(1/250)", "", "not measured at size" });
    row({ "lane, KB a target at its gateway", number(sub.laneBytes / 1024), "", "heap", "", "" });
    row({ "board of a front for 3,100 targets, MB", number(sub.boardBytes / 1048576, 2), "", "heap", "", "" });
    row({ "bytes a ticket", number(sub.ticketBytes, 0), "", "heap", "", "" });
    std::cout << "\n## Roles\n\n";
    row({ "role", "state", "messages", "processor time", "memory" });
    row({ "---", "---", "---", "---", "---" });
    row({ "front", "memo a target, a run a query, tickets for 2 min", "batches to " + number(gatewaysPerQuery, 0) + " gateways a query", number(perNode * frontMicroseconds * 1e-6) + " cores", number(sub.boardBytes / 1048576, 2) + " MB + " + number(sub.ticketBytes, 0) + " B a ticket" });
    row({ "gateway", "lane a target owned", "replies, exchanges", number(perNode * gatewayMicroseconds * 1e-6) + " cores", number(2 * serversPerDataCentre / gatewaysPerDataCentre * sub.laneBytes / 1024, 0) + " KB" });
    row({ "watcher", "the documents", "2 watches, renewed every 2 s", "as a member", "as a member" });
    row({ "member", "a record a member", "1 probe a second, news of changes", number(core * 100, 3) + "% of a core", number(heap / 1048576, 2) + " MB" });
    std::cout << "\n## Bursts\n\n"
              << "- 750 nodes find the platform again: see the reads in the busiest second above; later reads are spread over 30 s and watchers' retries over 4 s.\n"
              << "- A rack of 20 nodes gone, a region cut and back, a rolling restart: see the bursts of membership above. While a region's cut or return spreads,\n"
              << "  a node sends and receives more than the 3 KB/s allowed, for minutes; datagrams of some 1.2 KB at a probe a second and member bound it. The restarts were\n"
              << "  measured on the members of the cut, while the news of its return still spread, which their bytes include; alone they were not measured.\n"
              << "- A data centre out and back: one change of configuration each way, with its distribution above; no share moves, since shares are fixed among the gateways of a data centre.\n"
              << "- A rolling restart: each gateway's targets start cold at the gateway, and hints from the fronts end that with the first usual reply.\n\n"
              << "## What breaks first, and what would carry it\n\n"
              << "1. Processor time of the data path. One node would need " << number(cores) << " of its 8 cores; 750 such nodes carry " << number(carried, 0)
              << " queries a second with the whole machine given to them. The largest part is the exchange with the target (" << number(sub.exchangeSeconds * 1e6)
              << " us of a core, " << number(1 / sub.exchangeSeconds / 1000) << " thousand a second and client thread; a gateway has " << number(clientThreads, 0) << " on " << number(coresPerNode, 0)
              << " cores). What would carry more: several sub-queries of one target in one request, which needs the targets' protocol to allow it.\n"
              << "2. Batches. With " << number(gatewaysPerDataCentre, 0) << " gateways a data centre a batch holds " << number(batchSize, 2)
              << " sub-queries, so most of a frame is its head. What would carry it: owners chosen so that the replicas of neighbouring shards share a gateway, and fewer, larger gateways.\n"
              << "3. The servers. 37.5 million sub-queries a second over 3,100 servers are " << number(targetRate, 0) << " a second each; with 6 slots each must be done in " << number(serviceMilliseconds, 2)
              << " ms. No design of the query tier changes that sum.\n"
              << "4. The tail. For 99 of 100 queries of 250 sub-queries within 59 ms, at most " << number(subQueryTail, 0) << " of a million sub-queries may be later. Hedges bring a share h of late ones to about h times their own; the bench measures that with one straggler in fifty, not at this size.\n"
              << "5. News of a region. A cut of 322 of 750 nodes takes minutes until every member holds every other for dead, and its return as long, over the bytes allowed. Fronts leave\n"
              << "   out a silent gateway by its connection in 0.4 s, so queries do not wait for that news; but a gateway held for dead is not asked until the news of its\n"
              << "   return arrives. What would carry it: one record for a region's state instead of one a member, or fewer sends of each piece of news.\n\n"
              << "Not measured: loss and delay between regions, 750 real processes, network cards.\n";
    return 0;
}
