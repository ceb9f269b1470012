// Starts target/pimentopoint-edge with settings like those of a small installation and plays the platform's part for it.
#pragma once

#include "Net.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <fcntl.h>
#include <fstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace review {

class Edge {
public:
    struct Options {
        std::string name;
        std::string zone;
        std::string ip;
        std::string folder; ///< Temporary folder for the settings file and the log.
        Address store;
    };

    explicit Edge(Options options)
        : m_options(std::move(options))
        , m_front(freeAddress(m_options.ip))
        , m_ready(freeAddress(m_options.ip))
        , m_control(freeAddress(m_options.ip))
        , m_hosts(freeAddress(m_options.ip))
    {
    }
    ~Edge() { stop(); }

    void writeSettings(const std::vector<Address>& seeds)
    {
        std::ofstream file(settingsPath());
        file << "name: \"" << m_options.name << "\"\ndataCentre: \"" << m_options.zone << "\"\nlisten:\n  callers: \"" << m_front.text() << "\"\n  readiness: \"" << m_ready.text()
             << "\"\n  members: \"" << m_control.text() << "\"\n  aggregation: \"" << m_hosts.text() << "\"\nprocessor:\n  cores: 1\n  share: 0.25\nmembers: [";
        for (std::size_t i = 0; i < seeds.size(); ++i)
            file << (i ? "," : "") << "\"" << seeds[i].text() << "\"";
        file << "]\nplatform: \"" << m_options.store.text() << "\"\ndescriptors: 4100\ntimes:\n  stop: 6s\n  news: 3000ms\n  leaving: 3000ms\nrepeats:\n  ratio: 0.2\n  slack: 56\n  window: 10s\n";
    }

    /// \returns whether the process was started
    bool start()
    {
        std::string boot = "PIMENTOPOINT_BOOT=" + settingsPath();
        std::string path = std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "");
        char program[] = "target/pimentopoint-edge";
        char* arguments[] = { program, nullptr };
        char* environment[] = { boot.data(), path.data(), nullptr };
        std::string log = m_options.folder + "/" + m_options.name + ".log";
        pid_t pid = fork();
        if (!pid) {
            // The process ends with the stand-in, however that ends.
            prctl(PR_SET_PDEATHSIG, SIGKILL);
            int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            dup2(output, STDOUT_FILENO);
            dup2(output, STDERR_FILENO);
            execve(program, arguments, environment);
            _exit(127);
        }
        m_pid = std::max(pid, 0);
        return pid > 0;
    }

    void signal(int number)
    {
        if (m_pid)
            kill(m_pid, number);
    }

    /// \returns whether the process has ended; \a status is its wait status
    bool ended(int& status)
    {
        if (!m_pid || waitpid(m_pid, &status, WNOHANG) != m_pid)
            return false;
        m_pid = 0;
        return true;
    }

    void stop()
    {
        if (!m_pid)
            return;
        kill(m_pid, SIGCONT);
        kill(m_pid, SIGKILL);
        waitpid(m_pid, nullptr, 0);
        m_pid = 0;
    }

    /// \returns whether the process answers the platform's readiness check with 200
    bool ready() const
    {
        int peer = connectTo(m_ready);
        if (peer < 0)
            return false;
        std::string buffer;
        Message reply;
        bool result = sendAll(peer, "GET /api/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n") && readMessage(peer, buffer, reply, Clock::now() + 1s) == ReadResult::Message && reply.word() == "200";
        close(peer);
        return result;
    }
    bool waitUntilReady(std::chrono::seconds timeout) const
    {
        for (auto until = Clock::now() + timeout; Clock::now() < until; std::this_thread::sleep_for(50ms)) {
            if (ready())
                return true;
        }
        return false;
    }

    /// \returns the resident memory of the process in MB
    double residentMegabytes() const
    {
        std::ifstream file("/proc/" + std::to_string(m_pid) + "/statm");
        double total = 0;
        double resident = 0;
        file >> total >> resident;
        return resident * static_cast<double>(sysconf(_SC_PAGESIZE)) / 1e6;
    }

    const std::string& name() const { return m_options.name; }
    const Address& front() const { return m_front; }
    const Address& control() const { return m_control; }
    pid_t pid() const { return m_pid; }

private:
    std::string settingsPath() const { return m_options.folder + "/" + m_options.name + ".yaml"; }

    Options m_options;
    Address m_front;
    Address m_ready;
    Address m_control;
    Address m_hosts;
    pid_t m_pid = 0;
};

} // namespace review
