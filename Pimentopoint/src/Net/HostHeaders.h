/// \file
/// Headers between hosts, beside those of the platform's dialect. Times are in microseconds.
#pragma once

#include <string_view>

namespace pimentopoint::host_headers {

/// In a request that is run for another host: the version in force at the sender.
inline constexpr std::string_view version = "Pimentopoint-Version";
/// In a request that is run for another host: the caller's time that is spent elsewhere.
inline constexpr std::string_view spent = "Pimentopoint-Spent";
/// In a request that is run for another host: indexes of the shards that are asked for, separated by commas; without it all are.
inline constexpr std::string_view shards = "Pimentopoint-Shards";
/// In its answer: the time from the request to the answer.
inline constexpr std::string_view took = "Pimentopoint-Took";

} // namespace pimentopoint::host_headers
