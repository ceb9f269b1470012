/// \file
/// Real daemons on loopback with stand-ins for targets and the platform in this process.
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

/// An HTTP exchange; status 0 if there was no whole reply.
struct HttpReply {
    long status = 0;
    std::string body;
};

/// \returns the reply to one request over a connection of its own
HttpReply http(const std::string& method, const Endpoint& endpoint, const std::string& path, const std::string& body = {});

/// \returns whether \a condition came to hold within a generous cap
bool eventually(const std::function<bool()>& condition);

/// \class ProcessFleet
/// \brief Two data centres with a front and a gateway each, and four shards of two replicas.
class ProcessFleet {
public:
    ProcessFleet();
    ~ProcessFleet();
    ProcessFleet(const ProcessFleet&) = delete;
    ProcessFleet& operator=(const ProcessFleet&) = delete;

    /// \brief Starts a daemon and waits until it answers.
    /// \throws std::runtime_error with its log if it ended before
    void start(const std::string& name);
    void signal(const std::string& name, int signal);
    /// Waits for the end of \a name; \returns its exit code, or -1 if a signal ended it
    int wait(const std::string& name);
    bool isResponding(const std::string& name);

    /// Publishes a configuration of a later version; \a takenOut names a data centre or nothing.
    void publish(const std::string& takenOut = {});
    void publishHosts(const std::string& leaving);

    HttpReply search(const std::string& front, const std::string& searchFront, const std::string& query, const std::string& ticket = {});
    std::string ticket(const std::string& front);
    /// Waits until \a front gives whole answers.
    bool waitForWholeAnswer(const std::string& front);
    /// Waits until \a name has the versions in force.
    bool waitForVersions(const std::string& name, std::uint64_t configuration, std::uint64_t hosts);
    Endpoint http(const std::string& name) const { return m_processes.at(name).http; }
    Endpoint tcp(const std::string& name) const { return m_processes.at(name).tcp; }
    Endpoint udp(const std::string& name) const { return m_processes.at(name).udp; }

    std::vector<std::unique_ptr<standins::StandinTarget>> targets; ///< Shard i has 2i in "a" and 2i + 1 in "b".
    std::unique_ptr<standins::StandinPlatform> platform;
    std::uint64_t version = 0;
    std::uint64_t hostsVersion = 0;
    std::string scratch; ///< Temporary folder of the daemons.
    /// \returns the file that takes the log of \a name
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
    /// Reports what a sanitizer wrote to the log of \a name.
    void checkSanitizerReports(const std::string& name);
    void waitForStart(const std::string& name);

    std::string m_filesFolder; ///< Folder of the daemons' settings and logs.
    std::vector<Endpoint> m_targetEndpoints;
    Endpoint m_platformEndpoint;
    std::map<std::string, Process> m_processes;
};

} // namespace pimentopoint::test
