#include "Coverage.h"

#include "../Core/util/Constants.h"

#include <algorithm>

namespace pimentopoint {

bool Coverage::add(const KeyRange& range)
{
    if (range.empty() || range.end() > keySpaceEnd)
        return false;
    auto next = std::lower_bound(m_ranges.begin(), m_ranges.end(), range);
    bool overlapsNext = next != m_ranges.end() && next->begin() < range.end();
    bool overlapsPrevious = next != m_ranges.begin() && std::prev(next)->end() > range.begin();
    if (overlapsNext || overlapsPrevious)
        return false;
    m_ranges.insert(next, range);
    return true;
}

Fraction Coverage::fraction() const
{
    std::uint64_t keys = 0;
    for (const KeyRange& range : m_ranges)
        keys += range.size();
    return Fraction(static_cast<double>(keys) / static_cast<double>(keySpaceEnd));
}

std::vector<KeyRange> Coverage::missing() const
{
    std::vector<KeyRange> gaps;
    std::uint64_t position = 0;
    for (const KeyRange& range : m_ranges) {
        if (range.begin() > position)
            gaps.emplace_back(position, range.begin());
        position = range.end();
    }
    if (position < keySpaceEnd)
        gaps.emplace_back(position, keySpaceEnd);
    return gaps;
}

} // namespace pimentopoint
