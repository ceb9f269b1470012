#pragma once

#include "../Core/Clock.h"

#include <cstdint>
#include <string>

namespace pimentopoint {

/// \class TargetSet
/// \ingroup Operator
/// \brief Limits that apply to each target of a set.
class TargetSet {
public:
    explicit TargetSet(std::string name)
        : m_name(std::move(name))
    {
    }

    const std::string& name() const { return m_name; }
    /// \returns the maximum number of concurrent requests per target
    std::uint32_t slots() const { return m_slots; }
    TargetSet& setSlots(std::uint32_t slots)
    {
        m_slots = slots;
        return *this;
    }
    /// \returns the maximum number of connections that a target accepts
    std::uint32_t connections() const { return m_connections; }
    TargetSet& setConnections(std::uint32_t connections)
    {
        m_connections = connections;
        return *this;
    }
    /// \returns the processing time that a new connection costs the target
    Duration connectTime() const { return m_connectTime; }
    TargetSet& setConnectTime(Duration connectTime)
    {
        m_connectTime = connectTime;
        return *this;
    }
    /// \returns the maximum number of concurrent requests of a cold target, summed over all gateways
    std::uint32_t coldLimit() const { return m_coldLimit; }
    TargetSet& setColdLimit(std::uint32_t coldLimit)
    {
        m_coldLimit = coldLimit;
        return *this;
    }

private:
    std::string m_name;
    std::uint32_t m_slots = 1;
    std::uint32_t m_connections = 1;
    Duration m_connectTime { 0 };
    std::uint32_t m_coldLimit = 1;
};

} // namespace pimentopoint
