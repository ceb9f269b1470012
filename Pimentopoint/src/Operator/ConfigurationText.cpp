#include "ConfigurationText.h"

#include "../Core/Units.h"
#include "ConfigurationReader.h"
#include "DocumentStructure.h"
#include "InvalidDocument.h"

#include <sstream>

namespace pimentopoint {

ConfigurationPointer readConfiguration(const std::string& text, const std::string& source)
{
    Problems problems = internal::checkStructure(text);
    if (!problems.empty())
        throw InvalidDocument(source, problems);
    Configuration::Contents contents = internal::ConfigurationReader(problems).read(YAML::Load(text));
    if (!problems.empty())
        throw InvalidDocument(source, problems);
    return std::make_shared<const Configuration>(std::move(contents));
}

namespace {

    void printDataCentres(std::ostream& out, const Configuration& configuration)
    {
        out << "dataCentres:\n";
        for (const DataCentre& dataCentre : configuration.dataCentres()) {
            out << "  - {name: " << dataCentre.name() << ", region: " << dataCentre.region()
                << ", state: " << (dataCentre.takenOut() ? "out" : "in") << ", gateways: [";
            const char* separator = "";
            for (const MemberName& gateway : dataCentre.gateways()) {
                out << separator << gateway;
                separator = ", ";
            }
            out << "]}\n";
        }
    }

    void printTargetSets(std::ostream& out, const Configuration& configuration)
    {
        out << "targetSets:\n";
        for (std::size_t i = 0; i < configuration.targetSets().size(); ++i) {
            const TargetSet& set = configuration.targetSets()[i];
            out << "  - name: " << set.name() << "\n    slots: " << set.slots() << "\n    connections: " << set.connections()
                << "\n    connectTime: " << formatDuration(set.connectTime()) << "\n    coldLimit: " << set.coldLimit()
                << "\n    targets:\n";
            for (const Target& target : configuration.targets()) {
                if (target.set() == i)
                    out << "      - {name: " << target.name() << ", address: " << target.endpoint().text()
                        << ", dataCentre: " << target.dataCentre() << "}\n";
            }
        }
    }

    void printShardGroups(std::ostream& out, const Configuration& configuration)
    {
        out << "shardGroups:\n";
        for (const ShardGroup& group : configuration.shardGroups()) {
            out << "  - name: " << group.name() << "\n    snapshot: " << group.snapshot() << "\n    shards:\n";
            for (const Shard& shard : group.shards()) {
                out << "      - {begin: " << shard.range().begin() << ", end: " << shard.range().end() << ", targets: [";
                const char* separator = "";
                for (TargetId replica : shard.replicas()) {
                    out << separator << configuration.target(replica)->name();
                    separator = ", ";
                }
                out << "]}\n";
            }
        }
    }

    void printSearchFronts(std::ostream& out, const Configuration& configuration)
    {
        out << "searchFronts:\n";
        for (const SearchFront& front : configuration.searchFronts()) {
            out << "  - name: " << front.name()
                << "\n    shardGroup: " << configuration.shardGroups()[front.shardGroup()].name()
                << "\n    urgency: " << (front.urgency() == Urgency::Urgent ? "urgent" : "ordinary")
                << "\n    repeatable: " << (front.idempotent() ? "true" : "false")
                << "\n    weighs: " << (front.preference() == Preference::Latency ? "latency" : "coverage")
                << "\n    deadline: " << formatDuration(front.deadline())
                << "\n    latencyObjective: " << formatDuration(front.latencyObjective())
                << "\n    enoughCoverage: " << formatFraction(front.enoughCoverage())
                << "\n    extraSends: " << formatFraction(front.extraAttemptRatio())
                << "\n    objective: " << formatFraction(front.objective()) << "\n";
        }
    }

} // namespace

std::string printConfiguration(const Configuration& configuration)
{
    std::ostringstream out;
    out << "pimentopoint: 1\nversion: " << configuration.version() << "\n";
    printDataCentres(out, configuration);
    printTargetSets(out, configuration);
    printShardGroups(out, configuration);
    printSearchFronts(out, configuration);
    return out.str();
}

} // namespace pimentopoint
