#include "HostSettings.h"

#include "../Operator/DocumentReader.h"
#include "../Operator/DocumentStructure.h"
#include "../Operator/InvalidDocument.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// Descriptors reserved for targets, platform, members and log; half of all descriptors if that is less.
    constexpr std::size_t reservedDescriptors = 600;
    /// The remaining descriptors divided by this are for other hosts: each host keeps a few connections, while callers keep many more.
    constexpr std::size_t hostDivisor = 8;
    std::size_t connectionDescriptors(std::size_t descriptors) { return descriptors - std::min(descriptors / 2, reservedDescriptors); }

} // namespace

std::size_t HostSettings::maxCallerConnections() const
{
    return connectionDescriptors(maxDescriptors) - maxHostConnections();
}

std::size_t HostSettings::maxHostConnections() const
{
    return connectionDescriptors(maxDescriptors) / hostDivisor;
}

HostSettings HostSettings::parse(const std::string& text, const std::string& source)
{
    constexpr std::uint64_t minDescriptors = 64;
    constexpr std::uint64_t maxDescriptorCount = 1 << 20;
    constexpr std::uint64_t minMegabytes = 16;
    constexpr std::uint64_t maxMegabytes = 1 << 20;
    constexpr Duration minTime = std::chrono::milliseconds(100);
    constexpr Duration maxTime = std::chrono::minutes(10);
    constexpr double maxSlack = 1e6;
    constexpr double minProcessor = 0.001;
    constexpr double maxCores = 1024;
    Problems problems = internal::checkStructure(text);
    if (!problems.empty())
        throw InvalidDocument(source, problems);
    internal::DocumentReader root(YAML::Load(text), "", problems);
    root.allowKeys({ "name", "dataCentre", "listen", "members", "platform", "descriptors", "memoryMegabytes", "processor", "times", "repeats", "logLevel" });
    HostSettings settings;
    settings.name = MemberName(root.text("name"));
    settings.dataCentre = DataCentreName(root.text("dataCentre"));
    root.section("listen", [&](internal::DocumentReader& listen) {
        listen.allowKeys({ "callers", "readiness", "members", "aggregation" });
        settings.callerEndpoint = listen.endpoint("callers");
        settings.readinessEndpoint = listen.endpoint("readiness");
        settings.memberEndpoint = listen.endpoint("members");
        if (listen.has("aggregation"))
            settings.aggregationEndpoint = listen.endpoint("aggregation");
    });
    root.forEachScalar("members", [&](const std::string& value, int line, const std::string& path) {
        auto endpoint = Endpoint::parse(value);
        if (endpoint)
            settings.seeds.push_back(*endpoint);
        else
            problems.emplace_back(line, path, value, "an IPv4 address and a port, such as 127.0.0.1:8100");
    });
    settings.platformEndpoint = root.endpoint("platform");
    settings.maxDescriptors = root.number("descriptors", minDescriptors, maxDescriptorCount, settings.maxDescriptors);
    settings.memoryMegabytes = root.number("memoryMegabytes", minMegabytes, maxMegabytes, settings.memoryMegabytes);
    if (root.has("processor")) {
        root.section("processor", [&](internal::DocumentReader& processor) {
            processor.allowKeys({ "cores", "share" });
            settings.cores = processor.real("cores", minProcessor, maxCores, 1) * processor.real("share", minProcessor, 1, 1);
        });
    }
    if (root.has("times")) {
        root.section("times", [&](internal::DocumentReader& times) {
            times.allowKeys({ "stop", "news", "leaving" });
            settings.stopTimeout = times.duration("stop", minTime, maxTime, settings.stopTimeout);
            settings.maxUpdateDelay = times.duration("news", minTime, maxTime, settings.maxUpdateDelay);
            settings.leavingTimeout = times.duration("leaving", minTime, maxTime, settings.leavingTimeout);
        });
    }
    if (root.has("repeats")) {
        root.section("repeats", [&](internal::DocumentReader& repeats) {
            repeats.allowKeys({ "ratio", "slack", "window" });
            settings.extraAttemptRatio = repeats.real("ratio", 0, 1, settings.extraAttemptRatio);
            settings.extraAttemptWindow = repeats.duration("window", minTime, maxTime, settings.extraAttemptWindow);
            settings.extraAttemptSlack = repeats.real("slack", 0, maxSlack, settings.extraAttemptSlack);
        });
    }
    settings.logLevel = static_cast<int>(root.choice("logLevel", { "info", "warning", "error" }, 0));
    if (!problems.empty())
        throw InvalidDocument(source, problems);
    return settings;
}

} // namespace pimentopoint
