#include "ControlSlopes.h"

#include "SimulatedMembers.h"

#include <Pimentopoint/Operator>
#include <Pimentopoint/Platform>
#include <Pimentopoint/Target>
#include <iostream>

namespace pimentopoint::bench {

namespace {

    /// Cost of a burst of membership updates.
    struct BurstCost {
        double seconds = 0;
        double bytes = 0; ///< Per live member.
        double busiestSecond = 0; ///< Bytes per live member in the second with the most traffic.
        bool settled = false;
    };

    BurstCost measureBurst(const char* name, SimulatedMembers& members, Duration timeout, const std::function<bool()>& condition)
    {
        constexpr Duration interval = 1s;
        BurstCost cost;
        std::uint64_t before = members.bytes;
        double count = members.liveCount();
        for (Duration elapsed(0); elapsed < timeout; elapsed += interval) {
            std::uint64_t atStart = members.bytes;
            members.step(interval);
            cost.busiestSecond = std::max(cost.busiestSecond, 2.0 * static_cast<double>(members.bytes - atStart) / count);
            cost.seconds += std::chrono::duration<double>(interval).count();
            cost.settled = condition();
            if (cost.settled)
                break;
        }
        cost.bytes = 2.0 * static_cast<double>(members.bytes - before) / count;
        printRow({ name, cost.settled ? formatNumber(cost.seconds, 0) : "not within " + formatNumber(cost.seconds, 0), formatNumber(cost.bytes / cost.seconds, 0), formatNumber(cost.busiestSecond, 0) });
        return cost;
    }

} // namespace

MembershipMeasurements measureMembership()
{
    MembershipMeasurements measurements;
    std::cout << "### Membership\n\nSimulated members that exchange datagrams in memory on a manual clock; bytes are sent plus received and include 28 bytes of UDP and IP headers.\n\n";
    printRow({ "members", "bytes/s idle", "core idle", "heap KB", "bytes per restart", "bytes per change", "s until the last member has a change" });
    printRow({ "---", "---", "---", "---", "---", "---", "---" });
    for (std::size_t count : { 50U, 200U, 400U, 750U }) {
        SimulatedMembers members(count);
        constexpr double seconds = 20;
        double cpu = threadCpuSeconds();
        members.step(20s);
        double core = (threadCpuSeconds() - cpu) / seconds / static_cast<double>(count);
        double idle = 2.0 * static_cast<double>(members.bytes) / seconds / static_cast<double>(count);
        members.bytes = 0;
        constexpr std::size_t restarts = 4;
        for (std::size_t i = 0; i < restarts; ++i) {
            members.restart(10 + i);
            members.step(10s);
        }
        double perEvent = (2.0 * static_cast<double>(members.bytes) / static_cast<double>(count) - idle * 40) / restarts;
        members.step(20s);
        members.bytes = 0;
        Instant published = members.now();
        for (std::size_t dataCentre = 0; dataCentre < static_cast<std::size_t>(dataCentres); ++dataCentre)
            members.setVersion(dataCentre, 7);
        members.step(10s);
        double perChange = 2.0 * static_cast<double>(members.bytes) / static_cast<double>(count) - idle * 10;
        Duration slowest(0);
        for (Instant adopted : members.adoptedAt)
            slowest = std::max(slowest, adopted - published);
        double secondsUntilActive = static_cast<double>(slowest.count()) * 1e-6;
        double size = static_cast<double>(count);
        measurements.bytesPerSecond.add(size, idle);
        measurements.coreFraction.add(size, core);
        measurements.heapBytes.add(size, members.bytesPerMember);
        measurements.bytesPerRestart.add(size, std::max(perEvent, 0.0));
        measurements.bytesPerVersionChange.add(size, std::max(perChange, 0.0));
        measurements.secondsUntilActive.add(size, secondsUntilActive);
        printRow({ std::to_string(count), formatNumber(idle, 0), formatNumber(core * 100, 4) + "%", formatNumber(members.bytesPerMember / 1024), formatNumber(perEvent, 0), formatNumber(perChange, 0), formatNumber(secondsUntilActive, 2) });
    }
    printRow({ "residual", formatNumber(measurements.bytesPerSecond.residual() * 100, 0) + "%", formatNumber(measurements.coreFraction.residual() * 100, 0) + "%", formatNumber(measurements.heapBytes.residual() * 100, 0) + "%",
        formatNumber(measurements.bytesPerRestart.residual() * 100, 0) + "%", formatNumber(measurements.bytesPerVersionChange.residual() * 100, 0) + "%", formatNumber(measurements.secondsUntilActive.residual() * 100, 0) + "%" });
    std::cout << "\n";
    return measurements;
}

void measureBursts()
{
    std::cout << "### Bursts of membership\n\n750 simulated members; bytes per second and member, sent plus received, until every live member agrees.\n\n";
    printRow({ "event", "s until all agree", "bytes/s", "bytes in the busiest second" });
    printRow({ "---", "---", "---", "---" });
    constexpr Duration timeout = 600s;
    constexpr std::size_t first = 20;
    constexpr std::size_t rack = 20;
    auto count = static_cast<std::size_t>(nodes);
    {
        SimulatedMembers members(count);
        members.stopMembers(first, first + rack);
        measureBurst("a rack of 20 lost", members, timeout, [&] { return members.allObserve([&](std::size_t, std::size_t subject) { return subject >= first && subject < first + rack; }, MemberState::Dead); });
    }
    SimulatedMembers members(count);
    auto across = [](std::size_t viewer, std::size_t subject) { return SimulatedMembers::inPartitionedRegion(viewer) != SimulatedMembers::inPartitionedRegion(subject); };
    members.setPartitioned(true);
    measureBurst("a region partitioned", members, timeout, [&] { return members.allObserve(across, MemberState::Dead); });
    members.setPartitioned(false);
    measureBurst("the partition healed", members, timeout, [&] { return members.allObserve(across, MemberState::Alive); });
    std::size_t next = 0;
    // 750 restarts within an hour are one every 4.8 s.
    constexpr Duration between = 4800ms;
    std::uint64_t before = members.bytes;
    constexpr int restarts = 25;
    for (int i = 0; i < restarts; ++i) {
        members.restart(100 + next++);
        members.step(between);
    }
    double seconds = restarts * std::chrono::duration<double>(between).count();
    printRow({ "a rolling restart within an hour", "", formatNumber(2.0 * static_cast<double>(members.bytes - before) / nodes / seconds, 0), "" });
    std::cout << "\n";
}

DocumentMeasurements measureDocuments()
{
    DocumentMeasurements measurements;
    std::cout << "### Configuration\n\nOne document with three targets per shard, 250 shards per group and 107 gateways per data centre.\n\n";
    printRow({ "targets", "document KB", "read ms", "heap KB", "KB sent per change", "share table ms" });
    printRow({ "---", "---", "---", "---", "---", "---" });
    for (std::size_t targets : { 300U, 1000U, 2000U, 3100U }) {
        std::string text = makeConfiguration(targets, 1, gatewaysInDataCentre);
        HeapUsage heapBefore = heapUsage();
        double cpu = threadCpuSeconds();
        ConfigurationPointer configuration = readConfiguration(text);
        double read = threadCpuSeconds() - cpu;
        double heap = static_cast<double>(heapUsage().bytes - heapBefore.bytes) + static_cast<double>(text.size());
        cpu = threadCpuSeconds();
        ShareTable shares(*configuration);
        double share = threadCpuSeconds() - cpu;
        DocumentStore outdated;
        DocumentStore updated;
        outdated.offer(DocumentKind::Configuration, text);
        updated.offer(DocumentKind::Configuration, makeConfiguration(targets, 2, gatewaysInDataCentre, true));
        DocumentRequest request = outdated.request(DocumentKind::Configuration);
        double transfer = static_cast<double>(encodeFrame(request).size() + encodeFrame(updated.reply(request)).size());
        double size = static_cast<double>(targets);
        measurements.documentBytes.add(size, static_cast<double>(text.size()));
        measurements.readSeconds.add(size, read);
        measurements.heapBytes.add(size, heap);
        measurements.transferBytes.add(size, transfer);
        measurements.shareTableSeconds.add(size, share);
        printRow({ std::to_string(targets), formatNumber(static_cast<double>(text.size()) / 1024), formatNumber(read * 1e3), formatNumber(heap / 1024), formatNumber(transfer / 1024), formatNumber(share * 1e3) });
    }
    printRow({ "residual", formatNumber(measurements.documentBytes.residual() * 100, 0) + "%", formatNumber(measurements.readSeconds.residual() * 100, 0) + "%", formatNumber(measurements.heapBytes.residual() * 100, 0) + "%",
        formatNumber(measurements.transferBytes.residual() * 100, 0) + "%", formatNumber(measurements.shareTableSeconds.residual() * 100, 0) + "%" });
    std::cout << "\n";
    return measurements;
}

double measurePlatform()
{
    std::cout << "### Reads from the platform\n\n";
    printRow({ "processes", "reads in the busiest second of a common start during an outage", "reads/s after it" });
    printRow({ "---", "---", "---" });
    double steadyRate = 0;
    for (std::size_t count : { 50U, 200U, 750U }) {
        ManualClock clock;
        std::vector<PlatformReadScheduler> watches;
        for (std::size_t i = 0; i < count; ++i)
            watches.emplace_back(PlatformTiming(), i, clock.now());
        std::size_t maxReads = 0;
        std::size_t after = 0;
        for (int second = 0; second < 180; ++second) {
            std::size_t reads = 0;
            for (int step = 0; step < 10; ++step) {
                clock.advance(100ms);
                for (std::size_t i = 0; i < count; ++i) {
                    bool watcher = i < 2 * static_cast<std::size_t>(dataCentres);
                    for (const PlatformRead& read : watches[i].startDueReads(clock.now(), watcher)) {
                        ++reads;
                        watches[i].recordResult(read.kind, second < 60 ? PlatformReadScheduler::Result::Failed : PlatformReadScheduler::Result::Unchanged, clock.now() + read.wait, watcher);
                    }
                }
            }
            maxReads = std::max(maxReads, reads);
            after += second >= 120 ? reads : 0;
        }
        steadyRate = static_cast<double>(after) / 60;
        printRow({ std::to_string(count), std::to_string(maxReads), formatNumber(steadyRate) });
    }
    std::cout << "\n";
    return steadyRate;
}

} // namespace pimentopoint::bench
