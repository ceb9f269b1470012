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
class HostCount {
public:
    explicit HostCount(Instant start)
        : m_start(start)
        , m_turnedAt(start)
    {
    }

    /// Notes that \a hosts, this one included, are in sight, with \a weights together.
    void seen(std::size_t hosts, double weights, Instant now)
    {
        if (now - m_turnedAt >= memory) {
            m_before = std::exchange(m_most, {});
            m_turnedAt = now;
        }
        m_most.hosts = std::max(m_most.hosts, hosts);
        m_most.weights = std::max(m_most.weights, weights);
    }
    std::size_t value(Instant now) const
    {
        std::size_t most = std::max<std::size_t>({ 1, m_most.hosts, m_before.hosts });
        return now - m_start < meetingTime ? std::max(most, assumed) : most;
    }
    /// \returns the part that a host of weight \a own has of what is divided by weight
    double share(double own, Instant now) const
    {
        double most = std::max({ own, m_most.weights, m_before.weights });
        double least = now - m_start < meetingTime ? static_cast<double>(assumed) * own : 0;
        return own / std::max(most, least);
    }

private:
    /// Two periods of the membership protocol; a fleet that starts knows itself after a fraction of one.
    static constexpr Duration meetingTime = std::chrono::seconds(2);
    /// A large fleet of one region; a larger one is bounded by the meeting time.
    static constexpr std::size_t assumed = 64;
    /// For which hosts out of sight count, once or twice: far longer than the cuts and restarts that a fleet bears.
    static constexpr Duration memory = std::chrono::seconds(60);

    Instant m_start;
    Instant m_turnedAt;
    struct Seen {
        std::size_t hosts = 0;
        double weights = 0;
    };
    Seen m_most;
    Seen m_before;
};

} // namespace pimentopoint
