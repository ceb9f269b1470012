#pragma once

#include <cstdint>
#include <random>
#include <string>
#include <vector>

namespace pimentopoint {

/// \class InputMutator
/// \brief Derives inputs for a reader from a corpus of valid and odd ones; an input depends on the corpus and its seed alone.
class InputMutator {
public:
    /// \param corpus at least one input
    explicit InputMutator(std::vector<std::string> corpus);

    std::string makeInput(std::uint64_t seed) const;

private:
    using Random = std::mt19937_64;

    static std::size_t pick(Random& random, std::size_t count) { return static_cast<std::size_t>(random() % count); }
    void mutate(std::string& input, Random& random) const;
    /// Replaces a number in the text by an extreme one.
    static void replaceNumber(std::string& input, Random& random);

    std::vector<std::string> m_corpus;
};

} // namespace pimentopoint
