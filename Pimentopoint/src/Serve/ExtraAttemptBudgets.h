#pragma once

#include "../Caller/ExtraAttemptBudget.h"
#include "../Core/Clock.h"
#include "../Core/Fraction.h"
#include "../Core/Ids.h"
#include "DecayingSum.h"

#include <map>

namespace pimentopoint {

/// Limits on extra attempts, that is hedges and retries; they hold for each service over all hosts together.
struct ExtraAttemptLimits {
    Fraction ratio { 0.2 }; ///< Most extra attempts as a fraction of the requests.
    Fraction earnedFraction { 0.13 }; ///< Credit that each request adds; the rest of the ratio bounds the accumulated credit.
    double slack = 0; ///< Extra attempts per window allowed beyond the ratio.
    Duration window = std::chrono::seconds(10); ///< Window over which extra attempts are counted.
};

/// \class ExtraAttemptBudgets
/// \ingroup Serve
/// \brief Bounds the hedges and retries that this host makes for each service.
/// \details In any window and over all hosts, extra attempts <= earnedFraction x requests + the credit accumulated before the window, and
/// all hosts together accumulate at most (ratio - earnedFraction) x requests + a fraction of the slack.
class ExtraAttemptBudgets {
public:
    explicit ExtraAttemptBudgets(ExtraAttemptLimits limits)
        : m_limits(limits)
    {
    }

    /// \brief Sets this host's fraction of the slack.
    /// \param single the fraction for a service that serves whole requests
    /// \param fanOut the fraction for a service that is a shard of a fan-out
    void setHostFractions(double single, double fanOut);
    /// \brief Adds the credit for the first attempt of a request to \a service.
    /// \param shard whether the service is a shard of a fan-out
    void recordRequest(const ServiceName& service, bool shard, Instant now);
    /// \brief Charges one extra attempt to the budget of \a service.
    /// \param inDebt whether one attempt may be made in advance of its credit
    /// \returns whether the budget allows it; otherwise nothing is charged
    bool tryAcquire(const ServiceName& service, bool inDebt);

private:
    struct Budget {
        explicit Budget(Duration window)
            : recentRequests(window)
        {
        }

        ExtraAttemptBudget credit;
        DecayingSum recentRequests; ///< Requests within about one window.
    };

    ExtraAttemptLimits m_limits;
    double m_singleFraction = 1;
    double m_fanOutFraction = 1;
    std::map<ServiceName, Budget> m_budgets;
};

} // namespace pimentopoint
