/// \file
/// Design size of the system, and assumptions of docs/CAPACITY.md about a node and a target.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace pimentopoint::bench {

// Design size and limits as the users require them.
inline constexpr double nodes = 750;
inline constexpr double servers = 3100;
inline constexpr double queriesPerSecond = 150000;
inline constexpr double shardsPerQuery = 250;
inline constexpr double subQueriesPerSecond = queriesPerSecond * shardsPerQuery;
inline constexpr double dataCentres = 7;
inline constexpr double changesPerDay = 440;
inline constexpr double eventsPerDay = 1100 + 15;
inline constexpr double secondsPerDay = 86400;
inline constexpr double allowedCoreFraction = 0.043;
inline constexpr double allowedMegabytes = 32;
inline constexpr double allowedBytesPerSecond = 3 * 1024;
inline constexpr double allowedSecondsUntilActive = 11;
inline constexpr double allowedReadsPerSecond = 2000;
inline constexpr double latencyObjectiveMilliseconds = 59;
// Assumptions about a node and a target, each of the largest kind in use.
inline constexpr double coresPerNode = 8;
inline constexpr double clientThreads = 4; // Of a gateway on a node with coresPerNode cores.
inline constexpr std::size_t gatewaysInDataCentre = 107; // Every node runs a front and a gateway.
inline constexpr double slotsPerTarget = 6;
inline constexpr double connectionsPerTarget = 50;

inline std::string dataCentreName(std::size_t index)
{
    return "dc" + std::to_string(index % static_cast<std::size_t>(dataCentres));
}

/// Prints one row of a Markdown table.
void printRow(const std::vector<std::string>& cells);

/// \returns the text of a configuration with \a targetCount servers; \a moved gives one of them another address
std::string makeConfiguration(std::size_t targetCount, std::uint64_t version, std::size_t gatewaysPerDataCentre, bool moved = false);

} // namespace pimentopoint::bench
