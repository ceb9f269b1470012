#include "TargetStatements.h"

#include <algorithm>

namespace pimentopoint {

void TargetStatements::record(const TargetReply& reply, double hostFraction, double draw, Instant now, const Observer& observer)
{
    recordRateLimit(reply.rateLimit, hostFraction, draw, now, observer);
    if (reply.leaving && !m_leavingSince) {
        m_leavingSince = now;
        observer("target-leaving", "target states in its replies that it is about to stop");
    }
    if (!reply.retryAfter || now + *reply.retryAfter <= m_refusesUntil)
        return;
    m_refusesUntil = now + *reply.retryAfter;
    observer("target-refuses", "for " + std::to_string(reply.retryAfter->count()) + " microseconds");
}

void TargetStatements::recordRateLimit(std::optional<double> limit, double hostFraction, double draw, Instant now, const Observer& observer)
{
    if (!limit) {
        if (m_rateLimit)
            observer("target-limit", "target states no limit any more");
        m_rateLimit.reset();
        return;
    }
    if (!m_rateLimit || m_rateLimit->limit() != *limit)
        observer("target-limit", std::to_string(*limit) + " requests per second over all hosts");
    if (m_rateLimit)
        m_rateLimit->setLimit(*limit, now);
    else
        m_rateLimit.emplace(*limit, hostFraction, draw, now);
}

bool TargetStatements::accepts(double hostFraction, bool idle, Instant now)
{
    if (now < m_refusesUntil)
        return false;
    if (!m_rateLimit)
        return true;
    m_rateLimit->setFraction(hostFraction, now);
    return m_rateLimit->allows(now) || (m_rateLimit->expired(now) && idle);
}

void TargetStatements::recordRequest(Instant now)
{
    if (m_rateLimit)
        m_rateLimit->recordRequest(now);
}

std::optional<Duration> TargetStatements::wait(Instant now)
{
    if (!m_rateLimit && now >= m_refusesUntil)
        return std::nullopt;
    Duration limited = m_rateLimit ? m_rateLimit->wait(now) : Duration(0);
    return std::max(limited, m_refusesUntil - now);
}

} // namespace pimentopoint
