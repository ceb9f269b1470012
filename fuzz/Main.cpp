/// \file
/// Fuzzes the parts of the edge that read bytes of others, with inputs that depend on a seed alone.
#include "ForeignReader.h"
#include "InputMutator.h"

#include <algorithm>
#include <chrono>
#include <csignal>
#include <docopt/docopt.h>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

using namespace pimentopoint;

namespace {

constexpr const char* usage = R"(Gives damaged inputs to the parts of the edge that read bytes of targets, callers, the store, other hosts and settings.

Usage:
  ReaderFuzz [--corpus DIR] [--reader NAME] [--first N] [--inputs N] [--seconds N] [--print]

Options:
  --corpus DIR   Folder with a folder of inputs for each reader [default: fuzz/corpus].
  --reader NAME  Only this reader: replies, requests, store, entries, updates, members or settings.
  --first N      Seed of the first input [default: 1].
  --inputs N     Number of inputs for each reader [default: 1000].
  --seconds N    Most seconds for each reader; 0: not limited [default: 0].
  --print        Print each input before it is read; shows the input that ends the process.

Exit codes: 0 no findings, 1 findings, 2 no corpus for a reader. A sanitizer's report ends the process with another code.
)";

std::vector<std::string> readCorpus(const std::filesystem::path& folder)
{
    std::vector<std::filesystem::path> paths;
    if (std::filesystem::is_directory(folder)) {
        for (const auto& entry : std::filesystem::directory_iterator(folder))
            paths.push_back(entry.path());
    }
    // The order of a folder's entries differs between machines.
    std::sort(paths.begin(), paths.end());
    std::vector<std::string> corpus;
    for (const auto& path : paths) {
        std::stringstream content;
        content << std::ifstream(path, std::ios::binary).rdbuf();
        corpus.push_back(content.str());
    }
    return corpus;
}

/// Counts of one reader.
struct FuzzCounts {
    std::uint64_t inputs = 0;
    std::uint64_t findings = 0;
};

FuzzCounts fuzz(const ForeignReader& reader, const InputMutator& mutator, std::uint64_t first, std::uint64_t inputs, std::chrono::seconds timeout, bool print)
{
    FuzzCounts counts;
    auto end = std::chrono::steady_clock::now() + timeout;
    for (std::uint64_t seed = first; seed < first + inputs; ++seed) {
        if (timeout.count() && std::chrono::steady_clock::now() >= end)
            break;
        std::string input = mutator.makeInput(seed);
        if (print)
            std::cout << reader.name << " " << seed << ", " << input.size() << " bytes:\n"
                      << input << std::endl;
        ++counts.inputs;
        try {
            reader.read(input);
        } catch (const std::exception& error) {
            ++counts.findings;
            std::cout << reader.name << ", seed " << seed << ": " << error.what() << std::endl;
        }
    }
    return counts;
}

} // namespace

int main(int argc, char** argv)
{
    std::signal(SIGPIPE, SIG_IGN);
    auto arguments = docopt::docopt(usage, { argv + 1, argv + argc });
    std::filesystem::path corpusFolder(arguments["--corpus"].asString());
    auto first = static_cast<std::uint64_t>(arguments["--first"].asLong());
    auto inputs = static_cast<std::uint64_t>(arguments["--inputs"].asLong());
    std::chrono::seconds timeout(arguments["--seconds"].asLong());
    std::uint64_t clean = 0;
    std::uint64_t failed = 0;
    for (const ForeignReader& reader : foreignReaders()) {
        if (arguments["--reader"] && arguments["--reader"].asString() != reader.name)
            continue;
        std::vector<std::string> corpus = readCorpus(corpusFolder / reader.name);
        if (corpus.empty()) {
            std::cerr << (corpusFolder / reader.name).string() << " has no inputs\n";
            return 2;
        }
        FuzzCounts counts = fuzz(reader, InputMutator(std::move(corpus)), first, inputs, timeout, arguments["--print"].asBool());
        std::cout << reader.name << ": " << counts.inputs << " inputs, " << counts.findings << " findings" << std::endl;
        ++(counts.findings ? failed : clean);
    }
    std::cout << clean << " passed, " << failed << " failed" << std::endl;
    return failed ? 1 : 0;
}
