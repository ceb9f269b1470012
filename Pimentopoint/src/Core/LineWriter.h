#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace pimentopoint {

/// \class LineWriter
/// \ingroup Core
/// \brief Writes lines to a descriptor without ever blocking.
/// \details Lines that the descriptor does not take wait up to a bound; beyond it new ones are left out and counted. A line is
/// never cut, whoever else writes.
class LineWriter {
public:
    /// Makes \a descriptor non-blocking.
    explicit LineWriter(int descriptor);

    void write(std::string_view line);
    /// Writes what waits, as far as the descriptor takes it.
    void flush();
    /// \returns the lines left out
    std::uint64_t dropped() const;

private:
    /// About a second of lines at the highest rate of a host.
    static constexpr std::size_t maxPendingBytes = std::size_t(256) * 1024;

    void flushLocked();

    int m_descriptor;
    mutable std::mutex m_mutex;
    std::string m_pending;
    std::uint64_t m_dropped = 0;
};

} // namespace pimentopoint
