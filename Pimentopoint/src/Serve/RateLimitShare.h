#pragma once

#include "../Core/Clock.h"

namespace pimentopoint {

/// \class RateLimitShare
/// \ingroup Serve
/// \brief This host's share of a rate limit that a target states for all hosts together: a token bucket.
/// \details A target accepts, in any window, a multiple of its limit and a fixed number of requests more. Divided by the hosts, that is a quota
/// of whole requests per window for each of them. Where it is less than one, a random choice of the hosts sends, each at most one request
/// in a window, and the others none, so that the sum holds on average without messages between hosts. A host that is not chosen forgets the
/// limit after a time that grows with the number of hosts, and then learns it again by one request. Receives the time; reads no clock.
class RateLimitShare {
public:
    /// \param limit requests per second that the target accepts from all hosts together
    /// \param fraction this host's fraction of limits that all hosts share
    /// \param draw a random number from 0 to 1, which decides whether this host sends if its quota is less than one request
    RateLimitShare(double limit, double fraction, double draw, Instant now);

    /// Records that the target states \a limit; the accumulated credit is kept as far as the new share allows.
    void setLimit(double limit, Instant now);
    /// Sets this host's fraction of limits that all hosts share.
    void setFraction(double fraction, Instant now);
    /// \returns whether a request may be sent now
    bool allows(Instant now);
    /// Charges a request that is sent, whether allows() permitted it or not.
    void recordRequest(Instant now);
    /// \returns the time until allows() becomes true without further requests
    Duration wait(Instant now);
    /// \returns whether the limit was stated so long ago that one request may be sent to learn whether it still holds
    bool expired(Instant now) const { return now - m_statedAt >= m_lifetime; }
    double limit() const { return m_limit; }

private:
    void refill(Instant now);
    void update();

    double m_limit = 0;
    double m_fraction = 0;
    double m_draw = 0;
    double m_rate = 0; ///< Requests per second.
    double m_burst = 0; ///< Most credit that may be accumulated.
    double m_credit = 0;
    Instant m_refilledAt;
    Instant m_statedAt;
    Duration m_lifetime { 0 };
};

} // namespace pimentopoint
