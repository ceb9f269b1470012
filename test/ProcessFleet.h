/// \file
/// Daemons as processes on loopback, with simulated targets and platform in this process.
#pragma once

#include "../standins/StandinPlatform.h"
#include "../standins/StandinTarget.h"

#include <Pimentopoint/Core>
#include <map>
#include <memory>
#include <string>
#include <sys/types.h>
#include <vector>

namespace pimentopoint::test {

/// An HTTP reply; the status is 0 if no complete reply was received.
struct HttpReply {
    long status = 0;
    std::string body;
};

/// \returns the reply to one request, sent over a new connection
HttpReply http(const std::string& method, const Endpoint& endpoint, const std::string& path, const std::string& body = {});

/// \returns whether \a condition holds within 60 s
bool eventually(const std::function<bool()>& condition);

/// \class ProcessFleet
/// \brief Two data centres with a front and a gateway each, and four shards of two replicas.
class ProcessFleet {
public:
    ProcessFleet();
    ~ProcessFleet();
    ProcessFleet(const ProcessFleet&) = delete;
    ProcessFleet& operator=(const ProcessFleet&) = delete;

    /// \brief Starts a daemon and waits until it responds.
    /// \throws std::runtime_error with its log if it exits before
    void start(const std::string& name);
    void signal(const std::string& name, int signal);
    /// Waits until \a name exits; \returns its exit code, or -1 if a signal terminated it
    int wait(const std::string& name);
    bool isResponding(const std::string& name);

    /// Publishes the next version of the configuration; \a takenOut names the data centre taken out of service, if any.
    void publish(const std::string& takenOut = {});
    /// Publishes the next version of the host list; \a leaving names the leaving target, if any.
    void publishHosts(const std::string& leaving);

    HttpReply search(const std::string& front, const std::string& searchFront, const std::string& query, const std::string& ticket = {});
    std::string ticket(const std::string& front);
    /// Waits until \a front returns a complete answer.
    bool waitForWholeAnswer(const std::string& front);
    /// Waits until the given versions are active at \a name.
    bool waitForVersions(const std::string& name, std::uint64_t configuration, std::uint64_t hosts);
    Endpoint http(const std::string& name) const { return m_processes.at(name).http; }
    Endpoint tcp(const std::string& name) const { return m_processes.at(name).tcp; }
    Endpoint udp(const std::string& name) const { return m_processes.at(name).udp; }

    std::vector<std::unique_ptr<standins::StandinTarget>> targets; ///< Shard i has target 2i in data centre "a" and target 2i + 1 in "b".
    std::unique_ptr<standins::StandinPlatform> platform;
    std::uint64_t version = 0;
    std::uint64_t hostsVersion = 0;
    std::string temporaryFolder; ///< Temporary folder of the daemons.
    /// \returns the path of the log file of \a name
    std::string log(const std::string& name) const { return m_filesFolder + "/" + name + ".log"; }

private:
    struct Process {
        std::string program;
        Endpoint http;
        Endpoint tcp;
        Endpoint udp;
        pid_t pid = 0;
    };

    void killAll();
    void spawn(const std::string& name);
    /// Fails the test if a sanitizer reported an error in the log of \a name.
    void checkSanitizerReports(const std::string& name);
    void waitForStart(const std::string& name);

    std::string m_filesFolder; ///< Folder with the settings and logs of the daemons.
    std::vector<Endpoint> m_targetEndpoints;
    Endpoint m_platformEndpoint;
    std::map<std::string, Process> m_processes;
};

} // namespace pimentopoint::test
