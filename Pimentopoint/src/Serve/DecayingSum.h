#pragma once

#include "../Core/Clock.h"

#include <cmath>

namespace pimentopoint {

/// \class DecayingSum
/// \ingroup Serve
/// \brief Sum of recent amounts with exponential decay: an amount added one time constant ago counts for 1/e.
/// \details The value divided by the time constant is a rate, since the integral of the decay over all time is one time constant.
class DecayingSum {
public:
    explicit DecayingSum(Duration timeConstant)
        : m_timeConstant(timeConstant)
    {
    }

    void add(double amount, Instant now)
    {
        m_sum = value(now) + amount;
        m_updatedAt = now;
    }
    double value(Instant now) const { return m_sum * std::exp(-std::chrono::duration<double>(now - m_updatedAt) / std::chrono::duration<double>(m_timeConstant)); }

private:
    Duration m_timeConstant;
    double m_sum = 0;
    Instant m_updatedAt {};
};

} // namespace pimentopoint
