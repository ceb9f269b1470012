#include "InputMutator.h"

#include <algorithm>
#include <cctype>
#include <iterator>

namespace pimentopoint {

namespace {

    constexpr std::size_t maxInputBytes = std::size_t(256) * 1024;
    constexpr std::size_t maxMutations = 6;
    /// Numbers at and beyond the ends of the types that hold them.
    const std::string extremeNumbers[] = { "0", "-1", "65535", "70000", "2147483648", "4294967296", "9223372036854775807", "9223372036854775808", "18446744073709551615", "18446744073709551616",
        "4999999999999999999", "1e19", "1e308", "1e400", "-1e400", "nan", "inf", "0x10", "00", "1.5" };
    /// Text with a meaning in one of the formats.
    const std::string tokens[] = { "\r\n", "\r\n\r\n", "\n", ":", ",", ";", "\"", "\\", "[", "{", "}", "]", "null", "true", "\"\\ud800\"", "\xff\xfe", std::string(1, '\0'), "Content-Length: ", "Transfer-Encoding: chunked\r\n",
        "HTTP/1.1 103 Early Hints\r\n\r\n", "&a", "*a", "!!binary", "- ", "  ", "\t" };

} // namespace

InputMutator::InputMutator(std::vector<std::string> corpus)
    : m_corpus(std::move(corpus))
{
}

std::string InputMutator::makeInput(std::uint64_t seed) const
{
    Random random(seed);
    std::string input = m_corpus[pick(random, m_corpus.size())];
    for (std::size_t mutations = 1 + pick(random, maxMutations); mutations > 0; --mutations)
        mutate(input, random);
    if (input.size() > maxInputBytes)
        input.resize(maxInputBytes);
    return input;
}

void InputMutator::mutate(std::string& input, Random& random) const
{
    constexpr std::size_t kinds = 8;
    constexpr std::size_t byteValues = 256;
    std::size_t at = pick(random, input.size() + 1);
    switch (pick(random, kinds)) {
    case 0:
        if (at < input.size())
            input[at] = static_cast<char>(pick(random, byteValues));
        break;
    case 1:
        input.insert(at, 1, static_cast<char>(pick(random, byteValues)));
        break;
    case 2:
        input.erase(at, 1 + pick(random, 16));
        break;
    case 3:
        input.insert(at, tokens[pick(random, std::size(tokens))]);
        break;
    case 4:
        replaceNumber(input, random);
        break;
    case 5: {
        const std::string& other = m_corpus[pick(random, m_corpus.size())];
        std::size_t from = pick(random, other.size() + 1);
        input.insert(at, other, from, pick(random, other.size() + 1));
        break;
    }
    case 6: {
        // Repetition, for example of an opening bracket.
        std::string part = input.substr(at, 1 + pick(random, 8));
        std::string repeated;
        for (std::size_t count = std::size_t(1) << pick(random, 14); count > 0; --count)
            repeated += part;
        input.insert(at, repeated);
        break;
    }
    default:
        input.resize(at);
    }
}

void InputMutator::replaceNumber(std::string& input, Random& random)
{
    auto isDigit = [](unsigned char c) { return std::isdigit(c) != 0; };
    auto start = input.begin() + static_cast<std::ptrdiff_t>(pick(random, input.size() + 1));
    auto first = std::find_if(start, input.end(), isDigit);
    auto last = std::find_if_not(first, input.end(), isDigit);
    if (first != last)
        input.replace(first, last, extremeNumbers[pick(random, std::size(extremeNumbers))]);
}

} // namespace pimentopoint
