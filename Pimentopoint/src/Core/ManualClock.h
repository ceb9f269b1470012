#pragma once

#include "Clock.h"

namespace pimentopoint {

/// \class ManualClock
/// \ingroup Core
/// \brief A clock for tests that advances only through its methods.
class ManualClock : public Clock {
public:
    Instant now() const override { return m_now; }
    void advance(Duration step) { m_now += step; }
    void setNow(Instant now) { m_now = now; }

private:
    Instant m_now { std::chrono::seconds(1000) };
};

} // namespace pimentopoint
