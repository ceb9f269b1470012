/// \file
/// Main function of the operator program.
#include "Commands.h"

#include <Pimentopoint/Operator>
#include <csignal>
#include <docopt/docopt.h>
#include <iostream>

using namespace pimentopoint;
using namespace pimentopoint::commands;

namespace {

constexpr const char* usage = R"(Checks configurations and queries running processes.

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
  --front ADDRESS  HTTP address of a front, such as 127.0.0.1:8100.
  --deadline TIME  Deadline of the request, such as 59ms.
  --id ID          Identifier of the request, for use with explain.
  --once           Request a ticket first, so that the request runs at most once.
  --ticket TICKET  Use a ticket issued earlier, for example to resend a request.
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

Exit codes: 0 success (ask: complete answer), 1 failure, 2 invalid arguments, 3 invalid document,
4 partial answer, 5 not run, 6 outcome unknown, 7 burn rate of a service level above 1.
)";

class InvalidAddress : public Failure {
public:
    explicit InvalidAddress(const std::string& text)
        : Failure(text + ": an address must be an IPv4 address and a port, such as 127.0.0.1:8100")
    {
    }
};

using Arguments = std::map<std::string, docopt::value>;

Endpoint parseEndpoint(const std::string& text)
{
    auto parsed = Endpoint::parse(text);
    if (!parsed)
        throw InvalidAddress(text);
    return *parsed;
}

std::string optionalString(const Arguments& arguments, const std::string& name)
{
    const docopt::value& value = arguments.at(name);
    return value ? value.asString() : "";
}

std::vector<Endpoint> parseEndpoints(const docopt::value& list)
{
    std::vector<Endpoint> parsed;
    for (const std::string& text : list.asStringList())
        parsed.push_back(parseEndpoint(text));
    return parsed;
}

AskOptions askOptions(const Arguments& arguments)
{
    AskOptions options;
    options.front = parseEndpoint(arguments.at("--front").asString());
    options.searchFront = arguments.at("SEARCHFRONT").asString();
    options.query = arguments.at("QUERY").asString();
    options.deadline = optionalString(arguments, "--deadline");
    options.id = optionalString(arguments, "--id");
    options.once = arguments.at("--once").asBool();
    options.ticket = optionalString(arguments, "--ticket");
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
        return burn(parseEndpoints(arguments.at("ADDRESS")), json);
    Endpoint process = parseEndpoints(arguments.at("ADDRESS")).front();
    if (arguments.at("status").asBool())
        return status(process, json);
    return explain(process, arguments.at("ID").asString(), json);
}

} // namespace

int main(int argc, char** argv)
{
    // A write to a closed pipe then returns an error instead of terminating the process with SIGPIPE.
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
