#include "TopRecords.h"

#include <algorithm>
#include <functional>

namespace pimentopoint {

std::string topRecords(const std::vector<std::string_view>& bodies, std::size_t count)
{
    std::vector<std::string_view> records;
    for (std::string_view body : bodies) {
        for (std::size_t at = 0; at + recordBytes <= body.size(); at += recordBytes)
            records.push_back(body.substr(at, recordBytes));
    }
    std::size_t kept = std::min(count, records.size());
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(kept), records.end(), std::greater<>());
    std::string merged;
    merged.reserve(kept * recordBytes);
    for (std::size_t i = 0; i < kept; ++i)
        merged += records[i];
    return merged;
}

void keepTopRecords(std::string& body, std::size_t count)
{
    // Sorting a body that is only a little larger would cost more than it saves.
    constexpr std::size_t minReduction = 4;
    if (body.size() / recordBytes / minReduction > count)
        body = topRecords({ body }, count);
}

} // namespace pimentopoint
