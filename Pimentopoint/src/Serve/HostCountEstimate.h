#pragma once

#include "../Core/Clock.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace pimentopoint {

/// \class HostCountEstimate
/// \ingroup Serve
/// \brief Estimates the number of hosts among which this host divides limits that all hosts share.
/// \details An estimate that is too small would let the hosts exceed the limits together. Therefore hosts seen recently still count
/// while they are unreachable, and a process that has just started assumes many hosts until membership has had time to find them.
class HostCountEstimate {
public:
    explicit HostCountEstimate(Instant start)
        : m_start(start)
        , m_windowStart(start)
    {
    }

    /// \brief Records the known hosts.
    /// \param hosts their number, this host included
    /// \param weights the sum of their weights
    void recordMembers(std::size_t hosts, double weights, Instant now)
    {
        if (now - m_windowStart >= windowLength) {
            m_previousMaximum = std::exchange(m_currentMaximum, {});
            m_windowStart = now;
        }
        m_currentMaximum.hosts = std::max(m_currentMaximum.hosts, hosts);
        m_currentMaximum.weights = std::max(m_currentMaximum.weights, weights);
    }
    /// \returns the estimated number of hosts, at least 1
    std::size_t value(Instant now) const
    {
        std::size_t maximum = std::max<std::size_t>({ 1, m_currentMaximum.hosts, m_previousMaximum.hosts });
        return now - m_start < discoveryTime ? std::max(maximum, assumedHosts) : maximum;
    }
    /// \returns the fraction that a host of weight \a own has of a limit that is divided by weight
    double fraction(double own, Instant now) const
    {
        double maximum = std::max({ own, m_currentMaximum.weights, m_previousMaximum.weights });
        double assumedWeight = now - m_start < discoveryTime ? static_cast<double>(assumedHosts) * own : 0;
        return own / std::max(maximum, assumedWeight);
    }

private:
    /// Time that membership needs to find all hosts: two protocol periods; hosts that start together find each other within a fraction of a period.
    static constexpr Duration discoveryTime = std::chrono::seconds(2);
    /// Number of hosts assumed during the discovery time: a large fleet of one region. In a larger fleet the limits may be exceeded for no longer than that time.
    static constexpr std::size_t assumedHosts = 64;
    /// Hosts that are no longer seen count for one to two windows; far longer than the network partitions and restarts that a fleet tolerates.
    static constexpr Duration windowLength = std::chrono::seconds(60);

    Instant m_start;
    Instant m_windowStart;
    struct Maximum {
        std::size_t hosts = 0;
        double weights = 0;
    };
    Maximum m_currentMaximum;
    Maximum m_previousMaximum;
};

} // namespace pimentopoint
