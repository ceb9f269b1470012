#pragma once

#include "../Core/Clock.h"
#include "../Core/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace pimentopoint {

using HeaderList = std::vector<std::pair<std::string, std::string>>;

/// Result of one attempt.
struct TargetReply {
    enum class ReplyOutcome : std::uint8_t {
        Answered, ///< A complete reply to this request arrived.
        NotSent, ///< No byte of the request was sent, so it cannot have run.
        Lost, ///< The request was sent and no complete reply arrived; it may have run.
    };

    ReplyOutcome outcome = ReplyOutcome::Lost;
    bool connectionFailed = false; ///< In a lost attempt: whether the connection failed, as it does when the target's process ends.
    unsigned status = 0;
    bool notRun = false; ///< Whether the target states that it did not run the request.
    bool addressReused = false; ///< Whether another target now has the address.
    std::string signature; ///< The target's signature of the reply; empty if the reply has none.
    bool leaving = false; ///< Whether the target states that it is about to stop.
    std::optional<Duration> retryAfter; ///< In a refusal: time for which the target accepts no requests from this host; nothing if it states none.
    std::optional<double> rateLimit; ///< Requests per second that the target accepts from all hosts together; nothing if it states no limit.
    HeaderList headers; ///< Headers that are passed to the caller.
    std::string body;
    std::string subRequestSignatures; ///< In an aggregator's reply: the signatures of the replies to the sub-requests, separated by commas.
    unsigned missingShards = 0; ///< In an aggregator's reply: number of shards that are not covered.
    Duration processingTime { 0 }; ///< In an aggregator's reply: its own processing time.
    const char* cause = ""; ///< Why there is no reply.
};

/// Data with which a host delegates a fan-out to an aggregator.
struct Delegation {
    ConfigurationVersion version; ///< Configuration version of the sender; a host with another version refuses.
    Duration elapsed { 0 }; ///< Time since the caller's request arrived at the sender, plus the expected network delay in both directions.
    std::vector<std::size_t> shards; ///< Indexes of the delegated shards in the route; empty: all.
};

/// A complete request of a caller.
struct CallerRequest {
    std::string id; ///< Id chosen by the caller; unique per attempt of the caller.
    std::string method;
    std::string requestTarget; ///< Path and query, unchanged.
    std::string host;
    HeaderList headers; ///< Headers that are passed to the target.
    std::string body;
    Duration timeout { 0 }; ///< Time for which the caller waits, starting when the request was read.
    Instant arrivedAt {};
    std::optional<Delegation> delegation; ///< Set if another host delegated the request.
};

/// Answer to a caller.
struct CallerAnswer {
    unsigned status = 0;
    HeaderList headers;
    std::string body;
    Duration retryAfter { 0 }; ///< Time after which free capacity is expected; 0: not stated.
    std::string subRequestSignatures; ///< In a fan-out's answer: the signatures of the replies to the sub-requests, separated by commas.
    unsigned missingShards = 0; ///< In a fan-out's answer: number of shards that are not covered.
    bool isFanOut = false;
    const char* reason = ""; ///< Reason for the outcome, for the log.
};

} // namespace pimentopoint
