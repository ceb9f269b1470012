#pragma once

#include "../Core/Clock.h"

#include <cmath>

namespace pimentopoint {

/// \class DecayingSum
/// \ingroup Serve
/// \brief How much happened of late: what happened a time constant ago counts for 1/e.
/// \details Divided by the time constant it is a rate, as the decay's integral over all time is one time constant.
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
