#include "GossipQueue.h"

#include "WireArchive.h"

#include <algorithm>
#include <string>

namespace pimentopoint {

namespace {

    /// Transmissions saved by one copy of the record from another member.
    constexpr unsigned transmissionsPerDuplicate = 4;

    std::size_t encodedBytesOf(const MemberRecord& record)
    {
        std::string bytes;
        WireWriter writer(bytes);
        writer(record);
        return bytes.size();
    }

} // namespace

void GossipQueue::push(const MemberRecord& record, unsigned transmissions)
{
    std::erase_if(m_entries, [&](const Entry& entry) { return entry.record.name() == record.name(); });
    m_entries.push_back({ record, encodedBytesOf(record), transmissions });
}

void GossipQueue::recordDuplicate(const MemberRecord& record)
{
    for (Entry& entry : m_entries) {
        bool same = entry.record.name() == record.name() && !entry.record.supersedes(record) && !record.supersedes(entry.record);
        if (same)
            entry.transmissionsLeft -= std::min(entry.transmissionsLeft, transmissionsPerDuplicate);
    }
    removeFinished();
}

std::vector<MemberRecord> GossipQueue::takeForDatagram(std::size_t maxBytes)
{
    std::sort(m_entries.begin(), m_entries.end(), [](const Entry& a, const Entry& b) { return a.transmissionsLeft > b.transmissionsLeft; });
    std::vector<MemberRecord> records;
    std::size_t bytes = 0;
    for (Entry& entry : m_entries) {
        bytes += entry.encodedBytes;
        if (bytes > maxBytes)
            break;
        records.push_back(entry.record);
        --entry.transmissionsLeft;
    }
    removeFinished();
    return records;
}

void GossipQueue::removeFinished()
{
    std::erase_if(m_entries, [](const Entry& entry) { return !entry.transmissionsLeft; });
}

} // namespace pimentopoint
