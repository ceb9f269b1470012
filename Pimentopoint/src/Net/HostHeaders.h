/// \file
/// Headers between hosts, in addition to those in HeaderNames. Times are in microseconds.
#pragma once

#include <string_view>

namespace pimentopoint::host_headers {

/// In a delegated request: the version of the sender's active configuration.
inline constexpr std::string_view version = "Pimentopoint-Version";
/// In a delegated request: the time spent on the caller's request outside the aggregator: before delegation and on the network in both directions.
inline constexpr std::string_view spent = "Pimentopoint-Spent";
/// In a delegated request: comma-separated indexes of the requested shards; all shards are requested if it is absent.
inline constexpr std::string_view shards = "Pimentopoint-Shards";
/// In the reply to a delegated request: the time from the request to the reply.
inline constexpr std::string_view took = "Pimentopoint-Took";

/// In the reply to a read of updates: the time since the store confirmed what the reply states.
inline constexpr std::string_view age = "Pimentopoint-Age";
/// In the reply to a read of updates: the time for which the read was held before the reply.
inline constexpr std::string_view held = "Pimentopoint-Held";
/// In a read of updates and in its reply: the era of the store to which the revisions belong.
inline constexpr std::string_view storeEra = "Pimentopoint-Store-Era";

} // namespace pimentopoint::host_headers
