/// \file
/// Functions shared by the daemons: arguments, settings, log, signals.
#pragma once

#include <Pimentopoint/Core>
#include <Pimentopoint/Operator>
#include <condition_variable>
#include <docopt/docopt.h>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <variant>

namespace pimentopoint {

/// Exit codes of the daemons.
enum ExitCode {
    exitOk = 0,
    exitFailed = 1, ///< The daemon could not start or failed while running.
    exitUsage = 2, ///< The arguments are invalid.
    exitInvalid = 3, ///< The settings are invalid.
};

/// \class StopSignal
/// \brief Waits for SIGTERM or SIGINT. Create it before any thread, as threads inherit the signal mask that it sets.
class StopSignal {
public:
    StopSignal();
    /// Blocks until a signal arrives.
    void wait() const;
    /// Ends wait() by sending SIGTERM to this process.
    static void raise();
};

/// \brief Blocks until \a condition holds, checking it every 5 ms.
/// \returns false if it did not hold within \a timeout
bool waitUntil(const std::function<bool()>& condition, Duration timeout);

void sleepFor(Duration duration);

/// \returns an incarnation for this process: the current time (microseconds since the epoch)
Incarnation newIncarnation();

/// \brief Parses \a argv according to \a usage; prints the help or the version on request, and errors in the arguments.
/// \returns the arguments, or the exit code if the program must end
std::variant<std::map<std::string, docopt::value>, int> parseArguments(int argc, char** argv, const std::string& usage, const std::string& program);

/// \returns the text of the file at \a path, or nothing after printing an error
std::optional<std::string> readSettings(const std::string& path);

/// \brief Calls \a run and prints the exception if it throws one; exceptions other than InvalidDocument are also logged.
/// \returns the exit code
int runReportingErrors(const std::string& program, const std::function<void()>& run);

/// \brief Runs a daemon: parses arguments and settings, starts the log and calls \a run.
/// \returns the exit code
int runDaemon(int argc, char** argv, const std::string& usage, const std::string& program, const std::function<void(const Settings&)>& run);

} // namespace pimentopoint
