#pragma once

#include <functional>
#include <string>
#include <vector>

namespace pimentopoint {

/// A part of the edge that reads bytes of others.
struct ForeignReader {
    std::string name; ///< Also the name of its folder in the corpus.
    /// Reads one input. An exception that leaves it, or an end of the process, is a finding.
    std::function<void(const std::string&)> read;
};

/// \returns all readers: replies, requests, store, entries (of the store), updates, members and settings
std::vector<ForeignReader> foreignReaders();

} // namespace pimentopoint
