#pragma once

#include <string>

namespace pimentopoint {

/// Names of the headers between callers, hosts and targets; filled in by the adapter of a platform.
struct HeaderNames {
    std::string requestId; ///< A caller's id of one attempt; passed on, and echoed by targets.
    std::string deadline; ///< Milliseconds for which the sender waits.
    std::string targetName; ///< The target that a request is meant for; any other refuses it.
    std::string notRun; ///< In an answer: the target did not run the request.
    std::string signature; ///< In an answer: the target's signature.
    std::string subRequestSignatures; ///< In a merged answer: the signatures of its parts.
    std::string missingShards; ///< In a merged answer: the number of shards left out.
    std::string readinessPath; ///< Where the balancer asks whether a host takes connections.
};

} // namespace pimentopoint
