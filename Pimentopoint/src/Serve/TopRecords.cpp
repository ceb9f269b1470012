#include "TopRecords.h"

#include <algorithm>
#include <functional>

namespace pimentopoint {

std::string topRecords(const std::vector<std::string_view>& parts, std::size_t count)
{
    std::vector<std::string_view> records;
    for (std::string_view part : parts) {
        for (std::size_t at = 0; at + recordBytes <= part.size(); at += recordBytes)
            records.push_back(part.substr(at, recordBytes));
    }
    std::size_t taken = std::min(count, records.size());
    std::partial_sort(records.begin(), records.begin() + static_cast<std::ptrdiff_t>(taken), records.end(), std::greater<>());
    std::string merged;
    merged.reserve(taken * recordBytes);
    for (std::size_t i = 0; i < taken; ++i)
        merged += records[i];
    return merged;
}

} // namespace pimentopoint
