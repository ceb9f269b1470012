/// \file
/// Measures slopes and prints docs/CAPACITY.md: bench/CapacityBench > docs/CAPACITY.md (or scripts/capacity).
#include "capacity/ControlSlopes.h"
#include "capacity/DataSlopes.h"
#include "capacity/DesignSize.h"

#include <algorithm>
#include <cmath>
#include <iostream>

using namespace pimentopoint::bench;

namespace {

std::string verdict(bool holds) { return holds ? "holds" : "**does not**"; }

std::string margin(double derived, double allowed) { return formatNumber(allowed / std::max(derived, 1e-9), 1) + "x"; }

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
    MembershipMeasurements membership = measureMembership();
    measureBursts();
    DocumentMeasurements documents = measureDocuments();
    SubQueryMeasurements sub;
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
    double bytes = membership.bytesPerSecond.at(nodes) + membership.bytesPerRestart.at(nodes) * eventRate
        + (documents.transferBytes.at(servers) * 2 + membership.bytesPerVersionChange.at(nodes)) * changeRate;
    double core = membership.coreFraction.at(nodes) + (documents.readSeconds.at(servers) + documents.shareTableSeconds.at(servers)) * changeRate;
    double heap = membership.heapBytes.at(nodes) + 2 * documents.heapBytes.at(servers);
    double targetRate = subQueriesPerSecond / servers;
    double serviceMilliseconds = slotsPerTarget / targetRate * 1000;
    double subQueryTail = (1 - std::pow(0.99, 1 / shardsPerQuery)) * 1e6;

