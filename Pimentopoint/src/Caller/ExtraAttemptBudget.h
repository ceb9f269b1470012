#pragma once

#include "../Core/Fraction.h"

#include <cstdint>
#include <mutex>

namespace pimentopoint {

/// \class ExtraAttemptBudget
/// \ingroup Caller
/// \brief Limits the hedges and retries of one search front to a fraction of its first attempts.
/// \details Every first attempt adds the fraction to the credit; every extra attempt costs 1. The credit is capped, so that an
/// idle period allows no burst. At every moment \f$ extra \le fraction \cdot first \f$.
class ExtraAttemptBudget {
public:
    /// Adds the credit of \a count first attempts, \a fraction for each.
    void addCredit(std::uint64_t count, Fraction fraction);
    /// \param maxDebt the debt that the attempt may leave, repaid by later credit
    /// \returns whether one more extra attempt is allowed; if so, deducts its cost
    bool tryAcquire(double maxDebt = 0);
    /// Sets the maximum credit, which is at least 1 attempt.
    void setMaxCredit(double credit);

private:
    std::mutex m_mutex;
    double m_maxCredit = 10;
    double m_credit = 0;
};

} // namespace pimentopoint
