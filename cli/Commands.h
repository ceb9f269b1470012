/// \file
/// The operator's commands; each returns the exit code of the program.
#pragma once

#include <Pimentopoint/Core>
#include <string>
#include <vector>

namespace pimentopoint::commands {

/// Exit codes of the operator's program.
enum ExitCode {
    exitOk = 0,
    exitFailed = 1, ///< A process could not be reached, or a file not read.
    exitUsage = 2, ///< The arguments are wrong.
    exitInvalid = 3, ///< A document is invalid.
    exitPartial = 4, ///< The answer is partial.
    exitNotRun = 5, ///< The request was not run.
    exitUnknown = 6, ///< The outcome of the request is unknown.
    exitBurnRateExceeded = 7, ///< A service level burns faster than its budget allows.
};

/// What `ask` is to send.
struct AskOptions {
    Endpoint front;
    std::string searchFront;
    std::string query;
    std::string deadline; ///< Empty for the search front's own.
    std::string id; ///< Empty for one of the front's.
    bool once = false; ///< Take a ticket first.
    std::string ticket; ///< Use this one.
    bool json = false;
};

int check(const std::vector<std::string>& files, bool json);
int print(const std::string& file);
int diff(const std::string& before, const std::string& after);
int ask(const AskOptions& options);
int status(const Endpoint& process, bool json);
int explain(const Endpoint& front, const std::string& id, bool json);
int burn(const std::vector<Endpoint>& fronts, bool json);

} // namespace pimentopoint::commands
