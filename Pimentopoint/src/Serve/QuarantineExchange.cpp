#include "QuarantineExchange.h"

#include "../Peer/Frame.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// Hosts that the host which has seen or decided something tells at once: all of a small fleet.
    constexpr std::size_t initialRecipients = 16;
    /// Hosts that each host tells which has just learned of it; nineteen in twenty learn of it so.
    constexpr std::size_t recipients = 3;
    /// Limits on reports of first crashes and of replies that one host sends or passes on.
    constexpr double reportsPerSecond = 10;
    constexpr double reportBurst = 20;
    constexpr Duration exchangeInterval = std::chrono::milliseconds(500);
    constexpr std::size_t maxRequestsPerNotice = 32;
    /// Longest age of crashes that another host reports.
    constexpr Duration maxCrashAge = std::chrono::minutes(1);

    std::uint64_t microseconds(Duration duration) { return static_cast<std::uint64_t>(std::max(Duration(0), duration).count()); }

    QuarantineNotice noticeOf(const std::vector<QuarantinedRequest>& requests)
    {
        QuarantineNotice notice;
        for (const QuarantinedRequest& each : requests)
            notice.requests.push_back({ each.request, microseconds(each.remaining), each.quarantines });
        return notice;
    }

} // namespace

QuarantineExchange::QuarantineExchange(std::uint64_t seed)
    : m_random(seed)
    , m_tokens(reportBurst)
{
}

void QuarantineExchange::setMembers(const std::vector<MemberRecord>& members)
{
    m_members.clear();
    for (const MemberRecord& member : members) {
        if (member.usable())
            m_members.push_back(member.udp());
    }
}

bool QuarantineExchange::takeToken(Instant now)
{
    m_tokens = std::min(reportBurst, m_tokens + reportsPerSecond * std::chrono::duration<double>(now - m_tokensAt).count());
    m_tokensAt = now;
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

void QuarantineExchange::spread(const CrashReport& report, bool seenHere, Instant now, Datagrams& datagrams)
{
    if (report.crashes == 1 && !takeToken(now))
        return;
    CrashNotice notice { report.request, report.reporter, report.crashes, microseconds(now - report.startedAt), microseconds(now - report.endedAt) };
    sendToRandom(seenHere ? initialRecipients : recipients, encodeDatagram(notice), datagrams);
}

void QuarantineExchange::spreadReply(RequestFingerprint request, Instant now, Datagrams& datagrams)
{
    if (takeToken(now))
        sendToRandom(initialRecipients, encodeDatagram(CrashNotice { request }), datagrams);
}

void QuarantineExchange::sendToRandom(std::size_t count, const std::string& bytes, Datagrams& datagrams)
{
    count = std::min(count, m_members.size());
    // The first members become a random selection.
    for (std::size_t i = 0; i < count; ++i) {
        std::swap(m_members[i], m_members[i + m_random.below(m_members.size() - i)]);
        datagrams.emplace_back(m_members[i], bytes);
    }
}

void QuarantineExchange::spread(const QuarantinedRequest& quarantined, bool decidedHere, Datagrams& datagrams)
{
    sendToRandom(decidedHere ? initialRecipients : recipients, encodeDatagram(noticeOf({ quarantined })), datagrams);
}

void QuarantineExchange::tick(const RequestQuarantine& quarantine, Instant now, Datagrams& datagrams)
{
    if (now < m_nextExchange)
        return;
    m_nextExchange = now + exchangeInterval;
    auto requests = quarantine.quarantined(maxRequestsPerNotice, now);
    if (!requests.empty())
        sendToRandom(1, encodeDatagram(noticeOf(requests)), datagrams);
}

std::vector<QuarantinedRequest> quarantinedFrom(const QuarantineNotice& message)
{
    constexpr auto limit = static_cast<std::uint64_t>(Duration(std::chrono::hours(24)).count());
    std::vector<QuarantinedRequest> requests;
    for (const QuarantineRecord& each : message.requests) {
        if (each.remaining <= limit && each.quarantines)
            requests.push_back({ each.request, Duration(static_cast<Duration::rep>(each.remaining)), each.quarantines });
    }
    return requests;
}

std::optional<CrashReport> reportFrom(const CrashNotice& message, Instant now)
{
    auto limit = static_cast<std::uint64_t>(maxCrashAge.count());
    if (!message.crashes || message.startedAgo > limit || message.endedAgo > message.startedAgo)
        return std::nullopt;
    return CrashReport { message.request, message.reporter, message.crashes, now - Duration(static_cast<Duration::rep>(message.startedAgo)), now - Duration(static_cast<Duration::rep>(message.endedAgo)) };
}

} // namespace pimentopoint
