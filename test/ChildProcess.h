/// \file
/// A daemon as a child process of a test.
#pragma once

#include <csignal>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <optional>
#include <spawn.h>
#include <stdexcept>
#include <string>
#include <sys/wait.h>
#include <unistd.h>

extern char** environ;

namespace pimentopoint {

/// \class ChildProcess
/// \brief Runs a program with its own settings file and writes its output to a file. The destructor kills it.
class ChildProcess {
public:
    ChildProcess(const std::string& program, const std::string& settings)
    {
        char folder[] = "/tmp/pimentopoint-test-XXXXXX";
        if (!mkdtemp(folder))
            throw std::runtime_error("cannot create a folder in /tmp");
        m_folder = folder;
        std::ofstream(m_folder + "/settings.yaml") << settings;
        std::string path = std::string(PIMENTOPOINT_BINARIES) + "/" + program;
        std::string option = "--settings";
        std::string file = m_folder + "/settings.yaml";
        char* arguments[] = { path.data(), option.data(), file.data(), nullptr };
        posix_spawn_file_actions_t actions;
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, 1, log().c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
        posix_spawn_file_actions_addopen(&actions, 2, log().c_str(), O_CREAT | O_WRONLY | O_APPEND, 0600);
        int error = posix_spawn(&m_pid, path.c_str(), &actions, nullptr, arguments, environ);
        posix_spawn_file_actions_destroy(&actions);
        if (error)
            throw std::runtime_error(path + " cannot be started");
    }
    ~ChildProcess()
    {
        if (m_pid > 0) {
            kill(m_pid, SIGKILL);
            waitForExit();
        }
    }
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    void signal(int number) const { kill(m_pid, number); }
    /// Waits until the process exits; \returns its exit code, or the negated number of the signal that terminated it
    int waitForExit()
    {
        int status = 0;
        waitpid(m_pid, &status, 0);
        m_pid = 0;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    /// \returns its exit code, or the negated number of the signal that terminated it; nothing while it runs
    std::optional<int> exitCode()
    {
        int status = 0;
        if (m_pid <= 0 || waitpid(m_pid, &status, WNOHANG) != m_pid)
            return std::nullopt;
        m_pid = 0;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    /// \returns the most memory that the process has had resident, in megabytes; 0 if it has ended
    double peakMegabytes() const
    {
        std::ifstream file("/proc/" + std::to_string(m_pid) + "/status");
        for (std::string word; file >> word;) {
            double kilobytes = 0;
            if (word == "VmHWM:" && file >> kilobytes)
                return kilobytes / 1000;
        }
        return 0;
    }
    /// \returns the path of the file with the output of the process
    std::string log() const { return m_folder + "/log"; }

private:
    std::string m_folder;
    pid_t m_pid = 0;
};

} // namespace pimentopoint
