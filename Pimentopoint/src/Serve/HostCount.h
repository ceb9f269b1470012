#pragma once

#include "../Core/Clock.h"

#include <algorithm>
#include <cstddef>

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

    /// Notes that \a hosts, this one included, are in sight.
    void seen(std::size_t hosts, Instant now)
    {
        if (now - m_turnedAt >= memory) {
            m_before = m_most;
            m_most = 0;
            m_turnedAt = now;
        }
        m_most = std::max(m_most, hosts);
    }
    std::size_t value(Instant now) const
    {
        std::size_t most = std::max<std::size_t>({ 1, m_most, m_before });
        return now - m_start < meetingTime ? std::max(most, assumed) : most;
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
    std::size_t m_most = 0;
    std::size_t m_before = 0;
};

} // namespace pimentopoint
