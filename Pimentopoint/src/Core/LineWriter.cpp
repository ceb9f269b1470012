#include "LineWriter.h"

#include <fcntl.h>
#include <unistd.h>

namespace pimentopoint {

LineWriter::LineWriter(int descriptor)
    : m_descriptor(descriptor)
{
    int flags = fcntl(descriptor, F_GETFL);
    if (flags >= 0)
        fcntl(descriptor, F_SETFL, flags | O_NONBLOCK);
}

void LineWriter::write(std::string_view line)
{
    std::lock_guard lock(m_mutex);
    if (m_pending.size() + line.size() > maxPendingBytes) {
        ++m_dropped;
        return;
    }
    m_pending.append(line);
    flushLocked();
}

void LineWriter::flush()
{
    std::lock_guard lock(m_mutex);
    flushLocked();
}

void LineWriter::flushLocked()
{
    std::size_t written = 0;
    while (written < m_pending.size()) {
        ssize_t size = ::write(m_descriptor, m_pending.data() + written, m_pending.size() - written);
        // The rest stays buffered until a full pipe has space again. If the pipe is closed, maxPendingBytes limits the buffer.
        if (size <= 0)
            break;
        written += static_cast<std::size_t>(size);
    }
    m_pending.erase(0, written);
}

std::uint64_t LineWriter::dropped() const
{
    std::lock_guard lock(m_mutex);
    return m_dropped;
}

} // namespace pimentopoint
