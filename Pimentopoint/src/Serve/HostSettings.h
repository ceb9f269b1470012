#pragma once

#include "../Core/Clock.h"
#include "../Core/Endpoint.h"
#include "../Core/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace pimentopoint {

/// Settings of one pimentopoint-edge process.
struct HostSettings {
    MemberName name;
    DataCentreName dataCentre;
    Endpoint callerEndpoint; ///< Address on which callers connect.
    Endpoint readinessEndpoint; ///< Address of the load balancer's readiness check and of the metrics.
    Endpoint memberEndpoint; ///< UDP address of the membership protocol between hosts.
    std::optional<Endpoint> aggregationEndpoint; ///< Address on which this host runs fan-outs delegated by other hosts; nothing: it runs none.
    double cores = 1; ///< Processor time available to this host, in cores.
    std::vector<Endpoint> seeds; ///< Membership addresses of the hosts that are contacted first.
    Endpoint platformEndpoint; ///< Address of the platform's store.
    std::size_t maxDescriptors = 1024; ///< Most file descriptors, sockets included.
    std::uint64_t memoryMegabytes = 128; ///< Memory that the process may use, in megabytes of 10^6 bytes; a part of it limits the replies in progress.
    Duration stopTimeout = std::chrono::seconds(6); ///< Time from the stop signal to the end of the process.
    Duration maxUpdateDelay = std::chrono::seconds(3); ///< Time within which a change published by the platform must be active on this host.
    Duration leavingTimeout = std::chrono::seconds(3); ///< Time for which a leaving target still replies.
    double extraAttemptRatio = 0.2; ///< Most extra attempts of a service from all hosts together, as a fraction of its requests.
    double extraAttemptSlack = 0; ///< Extra attempts per window that all hosts together may make beyond the ratio.
    Duration extraAttemptWindow = std::chrono::seconds(10); ///< Window over which extra attempts are counted.
    int logLevel = 0; ///< Least severity that is logged: 0 info, 1 warning, 2 error.

    /// \returns the most connections that callers together may have
    std::size_t maxCallerConnections() const;
    /// \returns the most connections that other hosts together may have to delegate fan-outs
    std::size_t maxHostConnections() const;
    /// \throws InvalidDocument with every problem in \a text
    static HostSettings parse(const std::string& text, const std::string& source);
};

} // namespace pimentopoint
