#pragma once

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace pimentopoint {

/// Size in bytes of a record in the body of a shard's reply.
constexpr std::size_t recordBytes = 16;

/// \brief Merges the records of the replies in \a bodies.
/// \returns the greatest \a count records in descending byte order, duplicates included
/// \details An incomplete record at the end of a body is ignored.
std::string topRecords(const std::vector<std::string_view>& bodies, std::size_t count);

/// \brief Reduces the body of a shard's reply to its greatest \a count records if it is several times larger.
/// \details The result of topRecords() with the same count stays the same.
void keepTopRecords(std::string& body, std::size_t count);

} // namespace pimentopoint
