#pragma once

#include "MemberRecord.h"

#include <cstddef>
#include <vector>

namespace pimentopoint {

/// \class GossipQueue
/// \ingroup Peer
/// \brief Member records that are spread by gossip, each for a limited number of transmissions.
/// \details A record that is received from another member needs fewer transmissions, since others spread it as well. So the traffic
/// of a burst of changes ends soon after most members know them.
class GossipQueue {
public:
    /// Spreads \a record, instead of an earlier record of its member, \a transmissions times.
    void push(const MemberRecord& record, unsigned transmissions);
    /// Records that another member spreads \a record too.
    void recordDuplicate(const MemberRecord& record);
    /// \returns the records for one datagram, those with the most transmissions left first
    std::vector<MemberRecord> takeForDatagram(std::size_t maxBytes);
    std::size_t size() const { return m_entries.size(); }

private:
    struct Entry {
        MemberRecord record;
        std::size_t encodedBytes;
        unsigned transmissionsLeft;
    };

    void removeFinished();

    std::vector<Entry> m_entries;
};

} // namespace pimentopoint
