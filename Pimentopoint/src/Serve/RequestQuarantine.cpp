#include "RequestQuarantine.h"

#include <algorithm>

namespace pimentopoint {

RequestQuarantine::RequestQuarantine(std::uint64_t self, QuarantineLimits limits, Observer observer)
    : m_self(self)
    , m_limits(limits)
    , m_observer(std::move(observer))
{
}

void RequestQuarantine::notify(RequestFingerprint request, std::string_view event, std::string_view detail) const
{
    if (m_observer)
        m_observer(request, event, detail);
}

std::optional<Duration> RequestQuarantine::remaining(RequestFingerprint request, Instant now) const
{
    auto found = m_entries.find(request);
    return found != m_entries.end() && now < found->second.until ? std::optional(found->second.until - now) : std::nullopt;
}

bool RequestQuarantine::onProbation(RequestFingerprint request, Instant now) const
{
    auto found = m_entries.find(request);
    return found != m_entries.end() && now >= found->second.until;
}

void RequestQuarantine::insert(RequestFingerprint request, Entry entry)
{
    m_entries[request] = entry;
    if (m_entries.size() <= m_limits.maxQuarantined)
        return;
    m_entries.erase(std::min_element(m_entries.begin(), m_entries.end(), [](const auto& a, const auto& b) { return a.second.until < b.second.until; }));
}

QuarantinedRequest RequestQuarantine::quarantine(RequestFingerprint request, unsigned quarantines, Instant now)
{
    constexpr unsigned maxDoublings = 16;
    Duration duration = std::min(m_limits.maxTime, m_limits.initialTime * (1U << std::min(quarantines - 1, maxDoublings)));
    m_suspects.erase(request);
    insert(request, { now + duration, quarantines });
    return { request, duration, quarantines };
}

bool RequestQuarantine::isSuspected(RequestFingerprint request, Instant now) const
{
    return m_suspects.contains(request) || onProbation(request, now);
}

RequestQuarantine::Suspect& RequestQuarantine::suspect(RequestFingerprint request)
{
    auto [at, added] = m_suspects.try_emplace(request);
    if (m_suspects.size() > m_limits.maxSuspects) {
        auto oldest = m_suspects.end();
        for (auto each = m_suspects.begin(); each != m_suspects.end(); ++each) {
            if (each != at && (oldest == m_suspects.end() || each->second.latestCrash < oldest->second.latestCrash))
                oldest = each;
        }
        m_suspects.erase(oldest);
    }
    return at->second;
}

CrashReport& RequestQuarantine::reportOf(Suspect& suspect, RequestFingerprint request, std::uint64_t reporter, std::size_t maxReporters)
{
    auto found = std::find_if(suspect.reports.begin(), suspect.reports.end(), [reporter](const CrashReport& each) { return each.reporter == reporter; });
    if (found != suspect.reports.end())
        return *found;
    if (suspect.reports.size() >= maxReporters)
        suspect.reports.erase(std::min_element(suspect.reports.begin(), suspect.reports.end(), [](const CrashReport& a, const CrashReport& b) { return a.endedAt < b.endedAt; }));
    return suspect.reports.emplace_back(CrashReport { request, reporter });
}

unsigned RequestQuarantine::crashesInSequence(std::vector<CrashReport> reports)
{
    std::sort(reports.begin(), reports.end(), [](const CrashReport& a, const CrashReport& b) { return a.endedAt < b.endedAt; });
    // most[i]: the most crashes in a sequence that ends with report i.
    std::vector<unsigned> most;
    for (const CrashReport& report : reports) {
        unsigned before = 0;
        for (std::size_t i = 0; i < most.size(); ++i) {
            if (reports[i].endedAt <= report.startedAt)
                before = std::max(before, most[i]);
        }
        most.push_back(before + report.crashes);
    }
    return most.empty() ? 0 : *std::max_element(most.begin(), most.end());
}

std::optional<QuarantinedRequest> RequestQuarantine::judge(RequestFingerprint request, Instant now)
{
    auto found = m_suspects.find(request);
    if (found == m_suspects.end() || crashesInSequence(found->second.reports) < m_limits.crashes)
        return std::nullopt;
    notify(request, "request-quarantined", "targets crashed one after the other while they ran the request");
    return quarantine(request, 1, now);
}

RequestQuarantine::CrashEffect RequestQuarantine::recordCrash(const RequestCrash& crash, Instant now)
{
    if (remaining(crash.request, now))
        return {};
    if (onProbation(crash.request, now)) {
        notify(crash.request, "request-quarantined", "a target crashed while it ran the request after its quarantine");
        return { std::nullopt, quarantine(crash.request, m_entries.at(crash.request).quarantines + 1, now) };
    }
    Suspect& suspected = suspect(crash.request);
    CrashReport& own = reportOf(suspected, crash.request, m_self, m_limits.maxReporters);
    bool counted = !own.crashes || crash.sentAt >= own.endedAt;
    if (!own.crashes)
        own.startedAt = crash.sentAt;
    own.crashes += counted;
    own.endedAt = std::max(own.endedAt, crash.lostAt);
    suspected.latestCrash = std::max(suspected.latestCrash, crash.lostAt);
    CrashEffect effect;
    if (counted)
        effect.report = own;
    effect.quarantined = judge(crash.request, now);
    return effect;
}

RequestQuarantine::CrashEffect RequestQuarantine::apply(const CrashReport& report, Instant now)
{
    if (report.reporter == m_self || remaining(report.request, now) || onProbation(report.request, now))
        return {};
    Suspect& suspected = suspect(report.request);
    CrashReport& known = reportOf(suspected, report.request, report.reporter, m_limits.maxReporters);
    if (known.crashes >= report.crashes)
        return {};
    known = report;
    suspected.latestCrash = std::max(suspected.latestCrash, report.endedAt);
    return { report, judge(report.request, now) };
}

bool RequestQuarantine::recordReply(RequestFingerprint request)
{
    bool suspected = m_suspects.erase(request) > 0;
    bool known = m_entries.erase(request) > 0;
    if (known)
        notify(request, "request-cleared", "a target replied to the request after its quarantine");
    return suspected || known;
}

bool RequestQuarantine::apply(const QuarantinedRequest& quarantined, Instant now)
{
    auto found = m_entries.find(quarantined.request);
    Duration duration = std::clamp(quarantined.remaining, Duration(0), m_limits.maxTime);
    if (duration <= Duration(0) || (found != m_entries.end() && found->second.quarantines >= quarantined.quarantines))
        return false;
    m_suspects.erase(quarantined.request);
    insert(quarantined.request, { now + duration, quarantined.quarantines });
    notify(quarantined.request, "request-quarantined", "another host reported it");
    return true;
}

std::vector<QuarantinedRequest> RequestQuarantine::quarantined(std::size_t maxCount, Instant now) const
{
    std::vector<QuarantinedRequest> requests;
    for (const auto& [request, entry] : m_entries) {
        if (now < entry.until)
            requests.push_back({ request, entry.until - now, entry.quarantines });
    }
    std::sort(requests.begin(), requests.end(), [](const QuarantinedRequest& a, const QuarantinedRequest& b) { return a.remaining > b.remaining; });
    requests.resize(std::min(requests.size(), maxCount));
    return requests;
}

void RequestQuarantine::removeExpired(Instant now)
{
    std::erase_if(m_suspects, [&](const auto& each) { return now - each.second.latestCrash >= m_limits.evidenceTime; });
    std::erase_if(m_entries, [&](const auto& each) { return now - each.second.until >= m_limits.probationTime; });
}

} // namespace pimentopoint
