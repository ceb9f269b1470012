/// \file
/// Commands of the operator program; each function returns the exit code.
#pragma once

#include <Pimentopoint/Core>
#include <string>
#include <vector>

namespace pimentopoint::commands {

/// Exit codes of the operator program.
enum ExitCode {
    exitOk = 0,
    exitFailed = 1, ///< A process could not be reached or a file could not be read.
    exitUsage = 2, ///< The arguments are invalid.
    exitInvalid = 3, ///< A document is invalid.
    exitPartial = 4, ///< The answer is partial.
    exitNotRun = 5, ///< The request was not run.
    exitUnknown = 6, ///< The outcome of the request is unknown.
    exitBurnRateExceeded = 7, ///< The burn rate of a service level is greater than 1.
};

/// Request that `ask` sends.
struct AskOptions {
    Endpoint front;
    std::string searchFront;
    std::string query;
    std::string deadline; ///< Empty to use the deadline of the search front.
    std::string id; ///< Empty to let the front generate an id.
    bool once = false; ///< Request a new ticket and use it.
    std::string ticket; ///< Ticket to use, issued earlier; empty for none.
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
