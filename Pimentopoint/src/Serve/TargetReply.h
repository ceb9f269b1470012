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

/// How the exchange of one send ended.
struct TargetReply {
    enum class ReplyOutcome : std::uint8_t {
        Answered, ///< A whole answer to this request came.
        NotSent, ///< Not a byte of the request left; it cannot have run.
        Lost, ///< It was sent, and no whole answer came; it may have run.
    };

    ReplyOutcome outcome = ReplyOutcome::Lost;
    unsigned status = 0;
    bool notRun = false; ///< The target states that it did not run the request.
    bool addressReused = false; ///< Another target has the address now.
    std::string signature; ///< The target's signature of the answer; empty if it has none.
    HeaderList headers; ///< Those for the caller.
    std::string body;
    std::string subRequestSignatures; ///< Of an aggregating host: the signatures of the parts, separated by commas.
    unsigned missingShards = 0; ///< Of an aggregating host: shards left out.
    Duration processingTime { 0 }; ///< Of an aggregating host: its own time for the answer.
    const char* cause = ""; ///< Why there is no answer.
};

/// What a host tells another one that is to run a fan-out for it.
struct Delegation {
    ConfigurationVersion version; ///< In force at the sender; a host with another one refuses.
    Duration elapsed { 0 }; ///< Of the caller's time: before the request was sent, and on the ways there and back.
    std::vector<std::size_t> shards; ///< Indexes of the route's shards that are asked for; empty: all.
};

/// A caller's request, read whole.
struct CallerRequest {
    std::string id; ///< As the caller sent it; one for each attempt of the caller.
    std::string method;
    std::string requestTarget; ///< Path and query, unchanged.
    std::string host;
    HeaderList headers; ///< Those for the target.
    std::string body;
    Duration timeout { 0 }; ///< How long the caller waits, from when the request was read.
    Instant arrivedAt {};
    std::optional<Delegation> delegation; ///< Set if another host sent it, to be run for its caller.
};

/// What goes back to a caller.
struct CallerAnswer {
    unsigned status = 0;
    HeaderList headers;
    std::string body;
    Duration retryAfter { 0 }; ///< When room is expected; 0: not stated.
    std::string subRequestSignatures; ///< Of a fan-out: the signatures of the parts, separated by commas.
    unsigned missingShards = 0; ///< Of a fan-out: shards left out.
    bool isFanOut = false;
    const char* reason = ""; ///< For the log.
};

} // namespace pimentopoint
