#pragma once

#include "../Caller/ExtraAttemptBudget.h"
#include "../Core/Clock.h"
#include "../Core/Fraction.h"
#include "../Core/Ids.h"
#include "DecayingSum.h"

#include <map>

namespace pimentopoint {

/// Limits on repeats; they hold for each service and over all hosts together.
struct ExtraAttemptLimits {
    Fraction ratio { 0.2 }; ///< Most repeats as a part of the requests.
    Fraction earnedFraction { 0.13 }; ///< What each request earns of it; the rest may be saved up.
    double slack = 0; ///< Repeats beyond the ratio in a window.
    Duration window = std::chrono::seconds(10); ///< In which repeats are counted.
};

/// \class RepeatBudgets
/// \ingroup Serve
/// \brief Bounds the hedges and retries that this host sends to each service.
/// \details In any window and over all hosts: repeats <= share x requests + what was saved before it, and what all hosts together
/// may save is (ratio - share) x requests + a part of the slack.
class ExtraAttemptBudgets {
public:
    explicit ExtraAttemptBudgets(ExtraAttemptLimits limits)
        : m_limits(limits)
    {
    }

    /// Sets this host's part of the slack of a service that serves whole requests, and of one that is a shard of a fan-out.
    void setHostFractions(double single, double fanOut);
    /// Notes the first send of a request to \a service.
    void recordRequest(const ServiceName& service, bool shard, Instant now);
    /// \returns whether one more repeat is allowed, and if so charges it
    bool tryAcquire(const ServiceName& service);

private:
    struct Budget {
        explicit Budget(Duration window)
            : recentRequests(window)
        {
        }

        ExtraAttemptBudget credit;
        DecayingSum recentRequests; ///< In about a window.
    };

    ExtraAttemptLimits m_limits;
    double m_singleFraction = 1;
    double m_fanOutFraction = 1;
    std::map<ServiceName, Budget> m_budgets;
};

} // namespace pimentopoint
