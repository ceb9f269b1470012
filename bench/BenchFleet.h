/// \file
/// Daemon processes and stand-ins for the benches. The stand-ins run on threads of the bench; the file depends on Operator and standins/.
#pragma once

#include "../standins/StandinPlatform.h"
#include "../standins/StandinTarget.h"

#include <Pimentopoint/Operator>
#include <map>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace pimentopoint::bench {

/// Processor time and allocations of all daemons that have ended, from their start to their end.
struct DaemonUsage {
    double coreSeconds = 0;
    std::uint64_t allocations = 0;
};

/// Sums of the attempt counters of all fronts.
struct FrontCounts {
    double firstAttempts = 0;
    double extraAttempts = 0;
};

/// \class BenchFleet
/// \brief The gateways of a configuration, a front in each data centre, and stand-ins for the targets and the platform.
class BenchFleet {
public:
    /// \param group the shard group that is queried; its targets get threads for \a concurrency concurrent requests
    /// \param service the service time of all targets
    BenchFleet(const Configuration& configuration, const std::string& text, const ShardGroup& group, Duration service, unsigned concurrency);
    ~BenchFleet();
    BenchFleet(const BenchFleet&) = delete;
    BenchFleet& operator=(const BenchFleet&) = delete;

    /// \returns the current counters of all fronts
    FrontCounts counts() const;
    /// Sends \a signal to the daemon \a name.
    void signal(const std::string& name, int signal);
    /// Waits for the end of \a name. \returns its exit code, or -1 if a signal ended it
    int wait(const std::string& name);
    /// Starts the daemon \a name again after its end.
    void restart(const std::string& name);
    /// Stops all daemons. \returns what they and earlier processes used
    DaemonUsage stopDaemons();

    std::map<TargetId, std::unique_ptr<standins::StandinTarget>> targets;
    std::unique_ptr<standins::StandinPlatform> platform;
    std::vector<Endpoint> fronts;

private:
    struct Daemon {
        std::string program;
        std::string dataCentre;
        std::uint16_t port = 0; ///< HTTP port; the TCP and UDP ports are the next two.
        pid_t pid = 0;
    };

    Endpoint addDaemon(const std::string& program, const std::string& name, const std::string& dataCentre);
    void start(const std::string& name);
    std::string scratchFile(const std::string& name, const char* extension) const { return m_scratchDirectory + "/" + name + extension; }

    Endpoint m_platformEndpoint;
    std::string m_scratchDirectory;
    std::uint16_t m_nextPort;
    std::map<std::string, Daemon> m_daemons;
    DaemonUsage m_usage;
};

} // namespace pimentopoint::bench
