#pragma once

#include "../Core/Fraction.h"
#include "../Core/KeyRange.h"

#include <vector>

namespace pimentopoint {

/// \class Coverage
/// \ingroup Caller
/// \brief The key ranges that an answer covers.
/// \details Coverage is complete if the ranges tile the key space, without gap or overlap.
class Coverage {
public:
    /// Adds \a range; \returns false, without adding it, if it is empty, ends beyond the key space or overlaps a range added before
    bool add(const KeyRange& range);

    /// \returns whether the ranges tile the key space
    bool complete() const { return missing().empty(); }
    /// \returns the covered fraction of the key space
    Fraction fraction() const;
    /// \returns the ranges that are not covered, in order
    std::vector<KeyRange> missing() const;

private:
    std::vector<KeyRange> m_ranges;
};

} // namespace pimentopoint
