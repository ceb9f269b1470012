#pragma once

#include <cstdint>
#include <random>

namespace pimentopoint {

/// \class Random
/// \ingroup Core
/// \brief Pseudorandom number generator; equal seeds give equal sequences.
class Random {
public:
    explicit Random(std::uint64_t seed)
        : m_engine(seed)
    {
    }

    /// \returns a number uniform in [0, bound); 0 when \a bound is 0
    std::uint64_t below(std::uint64_t bound) { return bound ? m_engine() % bound : 0; }
    /// \returns a number uniform in [0, 1)
    double fraction() { return static_cast<double>(m_engine() >> 11) * 0x1.0p-53; }
    /// \returns true with probability \a probability
    bool chance(double probability) { return fraction() < probability; }

private:
    std::mt19937_64 m_engine;
};

} // namespace pimentopoint
