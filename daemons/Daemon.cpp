#include "Daemon.h"

#include <chrono>
#include <csignal>
#include <curl/curl.h>
#include <fstream>
#include <iostream>
#include <sstream>
#include <unistd.h>

namespace pimentopoint {

namespace {

    constexpr Duration pollInterval = std::chrono::milliseconds(5);

    sigset_t stopSignals()
    {
        sigset_t signals;
        sigemptyset(&signals);
        sigaddset(&signals, SIGTERM);
        sigaddset(&signals, SIGINT);
        return signals;
    }

} // namespace

StopSignal::StopSignal()
{
    sigset_t signals = stopSignals();
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);
}

void StopSignal::wait() const
{
    sigset_t signals = stopSignals();
    int received = 0;
    sigwait(&signals, &received);
}

void StopSignal::raise()
{
    kill(getpid(), SIGTERM);
}

bool waitUntil(const std::function<bool()>& condition, Duration timeout)
{
    std::mutex mutex;
    std::condition_variable neverNotified;
    std::unique_lock lock(mutex);
    auto end = std::chrono::steady_clock::now() + timeout;
    while (!condition()) {
        if (std::chrono::steady_clock::now() >= end)
            return false;
        neverNotified.wait_for(lock, pollInterval);
    }
    return true;
}

void sleepFor(Duration duration)
{
    waitUntil([] { return false; }, duration);
}

Incarnation newIncarnation()
{
    auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return Incarnation(static_cast<std::uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(sinceEpoch).count()));
}

std::variant<std::map<std::string, docopt::value>, int> parseArguments(int argc, char** argv, const std::string& usage, const std::string& program)
{
    try {
        return docopt::docopt_parse(usage, { argv + 1, argv + argc }, true, true);
    } catch (const docopt::DocoptExitHelp&) {
        std::cout << usage;
        return exitOk;
    } catch (const docopt::DocoptExitVersion&) {
        std::cout << program << " " << PIMENTOPOINT_VERSION << "\n";
        return exitOk;
    } catch (const docopt::DocoptArgumentError& error) {
        std::cerr << error.what() << "\n"
                  << usage;
        return exitUsage;
    }
}

std::optional<std::string> readSettings(const std::string& path)
{
    std::ifstream file(path);
    if (!file) {
        std::cerr << (path.empty() ? "no settings file is given" : path + ": cannot be read") << "\n";
        return std::nullopt;
    }
    std::stringstream content;
    content << file.rdbuf();
    return content.str();
}

int runReportingErrors(const std::string& program, const std::function<void()>& run)
{
    try {
        run();
        return exitOk;
    } catch (const InvalidDocument& invalid) {
        std::cerr << invalid.what() << "\n";
        return exitInvalid;
    } catch (const std::exception& failure) {
        Log::event(Severity::Error, "start-failed", { { "cause", failure.what() } });
        std::cerr << program << ": " << failure.what() << "\n";
        return exitFailed;
    }
}

int runDaemon(int argc, char** argv, const std::string& usage, const std::string& program, const std::function<void(const Settings&)>& run)
{
    auto parsed = parseArguments(argc, argv, usage, program);
    if (const int* code = std::get_if<int>(&parsed))
        return *code;
    auto& arguments = std::get<0>(parsed);
    std::string path = arguments["--settings"].asString();
    auto text = readSettings(path);
    if (!text)
        return exitInvalid;
    return runReportingErrors(program, [&] {
        Settings settings = Settings::read(*text, path);
        if (arguments["--check"].asBool()) {
            std::cout << path << ": valid\n";
            return;
        }
        Log::start(program, settings.name(), settings.dataCentre(), static_cast<Severity>(settings.logLevel()));
        curl_global_init(CURL_GLOBAL_DEFAULT);
        run(settings);
    });
}

} // namespace pimentopoint