    std::cout << "## Control, per node at 750 nodes\n\n";
    printRow({ "requirement", "derived", "allowed", "from", "margin", "verdict", "carried by" });
    printRow({ "---", "---", "---", "---", "---", "---", "---" });
    printRow({ "bytes a second, sent plus received", formatNumber(bytes, 0), formatNumber(allowedBytesPerSecond, 0), "probes + restarts + document pieces", margin(bytes, allowedBytesPerSecond), verdict(bytes <= allowedBytesPerSecond), "Membership (bounded probes and news), DocumentPieces" });
    printRow({ "share of a core", formatNumber(core * 100, 3) + "%", "4.3%", "membership + reading a change", margin(core, allowedCoreFraction), verdict(core <= allowedCoreFraction), "Membership, ConfigurationReader, ShareTable" });
    printRow({ "heap, MB", formatNumber(heap / 1048576, 2), "32", "records + two configurations", margin(heap / 1048576, allowedMegabytes), verdict(heap / 1048576 <= allowedMegabytes), "MemberRecord, Configuration" });
    printRow({ "seconds until a change is in force", formatNumber(membership.secondsUntilActive.at(nodes), 2), "11", "spread over the wire, watch held open", margin(membership.secondsUntilActive.at(nodes), allowedSecondsUntilActive), verdict(membership.secondsUntilActive.at(nodes) <= allowedSecondsUntilActive), "two watchers a data centre, Notice, Probe" });
    printRow({ "reads of the platform a second, all nodes", formatNumber(reads), "2000", "14 watchers + slow reads", margin(reads, allowedReadsPerSecond), verdict(reads <= allowedReadsPerSecond), "PlatformWatch" });
    printRow({ "configuration document, KB", formatNumber(documents.documentBytes.at(servers) / 1024, 0), "1024", "bytes per target", margin(documents.documentBytes.at(servers) / 1024, 1024), verdict(documents.documentBytes.at(servers) < 1048576), "ConfigurationText" });
    std::cout << "\n## Data, at 150,000 queries a second\n\n";
    printRow({ "requirement", "derived", "allowed", "from", "margin", "verdict" });
    printRow({ "---", "---", "---", "---", "---", "---" });
    printRow({ "sub-queries a second and node", formatNumber(perNode, 0), "", "37.5 million / 750", "", "" });
    printRow({ "front, us of a core per sub-query", formatNumber(frontMicroseconds, 2), "", "slope", "", "" });
    printRow({ "gateway with exchange, us of a core per sub-query", formatNumber(gatewayMicroseconds, 2), "", "slopes", "", "" });
    printRow({ "cores a node, both roles", formatNumber(cores), formatNumber(coresPerNode, 0), "sum x rate", margin(cores, coresPerNode), verdict(cores <= coresPerNode) });
    printRow({ "queries a second that 750 nodes of 8 cores carry", formatNumber(carried, 0), formatNumber(queriesPerSecond, 0), "8 cores / sum", formatNumber(carried / queriesPerSecond, 2) + "x", verdict(carried >= queriesPerSecond) });
    printRow({ "client threads that a gateway needs", formatNumber(perNode / exchangesPerThread), formatNumber(clientThreads, 0), "rate x us of an exchange", margin(perNode / exchangesPerThread, clientThreads), verdict(perNode <= exchangesPerThread * clientThreads) });
    printRow({ "queries a second at which those threads are full", formatNumber(exchangesPerThread * clientThreads * nodes / shardsPerQuery, 0), formatNumber(queriesPerSecond, 0), "threads x 750 / 250", formatNumber(exchangesPerThread * clientThreads * nodes / shardsPerQuery / queriesPerSecond, 2) + "x", verdict(perNode <= exchangesPerThread * clientThreads) });
    printRow({ "most exchanges a second in this run, the stand-ins on the same cores", formatNumber(sub.maxExchangesPerSecond, 0), formatNumber(perNode, 0), "table above", formatNumber(sub.maxExchangesPerSecond / perNode, 2) + "x", sub.maxExchangesPerSecond >= perNode ? "holds" : "not reached on this machine" });
    printRow({ "gateways that one query meets", formatNumber(gatewaysPerQuery, 0), "", "3 data centres' gateways, at most one a shard", "", "" });
    printRow({ "sub-queries in a batch", formatNumber(batchSize, 2), "", "250 / gateways met", "", "" });
    printRow({ "bytes per sub-query between processes", formatNumber(wireBytes, 0), "", "line at the batch size", "", "" });
    printRow({ "Mbit/s a node between processes", formatNumber(wireBytes * perNode * 2 * 8 / 1e6, 0), "not stated", "both roles", "", "not measured" });
    printRow({ "TCP connections a front holds", formatNumber(gateways, 0), "", "one a gateway", "", "" });
    printRow({ "connections at a target, per owner", formatNumber(slotsPerTarget / 2, 0) + " of " + formatNumber(connectionsPerTarget / 2, 0), "", "share of slots", "", "holds" });
    printRow({ "targets a gateway owns", formatNumber(2 * serversPerDataCentre / gatewaysPerDataCentre, 0), "", "two owners a target", "", "" });
    printRow({ "sub-queries a second at one target", formatNumber(targetRate, 0), "", "37.5 million / 3,100", "", "" });
    printRow({ "service time that 6 slots allow, ms", formatNumber(serviceMilliseconds, 2), "", "slots / rate", "", "the servers' side" });
    printRow({ "sub-queries that may be later than 59 ms, per million", formatNumber(subQueryTail, 0), "", "1 - 0.99^(1/250)", "", "not measured at size" });
    printRow({ "lane, KB a target at its gateway", formatNumber(sub.admissionBytes / 1024), "", "heap", "", "" });
    printRow({ "board of a front for 3,100 targets, MB", formatNumber(sub.routerBytes / 1048576, 2), "", "heap", "", "" });
    printRow({ "bytes a ticket", formatNumber(sub.ticketBytes, 0), "", "heap", "", "" });
    std::cout << "\n## Roles\n\n";
    printRow({ "role", "state", "messages", "processor time", "memory" });
    printRow({ "---", "---", "---", "---", "---" });
    printRow({ "front", "memo a target, a run a query, tickets for 2 min", "batches to " + formatNumber(gatewaysPerQuery, 0) + " gateways a query", formatNumber(perNode * frontMicroseconds * 1e-6) + " cores", formatNumber(sub.routerBytes / 1048576, 2) + " MB + " + formatNumber(sub.ticketBytes, 0) + " B a ticket" });
    printRow({ "gateway", "lane a target owned", "replies, exchanges", formatNumber(perNode * gatewayMicroseconds * 1e-6) + " cores", formatNumber(2 * serversPerDataCentre / gatewaysPerDataCentre * sub.admissionBytes / 1024, 0) + " KB" });
    printRow({ "watcher", "the documents", "2 watches, renewed every 2 s", "as a member", "as a member" });
    printRow({ "member", "a record a member", "1 probe a second, news of changes", formatNumber(core * 100, 3) + "% of a core", formatNumber(heap / 1048576, 2) + " MB" });
    std::cout << "\n## Bursts\n\n"
              << "- 750 nodes find the platform again: see the reads in the busiest second above; later reads are spread over 30 s and watchers' retries over 4 s.\n"
              << "- A rack of 20 nodes gone, a region cut and back, a rolling restart: see the bursts of membership above. While a region's cut or return spreads,\n"
              << "  a node sends and receives more than the 3 KB/s allowed, for minutes; datagrams of some 1.2 KB at a probe a second and member bound it. The restarts were\n"
              << "  measured on the members of the cut, while the news of its return still spread, which their bytes include; alone they were not measured.\n"
              << "- A data centre out and back: one change of configuration each way, with its distribution above; no share moves, since shares are fixed among the gateways of a data centre.\n"
              << "- A rolling restart: each gateway's targets start cold at the gateway, and hints from the fronts end that with the first usual reply.\n\n"
              << "## What breaks first, and what would carry it\n\n"
              << "1. Processor time of the data path. One node would need " << formatNumber(cores) << " of its 8 cores; 750 such nodes carry " << formatNumber(carried, 0)
              << " queries a second with the whole machine given to them. The largest part is the exchange with the target (" << formatNumber(sub.exchangeSeconds * 1e6)
              << " us of a core, " << formatNumber(1 / sub.exchangeSeconds / 1000) << " thousand a second and client thread; a gateway has " << formatNumber(clientThreads, 0) << " on " << formatNumber(coresPerNode, 0)
              << " cores). What would carry more: several sub-queries of one target in one request, which needs the targets' protocol to allow it.\n"
              << "2. Batches. With " << formatNumber(gatewaysPerDataCentre, 0) << " gateways a data centre a batch holds " << formatNumber(batchSize, 2)
              << " sub-queries, so most of a frame is its head. What would carry it: owners chosen so that the replicas of neighbouring shards share a gateway, and fewer, larger gateways.\n"
              << "3. The servers. 37.5 million sub-queries a second over 3,100 servers are " << formatNumber(targetRate, 0) << " a second each; with 6 slots each must be done in " << formatNumber(serviceMilliseconds, 2)
              << " ms. No design of the query tier changes that sum.\n"
              << "4. The tail. For 99 of 100 queries of 250 sub-queries within 59 ms, at most " << formatNumber(subQueryTail, 0) << " of a million sub-queries may be later. Hedges bring a share h of late ones to about h times their own; the bench measures that with one straggler in fifty, not at this size.\n"
              << "5. News of a region. A cut of 322 of 750 nodes takes minutes until every member holds every other for dead, and its return as long, over the bytes allowed. Fronts leave\n"
              << "   out a silent gateway by its connection in 0.4 s, so queries do not wait for that news; but a gateway held for dead is not asked until the news of its\n"
              << "   return arrives. What would carry it: one record for a region's state instead of one a member, or fewer sends of each piece of news.\n\n"
              << "Not measured: loss and delay between regions, 750 real processes, network cards.\n";
    return 0;
}
