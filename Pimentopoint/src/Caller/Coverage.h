#pragma once

#include "../Core/Fraction.h"
#include "../Core/KeyRange.h"

#include <vector>

namespace pimentopoint {

/// \class Coverage
/// \ingroup Caller
/// \brief The key ranges that an answer is whole for.
/// \details Whole means that the ranges tile the key space: no gap and no overlap.
class Coverage {
public:
    /// Adds \a range; \returns false, and adds nothing, if it is empty or overlaps one added before
    bool add(const KeyRange& range);

    /// \returns whether the ranges tile the key space
    bool complete() const { return missing().empty(); }
    /// \returns the covered share of the key space
    Fraction fraction() const;
    /// \returns the ranges that are not covered, in order
    std::vector<KeyRange> missing() const;

private:
    std::vector<KeyRange> m_ranges;
};

} // namespace pimentopoint
