#pragma once

#include "RateLimitShare.h"
#include "TargetReply.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace pimentopoint {

/// \class TargetStatements
/// \ingroup Serve
/// \brief What a target states of itself in its replies: that it is about to stop, for how long it refuses requests, and its rate limit.
class TargetStatements {
public:
    /// Receives changes: event, detail.
    using Observer = std::function<void(std::string_view, const std::string&)>;

    /// \brief Records the statements in \a reply.
    /// \param hostFraction this host's fraction of limits that all hosts share
    /// \param draw a random number from 0 to 1, used if the reply states the first rate limit
    void record(const TargetReply& reply, double hostFraction, double draw, Instant now, const Observer& observer);
    /// \brief Decides whether this host may send a request now.
    /// \param idle whether no request to the target is outstanding
    bool accepts(double hostFraction, bool idle, Instant now);
    /// Charges a request that is sent.
    void recordRequest(Instant now);
    /// \returns the time until accepts() becomes true without further requests, or nothing if no statement restricts requests
    std::optional<Duration> wait(Instant now);
    /// \returns the time of the first reply which stated that the target is about to stop
    const std::optional<Instant>& leavingSince() const { return m_leavingSince; }
    /// \returns the time until which the target refuses requests from this host
    Instant refusesUntil() const { return m_refusesUntil; }
    bool hasRateLimit() const { return m_rateLimit.has_value(); }

private:
    void recordRateLimit(std::optional<double> limit, double hostFraction, double draw, Instant now, const Observer& observer);

    std::optional<Instant> m_leavingSince;
    Instant m_refusesUntil {};
    std::optional<RateLimitShare> m_rateLimit; ///< Share of the limit in the latest reply; nothing if it states none.
};

} // namespace pimentopoint
