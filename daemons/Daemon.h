/// \file
/// What the daemons share: arguments, settings, log, signals.
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
    exitFailed = 1, ///< It could not start or run.
    exitUsage = 2, ///< The arguments are wrong.
    exitInvalid = 3, ///< The settings are invalid.
};

/// \class StopSignal
/// \brief Waits for SIGTERM or SIGINT; create it before any thread.
class StopSignal {
public:
    StopSignal();
    /// Blocks until a signal arrives.
    void wait() const;
    /// Ends wait() as the signal would.
    static void raise();
};

/// \brief Blocks until \a condition holds, looking every few milliseconds.
/// \returns false if it did not hold within \a limit
bool waitUntil(const std::function<bool()>& condition, Duration limit);

/// Blocks for \a duration.
void sleepFor(Duration duration);

/// \returns the incarnation of a process that starts now
Incarnation newIncarnation();

/// \brief Reads \a argv as \a usage says; prints help, version or what is wrong.
/// \returns the arguments, or the code to exit with
std::variant<std::map<std::string, docopt::value>, int> parseArguments(int argc, char** argv, const std::string& usage, const std::string& program);

/// \returns the text of the file at \a path, or nothing and says so
std::optional<std::string> readSettings(const std::string& path);

/// \brief Runs \a run and says what it threw.
/// \returns the code to exit with
int runReportingErrors(const std::string& program, const std::function<void()>& run);

/// \brief Runs a daemon: reads arguments and settings, starts the log, calls \a run.
/// \returns the exit code
int runDaemon(int argc, char** argv, const std::string& usage, const std::string& program, const std::function<void(const Settings&)>& run);

} // namespace pimentopoint
