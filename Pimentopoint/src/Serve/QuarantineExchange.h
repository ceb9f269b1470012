#pragma once

#include "../Core/Random.h"
#include "../Peer/MemberRecord.h"
#include "../Peer/Messages.h"
#include "RequestQuarantine.h"

#include <optional>
#include <utility>
#include <vector>

namespace pimentopoint {

/// \class QuarantineExchange
/// \ingroup Serve
/// \brief Decides which hosts are told of crashes and quarantines.
/// \details Both are spread as rumours: who learns of one tells some others. Reports of a first crash, which concern every request in progress at
/// a target that crashes, are limited in number; without them a request is merely not run with caution. What rumours miss, and what
/// hosts that start or were partitioned lack, is made up for by telling one random host of all quarantines at an interval. So the number of
/// messages of one host does not depend on the number of hosts.
class QuarantineExchange {
public:
    /// Datagrams that the owner sends.
    using Datagrams = std::vector<std::pair<Endpoint, std::string>>;

    explicit QuarantineExchange(std::uint64_t seed);

    void setMembers(const std::vector<MemberRecord>& members);
    /// \param seenHere whether this host has seen the crash; otherwise it was told
    void spread(const CrashReport& report, bool seenHere, Instant now, Datagrams& datagrams);
    /// Spreads that a target replied to \a request, which this host had reported.
    void spreadReply(RequestFingerprint request, Instant now, Datagrams& datagrams);
    /// \param decidedHere whether this host decided on the quarantine; otherwise it was told
    void spread(const QuarantinedRequest& quarantined, bool decidedHere, Datagrams& datagrams);
    /// Tells a random host of all quarantined requests if that is due.
    void tick(const RequestQuarantine& quarantine, Instant now, Datagrams& datagrams);

private:
    /// \returns whether another report of a first crash, or of a reply, may be sent now
    bool takeToken(Instant now);
    void sendToRandom(std::size_t count, const std::string& bytes, Datagrams& datagrams);

    Random m_random;
    std::vector<Endpoint> m_members; ///< Usable hosts other than this one.
    double m_tokens;
    Instant m_tokensAt {};
    Instant m_nextExchange {};
};

/// \returns the report in \a message; nothing if it reports no crash or times out of range
std::optional<CrashReport> reportFrom(const CrashNotice& message, Instant now);

/// \returns the requests that \a message names, those with times out of range left out
std::vector<QuarantinedRequest> quarantinedFrom(const QuarantineNotice& message);

} // namespace pimentopoint
