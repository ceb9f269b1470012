/// \file
/// Helper class for the example configurations.
#pragma once

#include <Pimentopoint/Core>
#include <Pimentopoint/Operator>
#include <string>
#include <vector>

namespace examples {

/// \class Fleet
/// \brief Adds shards of replicated targets to a configuration and distributes the replicas over the data centres.
class Fleet {
public:
    Fleet(pimentopoint::ConfigurationBuilder& builder, std::vector<std::string> dataCentres, std::uint16_t firstPort)
        : m_builder(builder)
        , m_dataCentres(std::move(dataCentres))
        , m_nextPort(firstPort)
    {
    }

    /// Adds \a shardCount shards of \a replicas targets each, all in the target set \a set.
    /// \returns the target names of each shard
    std::vector<std::vector<std::string>> add(const pimentopoint::TargetSet& set, std::size_t shardCount, std::size_t replicas)
    {
        m_builder.addTargetSet(set);
        std::vector<std::vector<std::string>> shards;
        for (std::size_t shard = 0; shard < shardCount; ++shard) {
            std::vector<std::string> names;
            for (std::size_t replica = 0; replica < replicas; ++replica) {
                const std::string& dataCentre = m_dataCentres[(shard + replica) % m_dataCentres.size()];
                names.push_back(set.name() + "-" + std::to_string(shard) + "-" + std::to_string(replica));
                m_builder.addTarget(names.back(), pimentopoint::Endpoint("127.0.0.1", m_nextPort++), dataCentre);
            }
            shards.push_back(std::move(names));
        }
        return shards;
    }

private:
    pimentopoint::ConfigurationBuilder& m_builder;
    std::vector<std::string> m_dataCentres;
    std::uint16_t m_nextPort;
};

} // namespace examples
