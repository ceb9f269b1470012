#include "ConfigurationReader.h"

#include "../Core/util/Constants.h"

#include <algorithm>

namespace pimentopoint::internal {

namespace {

    constexpr std::uint64_t maxSlots = 1024;
    constexpr std::uint64_t maxConnections = 65536;
    constexpr Duration minDuration = std::chrono::milliseconds(1);
    constexpr std::uint64_t maxVersion = ~std::uint64_t(0) >> 1;

} // namespace

Configuration::Contents ConfigurationReader::read(const YAML::Node& node)
{
    DocumentReader root(node, "", m_problems);
    root.allowKeys({ "pimentopoint", "version", "dataCentres", "targetSets", "shardGroups", "searchFronts" });
    root.number("pimentopoint", 1, 1);
    m_contents.version = ConfigurationVersion(root.number("version", 1, maxVersion));
    root.forEachItem("dataCentres", [this](DocumentReader& reader) { readDataCentre(reader); });
    root.forEachItem("targetSets", [this](DocumentReader& reader) { readTargetSet(reader); });
    root.forEachItem("shardGroups", [this](DocumentReader& reader) { readShardGroup(reader); });
    root.forEachItem("searchFronts", [this](DocumentReader& reader) { readSearchFront(reader); });
    checkGateways(root);
    return std::move(m_contents);
}

void ConfigurationReader::requireUnique(DocumentReader& reader, const std::string& kind, const std::string& name)
{
    if (!m_usedNames.emplace(kind + "/" + name, 0).second)
        reader.addProblem("name", name + " (duplicate)", "a unique name");
}

void ConfigurationReader::readDataCentre(DocumentReader& reader)
{
    reader.allowKeys({ "name", "region", "state", "gateways" });
    DataCentre dataCentre(DataCentreName(reader.text("name")), reader.text("region"));
    requireUnique(reader, "data centre", dataCentre.name().value());
    dataCentre.setTakenOut(reader.choice("state", { "in", "out" }, 0) == 1);
    reader.forEachScalar("gateways", [&](const std::string& name, int line, const std::string& path) {
        if (!m_usedNames.emplace("gateway/" + name, 0).second)
            m_problems.emplace_back(line, path, name + " (duplicate)", "a unique name");
        dataCentre.addGateway(MemberName(name));
    });
    m_contents.dataCentres.push_back(std::move(dataCentre));
}

void ConfigurationReader::readTargetSet(DocumentReader& reader)
{
    reader.allowKeys({ "name", "slots", "connections", "connectTime", "coldLimit", "targets" });
    TargetSet set(reader.text("name"));
    requireUnique(reader, "target set", set.name());
    set.setSlots(static_cast<std::uint32_t>(reader.number("slots", 1, maxSlots)));
    set.setConnections(static_cast<std::uint32_t>(reader.number("connections", set.slots(), maxConnections)));
    set.setConnectTime(reader.duration("connectTime", Duration(0), std::chrono::seconds(1), Duration(0)));
    set.setColdLimit(static_cast<std::uint32_t>(reader.number("coldLimit", 1, set.slots(), 1)));
    std::size_t index = m_contents.targetSets.size();
    m_contents.targetSets.push_back(std::move(set));
    reader.forEachItem("targets", [this, index](DocumentReader& item) { readTarget(item, index); });
}

void ConfigurationReader::readTarget(DocumentReader& reader, std::size_t set)
{
    reader.allowKeys({ "name", "address", "dataCentre" });
    TargetName name(reader.text("name"));
    Endpoint endpoint = reader.endpoint("address");
    DataCentreName dataCentre(reader.text("dataCentre"));
    requireUnique(reader, "target", name.value());
    requireUnique(reader, "target id", std::to_string(targetIdOf(name).value()));
    if (!endpoint.empty() && !m_usedNames.emplace("address/" + endpoint.text(), 0).second)
        reader.addProblem("address", endpoint.text() + " (duplicate)", "a unique address");
    if (!m_usedNames.contains("data centre/" + dataCentre.value()))
        reader.addProblem("dataCentre", dataCentre.value(), "the name of a data centre");
    m_targets.emplace(name, targetIdOf(name));
    m_contents.targets.emplace_back(std::move(name), std::move(endpoint), std::move(dataCentre), set);
}

void ConfigurationReader::readShardGroup(DocumentReader& reader)
{
    reader.allowKeys({ "name", "snapshot", "shards" });
    ShardGroup group(reader.text("name"), SnapshotVersion(reader.number("snapshot", 1, maxVersion)));
    requireUnique(reader, "shard group", group.name());
    std::uint64_t covered = 0;
    reader.forEachItem("shards", [&](DocumentReader& item) { readShard(item, group, covered); });
    if (covered != keySpaceEnd)
        reader.addProblem("shards", "ranges up to " + std::to_string(covered), "ranges that end at " + std::to_string(keySpaceEnd));
    m_groupIndex.emplace(group.name(), m_contents.shardGroups.size());
    m_contents.shardGroups.push_back(std::move(group));
}

void ConfigurationReader::readShard(DocumentReader& reader, ShardGroup& group, std::uint64_t& covered)
{
    reader.allowKeys({ "begin", "end", "targets" });
    std::uint64_t begin = reader.number("begin", 0, keySpaceEnd - 1);
    std::uint64_t end = reader.number("end", begin + 1, keySpaceEnd);
    if (begin != covered)
        reader.addProblem("begin", std::to_string(begin), std::to_string(covered) + ", the end of the previous shard");
    covered = end;
    std::vector<TargetId> replicas;
    reader.forEachScalar("targets", [&](const std::string& name, int line, const std::string& path) {
        auto found = m_targets.find(TargetName(name));
        if (found == m_targets.end()) {
            m_problems.emplace_back(line, path, name, "the name of a target");
            return;
        }
        if (std::find(replicas.begin(), replicas.end(), found->second) != replicas.end())
            m_problems.emplace_back(line, path, name + " (duplicate)", "each target at most once per shard");
        replicas.push_back(found->second);
    });
    if (replicas.empty())
        reader.addProblem("targets", "no target", "at least one target");
    group.addShard(Shard(KeyRange(begin, end), std::move(replicas)));
}

void ConfigurationReader::readSearchFront(DocumentReader& reader)
{
    reader.allowKeys({ "name", "shardGroup", "urgency", "repeatable", "weighs", "deadline", "latencyObjective",
        "enoughCoverage", "extraSends", "objective" });
    std::string group = reader.text("shardGroup");
    auto found = m_groupIndex.find(group);
    if (found == m_groupIndex.end())
        reader.addProblem("shardGroup", group, "the name of a shard group");
    SearchFront front(SearchFrontName(reader.text("name")), found == m_groupIndex.end() ? 0 : found->second);
    requireUnique(reader, "search front", front.name().value());
    const SearchFront defaults = front;
    front.setUrgency(static_cast<Urgency>(reader.choice("urgency", { "ordinary", "urgent" }, 0)));
    front.setIdempotent(reader.boolean("repeatable", true));
    front.setPreference(static_cast<Preference>(reader.choice("weighs", { "coverage", "latency" }, 0)));
    front.setDeadline(reader.duration("deadline", minDuration, maxDeadline));
    Duration objective = std::min(defaults.latencyObjective(), front.deadline());
    front.setLatencyObjective(reader.duration("latencyObjective", minDuration, front.deadline(), objective));
    front.setEnoughCoverage(reader.fraction("enoughCoverage", defaults.enoughCoverage()));
    front.setExtraAttemptRatio(reader.fraction("extraSends", defaults.extraAttemptRatio()));
    front.setObjective(reader.fraction("objective", defaults.objective()));
    m_contents.searchFronts.push_back(std::move(front));
}

void ConfigurationReader::checkGateways(DocumentReader& root)
{
    for (const DataCentre& dataCentre : m_contents.dataCentres) {
        auto inDataCentre = [&](const Target& target) { return target.dataCentre() == dataCentre.name(); };
        bool hasTargets = std::any_of(m_contents.targets.begin(), m_contents.targets.end(), inDataCentre);
        if (hasTargets && dataCentre.gateways().empty())
            root.addProblem("dataCentres", dataCentre.name().value() + " with targets but without a gateway", "at least one gateway");
    }
}

} // namespace pimentopoint::internal
