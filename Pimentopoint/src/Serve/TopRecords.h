#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pimentopoint {

/// Size of a record in the body of a part, in bytes.
constexpr std::size_t recordBytes = 16;

/// \brief Merges the records of \a parts.
/// \returns the greatest \a count records, greatest first, compared byte by byte; equal ones all count
/// \details A remainder shorter than a record is none.
std::string topRecords(const std::vector<std::string_view>& parts, std::size_t count);

} // namespace pimentopoint
