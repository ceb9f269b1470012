#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace pimentopoint {

/// \class KeyRange
/// \ingroup Core
/// \brief Half-open range [begin, end) of keys.
class KeyRange {
public:
    KeyRange() = default;
    KeyRange(std::uint64_t begin, std::uint64_t end)
        : m_begin(begin)
        , m_end(end)
    {
    }

    std::uint64_t begin() const { return m_begin; }
    std::uint64_t end() const { return m_end; }
    bool empty() const { return m_end <= m_begin; }
    /// \returns the number of keys in the range
    std::uint64_t size() const { return empty() ? 0 : m_end - m_begin; }
    /// \returns whether every key of \a other lies in this range
    bool contains(const KeyRange& other) const { return m_begin <= other.m_begin && other.m_end <= m_end; }
    /// \returns the keys that are in both ranges
    KeyRange intersection(const KeyRange& other) const
    {
        return { std::max(m_begin, other.m_begin), std::min(m_end, other.m_end) };
    }

    auto operator<=>(const KeyRange&) const = default;

    template <typename Archive>
    void serialize(Archive& archive) { archive(m_begin, m_end); }

private:
    std::uint64_t m_begin = 0;
    std::uint64_t m_end = 0;
};

} // namespace pimentopoint
