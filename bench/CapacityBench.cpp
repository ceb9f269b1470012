/// \file
/// Measures the cost slopes of the system and prints docs/CAPACITY.md; scripts/capacity updates that page.
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
              << "Resources that the design needs at its design size: 750 nodes, 3,100 servers, 150,000 queries per second to 250 servers each\n"
              << "(37.5 million sub-queries per second), 59 ms at the 99th percentile, 3 regions, 7 data centres, 440 changes per day that are active within 11 s,\n"
              << "and for control at most 4.3% of a core, 32 MB and 3 KB/s per node. Every figure is derived from the slopes below, which were measured on one\n"
              << "machine of 8 cores in the run that printed this page. The tables at the end of the page contain the verdicts.\n\n"
              << "A residual is the largest deviation from the fitted line over the largest value and shows the noise of its column.\n\n## Measured slopes\n\n";
    MembershipMeasurements membership = measureMembership();
    measureBursts();
    DocumentMeasurements documents = measureDocuments();
    SubQueryMeasurements subQuery;
    measureWire(subQuery);
    measureFront(subQuery);
    measureGateway(subQuery);
    measureExchange(subQuery);
    measureTickets(subQuery);
    double reads = measurePlatform();

    double perNode = subQueriesPerSecond / nodes;
    double frontMicroseconds = subQuery.frontSeconds.slope() * 1e6;
    double gatewayMicroseconds = subQuery.gatewaySeconds.slope() * 1e6 + subQuery.exchangeSeconds * 1e6;
    double gateways = nodes;
    double exchangesPerThread = 1 / subQuery.exchangeSeconds;
    double gatewaysPerDataCentre = gateways / dataCentres;
    double serversPerDataCentre = servers / dataCentres;
    // With three replicas per shard over 7 data centres, the local data centre holds a replica of 3 in 7 shards; others are queried for the rest.
    double gatewaysPerQuery = std::min(shardsPerQuery, gatewaysPerDataCentre * 3);
    double batchSize = shardsPerQuery / gatewaysPerQuery;
    double wireBytes = (subQuery.batchBytes.at(batchSize) + subQuery.replyBytes.at(batchSize)) / batchSize;
    double cores = perNode * (frontMicroseconds + gatewayMicroseconds) * 1e-6;
    double queryCapacity = coresPerNode / ((frontMicroseconds + gatewayMicroseconds) * 1e-6) * nodes / shardsPerQuery;
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
    printRow({ "requirement", "derived", "allowed", "from", "margin", "verdict", "implemented by" });
    printRow({ "---", "---", "---", "---", "---", "---", "---" });
    printRow({ "bytes per second, sent plus received", formatNumber(bytes, 0), formatNumber(allowedBytesPerSecond, 0), "probes + restarts + document pieces", margin(bytes, allowedBytesPerSecond), verdict(bytes <= allowedBytesPerSecond), "Membership (bounded probes and updates), DocumentPieces" });
    printRow({ "fraction of a core", formatNumber(core * 100, 3) + "%", "4.3%", "membership + parsing a change", margin(core, allowedCoreFraction), verdict(core <= allowedCoreFraction), "Membership, ConfigurationReader, ShareTable" });
    printRow({ "heap, MB", formatNumber(heap / 1048576, 2), "32", "records + two configurations", margin(heap / 1048576, allowedMegabytes), verdict(heap / 1048576 <= allowedMegabytes), "MemberRecord, Configuration" });
    printRow({ "seconds until a change is active", formatNumber(membership.secondsUntilActive.at(nodes), 2), "11", "propagation between members, watch held open", margin(membership.secondsUntilActive.at(nodes), allowedSecondsUntilActive), verdict(membership.secondsUntilActive.at(nodes) <= allowedSecondsUntilActive), "two watchers per data centre, Notice, Probe" });
    printRow({ "reads of the platform per second, all nodes", formatNumber(reads), "2000", "14 watchers + slow reads", margin(reads, allowedReadsPerSecond), verdict(reads <= allowedReadsPerSecond), "PlatformReadScheduler" });
    printRow({ "configuration document, KB", formatNumber(documents.documentBytes.at(servers) / 1024, 0), "1024", "bytes per target", margin(documents.documentBytes.at(servers) / 1024, 1024), verdict(documents.documentBytes.at(servers) < 1048576), "ConfigurationText" });
    std::cout << "\n## Data, at 150,000 queries per second\n\n";
    printRow({ "requirement", "derived", "allowed", "from", "margin", "verdict" });
    printRow({ "---", "---", "---", "---", "---", "---" });
    printRow({ "sub-queries per second and node", formatNumber(perNode, 0), "", "37.5 million / 750", "", "" });
    printRow({ "front, us of a core per sub-query", formatNumber(frontMicroseconds, 2), "", "slope", "", "" });
    printRow({ "gateway with exchange, us of a core per sub-query", formatNumber(gatewayMicroseconds, 2), "", "slopes", "", "" });
    printRow({ "cores per node, both roles", formatNumber(cores), formatNumber(coresPerNode, 0), "sum x rate", margin(cores, coresPerNode), verdict(cores <= coresPerNode) });
    printRow({ "queries per second that 750 nodes of 8 cores can process", formatNumber(queryCapacity, 0), formatNumber(queriesPerSecond, 0), "8 cores / sum", formatNumber(queryCapacity / queriesPerSecond, 2) + "x", verdict(queryCapacity >= queriesPerSecond) });
    printRow({ "client threads that a gateway needs", formatNumber(perNode / exchangesPerThread), formatNumber(clientThreads, 0), "rate x us of an exchange", margin(perNode / exchangesPerThread, clientThreads), verdict(perNode <= exchangesPerThread * clientThreads) });
    printRow({ "queries per second at which those threads are saturated", formatNumber(exchangesPerThread * clientThreads * nodes / shardsPerQuery, 0), formatNumber(queriesPerSecond, 0), "threads x 750 / 250", formatNumber(exchangesPerThread * clientThreads * nodes / shardsPerQuery / queriesPerSecond, 2) + "x", verdict(perNode <= exchangesPerThread * clientThreads) });
    printRow({ "maximum exchanges per second in this run, with the stand-ins on the same cores", formatNumber(subQuery.maxExchangesPerSecond, 0), formatNumber(perNode, 0), "table above", formatNumber(subQuery.maxExchangesPerSecond / perNode, 2) + "x", subQuery.maxExchangesPerSecond >= perNode ? "holds" : "not reached on this machine" });
    printRow({ "gateways that one query involves", formatNumber(gatewaysPerQuery, 0), "", "gateways of 3 data centres, at most one per shard", "", "" });
    printRow({ "sub-queries in a batch", formatNumber(batchSize, 2), "", "250 / gateways involved", "", "" });
    printRow({ "bytes per sub-query between processes", formatNumber(wireBytes, 0), "", "fitted line at the batch size", "", "" });
    printRow({ "Mbit/s per node between processes", formatNumber(wireBytes * perNode * 2 * 8 / 1e6, 0), "not stated", "both roles", "", "not measured" });
    printRow({ "TCP connections a front holds", formatNumber(gateways, 0), "", "one per gateway", "", "" });
    printRow({ "connections at a target, per owner", formatNumber(slotsPerTarget / 2, 0) + " of " + formatNumber(connectionsPerTarget / 2, 0), "", "share of slots", "", "holds" });
    printRow({ "targets a gateway owns", formatNumber(2 * serversPerDataCentre / gatewaysPerDataCentre, 0), "", "two owners per target", "", "" });
    printRow({ "sub-queries per second at one target", formatNumber(targetRate, 0), "", "37.5 million / 3,100", "", "" });
    printRow({ "service time that 6 slots allow, ms", formatNumber(serviceMilliseconds, 2), "", "slots / rate", "", "depends on the servers" });
    printRow({ "sub-queries that may take longer than 59 ms, per million", formatNumber(subQueryTail, 0), "", "1 - 0.99^(1/250)", "", "not measured at size" });
    printRow({ "admission state, KB per target at its gateway", formatNumber(subQuery.admissionBytes / 1024), "", "heap", "", "" });
    printRow({ "router of a front for 3,100 targets, MB", formatNumber(subQuery.routerBytes / 1048576, 2), "", "heap", "", "" });
    printRow({ "bytes per ticket", formatNumber(subQuery.ticketBytes, 0), "", "heap", "", "" });
    std::cout << "\n## Roles\n\n";
    printRow({ "role", "state", "messages", "processor time", "memory" });
    printRow({ "---", "---", "---", "---", "---" });
    printRow({ "front", "an estimate per target, a run per query, tickets for 2 min", "batches to " + formatNumber(gatewaysPerQuery, 0) + " gateways per query", formatNumber(perNode * frontMicroseconds * 1e-6) + " cores", formatNumber(subQuery.routerBytes / 1048576, 2) + " MB + " + formatNumber(subQuery.ticketBytes, 0) + " B per ticket" });
    printRow({ "gateway", "admission state per owned target", "replies, exchanges", formatNumber(perNode * gatewayMicroseconds * 1e-6) + " cores", formatNumber(2 * serversPerDataCentre / gatewaysPerDataCentre * subQuery.admissionBytes / 1024, 0) + " KB" });
    printRow({ "watcher", "the documents", "2 watches, renewed every 2 s", "as a member", "as a member" });
    printRow({ "member", "a record per member", "1 probe per second, updates of changes", formatNumber(core * 100, 3) + "% of a core", formatNumber(heap / 1048576, 2) + " MB" });
    std::cout << "\n## Bursts\n\n"
              << "- 750 nodes reconnect to the platform: see the reads in the busiest second above; later reads are spread over 30 s and retries of the watchers over 4 s.\n"
              << "- A rack of 20 nodes lost, a region partitioned and healed, a rolling restart: see the bursts of membership above. While the loss or return of a region\n"
              << "  propagates, a node exceeds the allowed 3 KB/s for minutes; datagrams of some 1.2 KB at one probe per second and member bound the excess. The restarts were\n"
              << "  measured on the members that had been partitioned, while updates about the end of the partition still propagated, and their bytes include these updates; restarts alone were not measured.\n"
              << "- A data centre taken out of service and put back: one change of configuration each, distributed as above; no share moves, since shares are fixed among the gateways of a data centre.\n"
              << "- A rolling restart: a gateway that starts treats its targets as cold, and hints from the fronts end that with the first reply of normal latency.\n\n"
              << "## First limits, and what would raise them\n\n"
              << "1. Processor time of the data path. One node would need " << formatNumber(cores) << " of its 8 cores; 750 such nodes process " << formatNumber(queryCapacity, 0)
              << " queries per second if they use the whole machine. The most expensive step is the exchange with the target (" << formatNumber(subQuery.exchangeSeconds * 1e6)
              << " us of a core, " << formatNumber(1 / subQuery.exchangeSeconds / 1000) << " thousand per second and client thread; a gateway has " << formatNumber(clientThreads, 0) << " on " << formatNumber(coresPerNode, 0)
              << " cores). Several sub-queries of one target in one request would raise the limit; the targets' protocol would have to allow that.\n"
              << "2. Batches. With " << formatNumber(gatewaysPerDataCentre, 0) << " gateways per data centre a batch contains " << formatNumber(batchSize, 2)
              << " sub-queries, so most of a frame is its header. Owners chosen such that the replicas of neighbouring shards share a gateway, and fewer, larger gateways would raise the limit.\n"
              << "3. The servers. 37.5 million sub-queries per second over 3,100 servers are " << formatNumber(targetRate, 0) << " per second each; with 6 slots each must complete in " << formatNumber(serviceMilliseconds, 2)
              << " ms. The design of the query tier can't change that.\n"
              << "4. Tail latency. For 99 of 100 queries of 250 sub-queries within 59 ms, at most " << formatNumber(subQueryTail, 0) << " of a million sub-queries may take longer. If a fraction h of the sub-queries takes longer, hedges reduce it to about h squared; PathBench measures that with one straggler in fifty, not at this size.\n"
              << "5. Membership updates of a region. When 322 of 750 nodes are partitioned, it takes minutes until every member considers every member across the partition dead, and as long after\n"
              << "   its end, with more bytes than allowed. Fronts exclude an unresponsive gateway by its connection within 0.4 s, so queries don't wait for these updates; but a gateway that is\n"
              << "   considered dead gets no queries until the update on its return arrives. One record for the state of a region instead of one per member, or fewer transmissions of each update would raise the limit.\n\n"
              << "Not measured: loss and delay between regions, 750 real processes, network cards.\n";
    return 0;
}
