/// \file
/// Commands that work on documents: check, print, diff.
#include "Commands.h"

#include <Pimentopoint/Operator>
#include <Pimentopoint/Target>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <set>
#include <sstream>

namespace pimentopoint::commands {

namespace {

    class UnreadableFile : public Failure {
    public:
        explicit UnreadableFile(const std::string& path)
            : Failure(path + ": cannot be read")
        {
        }
    };

    std::string readFile(const std::string& path)
    {
        std::ifstream file(path);
        if (!file)
            throw UnreadableFile(path);
        std::stringstream content;
        content << file.rdbuf();
        return content.str();
    }

    nlohmann::json problemJson(const std::string& file, const Problem& problem)
    {
        return { { "file", file }, { "line", problem.line() }, { "path", problem.path() }, { "found", problem.found() }, { "allowed", problem.allowed() } };
    }

    std::set<std::string> targetNames(const Configuration& configuration)
    {
        std::set<std::string> names;
        for (const Target& target : configuration.targets())
            names.insert(target.name().value());
        return names;
    }

    void printDifference(const char* sign, const std::set<std::string>& from, const std::set<std::string>& without)
    {
        for (const std::string& name : from) {
            if (!without.contains(name))
                std::cout << sign << " target " << name << "\n";
        }
    }

    std::size_t reassignedTargets(const Configuration& before, const Configuration& after)
    {
        ShareTable oldShares(before);
        ShareTable newShares(after);
        std::size_t reassigned = 0;
        for (const Target& target : after.targets()) {
            for (const ShareTable::Owner& owner : newShares.owners(target.id())) {
                if (before.target(target.id()) && !(oldShares.share(target.id(), owner.gateway) == owner.share)) {
                    ++reassigned;
                    break;
                }
            }
        }
        return reassigned;
    }

} // namespace

int check(const std::vector<std::string>& files, bool json)
{
    nlohmann::json report = nlohmann::json::array();
    for (const std::string& file : files) {
        try {
            readConfiguration(readFile(file), file);
        } catch (const InvalidDocument& invalid) {
            for (const Problem& problem : invalid.problems()) {
                report.push_back(problemJson(file, problem));
                if (!json)
                    std::cout << problem.text(file) << "\n";
            }
        }
    }
    if (json)
        std::cout << report.dump(2) << "\n";
    else if (report.empty())
        std::cout << "valid\n";
    return report.empty() ? exitOk : exitInvalid;
}

int print(const std::string& file)
{
    std::cout << printConfiguration(*readConfiguration(readFile(file), file));
    return exitOk;
}

int diff(const std::string& beforeFile, const std::string& afterFile)
{
    ConfigurationPointer before = readConfiguration(readFile(beforeFile), beforeFile);
    ConfigurationPointer after = readConfiguration(readFile(afterFile), afterFile);
    std::cout << "version " << before->version() << " -> " << after->version() << "\n";
    if (after->version() <= before->version())
        std::cout << "! the new document would be ignored: its version must be greater than that of the old document\n";
    printDifference("-", targetNames(*before), targetNames(*after));
    printDifference("+", targetNames(*after), targetNames(*before));
    for (const DataCentre& dataCentre : after->dataCentres()) {
        if (before->dataCentre(dataCentre.name()) && before->takenOut(dataCentre.name()) != dataCentre.takenOut())
            std::cout << "~ data centre " << dataCentre.name() << " is " << (dataCentre.takenOut() ? "out of service" : "back") << "\n";
    }
    for (const ShardGroup& group : after->shardGroups()) {
        for (const ShardGroup& old : before->shardGroups()) {
            if (old.name() == group.name() && old.snapshot() != group.snapshot())
                std::cout << "~ shard group " << group.name() << " snapshot " << old.snapshot() << " -> " << group.snapshot() << "\n";
        }
    }
    std::size_t reassigned = reassignedTargets(*before, *after);
    if (reassigned)
        std::cout << "~ " << reassigned << " targets change owners or shares; added shares are used only after their previous owners have released them\n";
    return exitOk;
}

} // namespace pimentopoint::commands
