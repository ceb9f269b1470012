/// \file
/// What the example configurations share.
#pragma once

#include <Pimentopoint/Core>
#include <Pimentopoint/Operator>
#include <string>
#include <vector>

namespace examples {

/// \class Fleet
/// \brief Adds services of replicated servers to a configuration, replicas in different data centres.
class Fleet {
public:
    Fleet(pimentopoint::ConfigurationBuilder& builder, std::vector<std::string> dataCentres, std::uint16_t firstPort)
        : m_builder(builder)
        , m_dataCentres(std::move(dataCentres))
        , m_nextPort(firstPort)
    {
    }

    /// \returns the target names of \a services shards with \a replicas servers each, with the limits of \a set
    std::vector<std::vector<std::string>> add(const pimentopoint::TargetSet& set, std::size_t services, std::size_t replicas)
    {
        m_builder.addTargetSet(set);
        std::vector<std::vector<std::string>> shards;
        for (std::size_t service = 0; service < services; ++service) {
            std::vector<std::string> names;
            for (std::size_t replica = 0; replica < replicas; ++replica) {
                const std::string& dataCentre = m_dataCentres[(service + replica) % m_dataCentres.size()];
                names.push_back(set.name() + "-" + std::to_string(service) + "-" + std::to_string(replica));
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
