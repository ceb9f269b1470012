#pragma once

#include <cstddef>
#include <cstdint>
#include <mutex>
#include <string>
#include <string_view>

namespace pimentopoint {

/// \class LineWriter
/// \ingroup Core
/// \brief Writes lines to a file descriptor without blocking.
/// \details Lines that the descriptor does not accept yet are buffered up to a limit; further lines are dropped and counted.
/// A line is never truncated or interleaved with lines of other threads.
class LineWriter {
public:
    /// Sets \a descriptor to non-blocking mode.
    explicit LineWriter(int descriptor);

    void write(std::string_view line);
    /// Writes buffered lines until the descriptor would block.
    void flush();
    /// \returns the number of lines dropped
    std::uint64_t dropped() const;

private:
    /// Largest size of the buffer (bytes); it holds about one second of lines at the highest log rate of a host.
    static constexpr std::size_t maxPendingBytes = std::size_t(256) * 1024;

    void flushLocked();

    int m_descriptor;
    mutable std::mutex m_mutex;
    std::string m_pending;
    std::uint64_t m_dropped = 0;
};

} // namespace pimentopoint
