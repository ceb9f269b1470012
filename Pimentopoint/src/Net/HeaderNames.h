#pragma once

#include <string>

namespace pimentopoint {

/// Names of the HTTP headers between callers, hosts and targets, and the readiness path, as the adapter of a platform defines them.
struct HeaderNames {
    std::string requestId; ///< The caller's id of one of its attempts; forwarded to targets, which echo it.
    std::string deadline; ///< Time for which the sender waits, in milliseconds.
    std::string targetName; ///< Name of the target that the request is meant for; any other target refuses it.
    std::string notRun; ///< In a reply: the target did not run the request.
    std::string signature; ///< In a reply: the target's signature.
    std::string leaving; ///< In a reply: the target is about to stop.
    std::string rateLimit; ///< In a reply: requests per second that the target accepts from all hosts together, for as long as it says so.
    std::string subRequestSignatures; ///< In a merged answer: the signatures of the replies to the sub-requests.
    std::string missingShards; ///< In a merged answer: the number of missing shards.
    std::string readinessPath; ///< Path at which the load balancer queries whether a host accepts connections.
};

} // namespace pimentopoint
