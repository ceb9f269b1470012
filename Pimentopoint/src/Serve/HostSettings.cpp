#include "HostSettings.h"

#include "../Operator/DocumentReader.h"
#include "../Operator/InvalidDocument.h"
#include "../Operator/StructureGuard.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// Sockets and files beside those of callers and hosts: targets, platform, members, log; half of the descriptors where there are few.
    constexpr std::size_t ownDescriptors = 600;
    /// One of so many of the rest is for other hosts: each keeps a few connections, and callers many more.
    constexpr std::size_t hostPart = 8;
    std::size_t forOthers(std::size_t descriptors) { return descriptors - std::min(descriptors / 2, ownDescriptors); }

} // namespace

std::size_t HostSettings::callerConnections() const
{
    return forOthers(descriptors) - hostConnections();
}

std::size_t HostSettings::hostConnections() const
{
    return forOthers(descriptors) / hostPart;
}

HostSettings HostSettings::read(const std::string& text, const std::string& source)
{
    constexpr std::uint64_t leastDescriptors = 64;
    constexpr std::uint64_t mostDescriptors = 1 << 20;
    constexpr Duration shortest = std::chrono::milliseconds(100);
    constexpr Duration longest = std::chrono::minutes(10);
    constexpr double mostSlack = 1e6;
    constexpr double leastProcessor = 0.001;
    constexpr double mostCores = 1024;
    Problems problems = internal::checkStructure(text);
    if (!problems.empty())
        throw InvalidDocument(source, problems);
    internal::DocumentReader root(YAML::Load(text), "", problems);
    root.allowKeys({ "name", "dataCentre", "listen", "members", "platform", "descriptors", "processor", "times", "repeats", "logLevel" });
    HostSettings settings;
    settings.name = MemberName(root.text("name"));
    settings.dataCentre = DataCentreName(root.text("dataCentre"));
    root.section("listen", [&](internal::DocumentReader& listen) {
        listen.allowKeys({ "callers", "readiness", "members", "aggregation" });
        settings.callers = listen.endpoint("callers");
        settings.readiness = listen.endpoint("readiness");
        settings.members = listen.endpoint("members");
        if (listen.has("aggregation"))
            settings.aggregation = listen.endpoint("aggregation");
    });
    root.eachScalar("members", [&](const std::string& value, int line, const std::string& path) {
        auto endpoint = Endpoint::parse(value);
        if (endpoint)
            settings.seeds.push_back(*endpoint);
        else
            problems.emplace_back(line, path, value, "an IPv4 number and a port, as in 127.0.0.1:8100");
    });
    settings.platform = root.endpoint("platform");
    settings.descriptors = root.number("descriptors", leastDescriptors, mostDescriptors, settings.descriptors);
    if (root.has("processor")) {
        root.section("processor", [&](internal::DocumentReader& processor) {
            processor.allowKeys({ "cores", "share" });
            settings.cores = processor.real("cores", leastProcessor, mostCores, 1) * processor.real("share", leastProcessor, 1, 1);
        });
    }
    if (root.has("times")) {
        root.section("times", [&](internal::DocumentReader& times) {
            times.allowKeys({ "stop", "news", "leaving" });
            settings.stopTime = times.duration("stop", shortest, longest, settings.stopTime);
            settings.newsTime = times.duration("news", shortest, longest, settings.newsTime);
            settings.leavingTime = times.duration("leaving", shortest, longest, settings.leavingTime);
        });
    }
    if (root.has("repeats")) {
        root.section("repeats", [&](internal::DocumentReader& repeats) {
            repeats.allowKeys({ "ratio", "slack", "window" });
            settings.repeatRatio = repeats.real("ratio", 0, 1, settings.repeatRatio);
            settings.repeatWindow = repeats.duration("window", shortest, longest, settings.repeatWindow);
            settings.repeatSlack = repeats.real("slack", 0, mostSlack, settings.repeatSlack);
        });
    }
    settings.logLevel = static_cast<int>(root.choice("logLevel", { "info", "warning", "error" }, 0));
    if (!problems.empty())
        throw InvalidDocument(source, problems);
    return settings;
}

} // namespace pimentopoint
