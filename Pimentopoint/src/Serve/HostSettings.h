#pragma once

#include "../Core/Clock.h"
#include "../Core/Endpoint.h"
#include "../Core/Ids.h"

#include <optional>
#include <string>
#include <vector>

namespace pimentopoint {

/// What one pimentopoint-edge process is told of itself, checked as a whole.
struct HostSettings {
    MemberName name;
    DataCentreName dataCentre;
    Endpoint callerEndpoint; ///< Where callers connect.
    Endpoint readinessEndpoint; ///< Where a balancer asks whether callers may connect, and where metrics are read.
    Endpoint memberEndpoint; ///< UDP, between hosts.
    std::optional<Endpoint> aggregationEndpoint; ///< Where other hosts send fan-outs that this one runs for them; nothing: it runs none.
    double cores = 1; ///< Processor time that this host has.
    std::vector<Endpoint> seeds; ///< Hosts to ask first.
    Endpoint platformEndpoint; ///< The platform's store.
    std::size_t maxDescriptors = 1024; ///< Most sockets and files.
    Duration stopTimeout = std::chrono::seconds(6); ///< From the signal to stop to the end.
    Duration maxUpdateDelay = std::chrono::seconds(3); ///< Within which what the platform publishes must be in force here.
    Duration leavingTimeout = std::chrono::seconds(3); ///< For which a leaving target still answers.
    double extraAttemptRatio = 0.2; ///< Most repeats of a service, all hosts together, as a part of its requests.
    double extraAttemptSlack = 0; ///< Repeats beyond the ratio.
    Duration extraAttemptWindow = std::chrono::seconds(10); ///< In which repeats are counted.
    int logLevel = 0; ///< Least severity that is logged: 0 info, 1 warning, 2 error.

    /// \returns how many connections callers may have
    std::size_t maxCallerConnections() const;
    /// \returns how many connections other hosts may have whose fan-outs are run here
    std::size_t maxHostConnections() const;
    /// \throws InvalidDocument with every problem in \a text
    static HostSettings parse(const std::string& text, const std::string& source);
};

} // namespace pimentopoint
