/// \file
/// The operator's program.
#include "Commands.h"

#include <Pimentopoint/Operator>
#include <csignal>
#include <docopt/docopt.h>
#include <iostream>

using namespace pimentopoint;
using namespace pimentopoint::commands;

namespace {

constexpr const char* usage = R"(Checks configurations and asks running processes.

Usage:
  pimentopoint check [--json] FILE...
  pimentopoint print FILE
  pimentopoint diff BEFORE AFTER
  pimentopoint ask --front ADDRESS [--deadline TIME] [--id ID] [--once | --ticket TICKET] [--json] SEARCHFRONT QUERY
  pimentopoint status [--json] ADDRESS
  pimentopoint explain [--json] ADDRESS ID
  pimentopoint burn [--json] ADDRESS...
  pimentopoint (--help | --version)

Options:
  --front ADDRESS  HTTP address of a front, as in 127.0.0.1:8100.
  --deadline TIME  Answer within this time, as in 59ms.
  --id ID          Name the request, for explain.
  --once           Take a ticket first, so that the request runs at most once.
  --ticket TICKET  Use a ticket taken before, as when repeating a request.
  --json           Print JSON.
  --help           Show this text.
  --version        Show the version.

Examples:
  pimentopoint check fronts.yaml
  pimentopoint diff fronts-before.yaml fronts.yaml
  pimentopoint ask --front 127.0.0.1:8100 kitchen-portal "copper pan 12"
  pimentopoint ask --front 127.0.0.1:8100 --once courier-pickup "order 77"
  pimentopoint status 127.0.0.1:8100
  pimentopoint explain 127.0.0.1:8100 my-request
  pimentopoint burn 127.0.0.1:8100 127.0.0.1:8110

Exit codes: 0 done (ask: a whole answer), 1 failed, 2 wrong arguments, 3 invalid document,
4 partial answer, 5 not run, 6 outcome unknown, 7 a service level burns too fast.
)";

class InvalidAddress : public Failure {
public:
    explicit InvalidAddress(const std::string& text)
        : Failure(text + " is no address, as in 127.0.0.1:8100")
    {
    }
};

using Arguments = std::map<std::string, docopt::value>;

Endpoint endpoint(const std::string& text)
{
    auto parsed = Endpoint::parse(text);
    if (!parsed)
        throw InvalidAddress(text);
    return *parsed;
}

std::string optional(const Arguments& arguments, const std::string& name)
{
    const docopt::value& value = arguments.at(name);
    return value ? value.asString() : "";
}

std::vector<Endpoint> endpoints(const docopt::value& list)
{
    std::vector<Endpoint> parsed;
    for (const std::string& text : list.asStringList())
        parsed.push_back(endpoint(text));
    return parsed;
}

AskOptions askOptions(const Arguments& arguments)
{
    AskOptions options;
    options.front = endpoint(arguments.at("--front").asString());
    options.searchFront = arguments.at("SEARCHFRONT").asString();
    options.query = arguments.at("QUERY").asString();
    options.deadline = optional(arguments, "--deadline");
    options.id = optional(arguments, "--id");
    options.once = arguments.at("--once").asBool();
    options.ticket = optional(arguments, "--ticket");
    options.json = arguments.at("--json").asBool();
    return options;
}

int run(const Arguments& arguments)
{
    bool json = arguments.at("--json").asBool();
    if (arguments.at("check").asBool())
        return check(arguments.at("FILE").asStringList(), json);
    if (arguments.at("print").asBool())
        return print(arguments.at("FILE").asStringList().front());
    if (arguments.at("diff").asBool())
        return diff(arguments.at("BEFORE").asString(), arguments.at("AFTER").asString());
    if (arguments.at("ask").asBool())
        return ask(askOptions(arguments));
    if (arguments.at("burn").asBool())
        return burn(endpoints(arguments.at("ADDRESS")), json);
    Endpoint process = endpoints(arguments.at("ADDRESS")).front();
    if (arguments.at("status").asBool())
        return status(process, json);
    return explain(process, arguments.at("ID").asString(), json);
}

} // namespace

int main(int argc, char** argv)
{
    // Output into a closed pipe ends with an error of the write, not with a signal.
    std::signal(SIGPIPE, SIG_IGN);
    try {
        return run(docopt::docopt_parse(usage, { argv + 1, argv + argc }, true, true));
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        return exitOk;
    } catch (const docopt::DocoptExitVersion&) {
        std::cout << "pimentopoint " << PIMENTOPOINT_VERSION << "\n";
        return exitOk;
    } catch (const docopt::DocoptArgumentError& error) {
        std::cerr << error.what() << "\n"
                  << usage;
        return exitUsage;
    } catch (const InvalidDocument& invalid) {
        std::cerr << invalid.what() << "\n";
        return exitInvalid;
    } catch (const std::exception& failure) {
        std::cerr << failure.what() << "\n";
        return exitFailed;
    }
}
