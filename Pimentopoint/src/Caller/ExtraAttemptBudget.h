#pragma once

#include "../Core/Fraction.h"

#include <cstdint>
#include <mutex>

namespace pimentopoint {

/// \class ExtraSendBudget
/// \ingroup Caller
/// \brief Bounds hedges and retries of one search front to a share of its first sends.
/// \details Every first send earns the share; every extra send costs 1. Credit is capped, so a quiet time buys no
/// burst; at every moment \f$ extra \le share \cdot first \f$.
class ExtraAttemptBudget {
public:
    /// Notes \a count first sends, which earn \a share each.
    void addCredit(std::uint64_t count, Fraction share);
    /// \returns whether one more extra send is allowed, and if so charges it
    bool tryAcquire();
    /// Sets the most credit that is saved up; one send at least.
    void setMaxCredit(double credit);

private:
    std::mutex m_mutex;
    double m_maxCredit = 10;
    double m_credit = 0;
};

} // namespace pimentopoint
