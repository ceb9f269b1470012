#pragma once

#include "../Core/Clock.h"

#include <algorithm>
#include <cstddef>
#include <utility>

namespace pimentopoint {

/// \class HostCount
/// \ingroup Serve
/// \brief By how many hosts this one divides what all of them share.
/// \details Too small a number would let them exceed it together. So hosts that were seen of late count though they are out of
/// sight, and a process that has just started assumes many until it has had the time to meet them.
class HostCountEstimate {
public:
    explicit HostCountEstimate(Instant start)
        : m_start(start)
        , m_windowStart(start)
    {
    }

    /// Notes that \a hosts, this one included, are in sight, with \a weights together.
    void recordMembers(std::size_t hosts, double weights, Instant now)
    {
        if (now - m_windowStart >= windowLength) {
            m_previousMaximum = std::exchange(m_currentMaximum, {});
            m_windowStart = now;
        }
        m_currentMaximum.hosts = std::max(m_currentMaximum.hosts, hosts);
        m_currentMaximum.weights = std::max(m_currentMaximum.weights, weights);
    }
    std::size_t value(Instant now) const
    {
        std::size_t most = std::max<std::size_t>({ 1, m_currentMaximum.hosts, m_previousMaximum.hosts });
        return now - m_start < discoveryTime ? std::max(most, assumedHosts) : most;
    }
    /// \returns the part that a host of weight \a own has of what is divided by weight
    double fraction(double own, Instant now) const
    {
        double most = std::max({ own, m_currentMaximum.weights, m_previousMaximum.weights });
        double least = now - m_start < discoveryTime ? static_cast<double>(assumedHosts) * own : 0;
        return own / std::max(most, least);
    }

private:
    /// Two periods of the membership protocol; a fleet that starts knows itself after a fraction of one.
    static constexpr Duration discoveryTime = std::chrono::seconds(2);
    /// A large fleet of one region; a larger one is bounded by the meeting time.
    static constexpr std::size_t assumedHosts = 64;
    /// For which hosts out of sight count, once or twice: far longer than the cuts and restarts that a fleet bears.
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
