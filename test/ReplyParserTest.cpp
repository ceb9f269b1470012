#include <Pimentopoint/Net>
#include <algorithm>
#include <catch2/catch.hpp>
#include <random>

using namespace pimentopoint;

namespace {

using Progress = ReplyParser::Progress;

constexpr ReplyParser::Limits limits { 512, 4096 };
/// Strings grow by doubling, and a head is stored beside the bytes that are not parsed yet.
constexpr std::size_t maxHeldBytes = std::size_t(2) * (2 * 512 + 4096);

struct Parsed {
    Progress progress = Progress::Incomplete;
    int interimReplies = 0;
    unsigned status = 0;
    std::string body;

    bool operator==(const Parsed&) const = default;
};

/// Parses \a text in pieces of \a piece bytes until the reply is complete or invalid.
Parsed parse(const std::string& text, std::size_t piece, bool hasBody = true)
{
    ReplyParser parser(limits, hasBody);
    Parsed parsed;
    for (std::size_t at = 0; at < text.size() && parsed.progress == Progress::Incomplete; at += piece) {
        parsed.progress = parser.put(std::string_view(text).substr(at, piece));
        for (; parsed.progress == Progress::Interim; parsed.progress = parser.put({}))
            ++parsed.interimReplies;
        if (parsed.progress == Progress::Incomplete)
            CHECK(parser.heldBytes() <= maxHeldBytes + 2 * piece);
    }
    if (parsed.progress == Progress::Complete) {
        parsed.status = parser.reply().result_int();
        parsed.body = parser.takeBody();
    }
    return parsed;
}

const std::string head = "HTTP/1.1 200 OK\r\n";
const std::string chunked = head + "Transfer-Encoding: chunked\r\n\r\n";

std::string repeat(const std::string& text, std::size_t count)
{
    std::string result;
    for (std::size_t i = 0; i < count; ++i)
        result += text;
    return result;
}

std::string chunk(std::size_t size)
{
    char digits[16];
    std::snprintf(digits, sizeof digits, "%zx", size);
    return digits + std::string("\r\n") + std::string(size, 'x') + "\r\n";
}

} // namespace

TEST_CASE("A reply is parsed alike whatever the pieces in which it arrives")
{
    struct Case {
        const char* name;
        std::string text;
        Progress progress;
        std::size_t bodyBytes;
        bool hasBody = true;
    };
    const Case cases[] = {
        { "with a length", head + "Content-Length: 2\r\n\r\nok", Progress::Complete, 2 },
        { "without a body", head + "Content-Length: 0\r\n\r\n", Progress::Complete, 0 },
        { "to HEAD", head + "Content-Length: 5000\r\n\r\n", Progress::Complete, 0, false },
        { "to HEAD, after an interim reply", "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "Content-Length: 5000\r\n\r\n", Progress::Complete, 0, false },
        { "in chunks", chunked + chunk(3) + chunk(100) + "0\r\n\r\n", Progress::Complete, 103 },
        { "in chunks with a trailer", chunked + chunk(3) + "0\r\nX-Checksum: 1\r\n\r\n", Progress::Complete, 3 },
        { "in chunks with extensions", chunked + "3;a=b\r\nabc\r\n0;c\r\n\r\n", Progress::Complete, 3 },
        { "after interim replies", repeat("HTTP/1.1 102 Processing\r\n\r\n", 3) + head + "Content-Length: 2\r\n\r\nok", Progress::Complete, 2 },
        { "with the largest body", head + "Content-Length: 4096\r\n\r\n" + std::string(4096, 'x'), Progress::Complete, 4096 },
        { "with the largest body in chunks", chunked + chunk(4000) + chunk(96) + "0\r\n\r\n", Progress::Complete, 4096 },
        { "that ends with the connection", head + "\r\nok", Progress::Incomplete, 0 },
        { "cut short", head + "Content-Length: 3\r\n\r\nok", Progress::Incomplete, 0 },
        { "that is not HTTP", "nonsense\r\n\r\n", Progress::Invalid, 0 },
        { "with two lengths", head + "Content-Length: 2\r\nContent-Length: 3\r\n\r\nok", Progress::Invalid, 0 },
    };
    for (const Case& each : cases) {
        INFO(each.name);
        Parsed whole = parse(each.text, each.text.size(), each.hasBody);
        CHECK(whole.progress == each.progress);
        CHECK(whole.body.size() == each.bodyBytes);
        for (std::size_t piece : { 1, 2, 7, 100 })
            CHECK(parse(each.text, piece, each.hasBody) == whole);
    }
}

// Guards against: a part of a reply that no limit counts, so that its bytes are kept, or read, without end.
TEST_CASE("A reply is invalid as soon as any part of it exceeds its limit")
{
    struct Case {
        const char* name;
        std::string text;
        std::size_t maxParsedBytes; ///< Number of bytes by which the reply must have been found invalid.
    };
    constexpr std::size_t headLimit = limits.headBytes;
    constexpr std::size_t bodyLimit = limits.bodyBytes;
    const std::string filler(20000, 'x');
    const Case cases[] = {
        { "a stated length", head + "Content-Length: 4097\r\n\r\nhello", 60 },
        { "a stated length that can't be allocated", head + "Content-Length: 4999999999999999999\r\n\r\nhello", 80 },
        { "the largest stated length", head + "Content-Length: 18446744073709551615\r\n\r\nhello", 80 },
        { "the size of a chunk", chunked + "1001\r\n" + filler, 80 },
        { "the sum of chunks", chunked + chunk(4000) + chunk(97), bodyLimit + 100 },
        { "a body without a length", head + "\r\n" + filler, bodyLimit + 100 },
        { "a status line", "HTTP/1.1 200 " + filler, headLimit + 100 },
        { "a header field", head + "X-Field: " + filler, headLimit + 100 },
        { "many header fields", head + repeat("X: 1\r\n", 2000), headLimit + 100 },
        { "a chunk header", chunked + "5;" + filler, headLimit + 100 },
        { "a chunk header, complete", chunked + "5;" + std::string(600, 'x') + "\r\nhello\r\n0\r\n\r\n", headLimit + 100 },
        { "chunk headers together", chunked + repeat("1;" + std::string(400, 'x') + "\r\na\r\n", 100), bodyLimit + headLimit + 100 },
        { "a trailer field", chunked + chunk(5) + "0\r\nX-Field: " + filler, headLimit + 100 },
        { "many trailer fields", chunked + chunk(5) + "0\r\n" + repeat("X: 1\r\n", 2000), headLimit + 100 },
        { "interim replies", repeat("HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n", 500), headLimit + 100 },
        { "a header field after an interim reply", "HTTP/1.1 103 Early Hints\r\n\r\n" + head + "X-Field: " + filler, headLimit + 100 },
        { "a chunk header after an interim reply", "HTTP/1.1 103 Early Hints\r\n\r\n" + chunked + "5;" + filler, headLimit + 100 },
    };
    for (const Case& each : cases) {
        INFO(each.name);
        for (std::size_t piece : { std::size_t(1), std::size_t(7), std::size_t(100), each.text.size() }) {
            INFO("pieces of " << piece);
            CHECK(parse(each.text.substr(0, each.maxParsedBytes + piece), piece).progress == Progress::Invalid);
        }
    }
}

TEST_CASE("Damaged replies never make the parser throw or store more than its limits allow")
{
    const std::string sound[] = {
        head + "Content-Length: 20\r\nKeep-Alive: timeout=5\r\n\r\n" + std::string(20, 'x'),
        chunked + chunk(20) + chunk(300) + "0\r\nX-Checksum: 1\r\n\r\n",
        "HTTP/1.1 103 Early Hints\r\nX: 1\r\n\r\n" + head + "Content-Length: 3\r\n\r\nabc",
        head + "\r\nuntil the connection ends",
    };
    const std::string pieces[] = { "\r\n", "\r\n\r\n", "0", "ffffffffffffffff", "-1", ";", ":", " ", "Content-Length: ", "Transfer-Encoding: chunked\r\n", "HTTP/1.1 100 Continue\r\n\r\n", std::string(1, '\0'), std::string(700, 'y') };
    for (unsigned seed = 1; seed <= 4000; ++seed) {
        std::mt19937 random(seed);
        std::string text = sound[random() % std::size(sound)];
        for (unsigned change = random() % 5; change > 0; --change) {
            std::size_t at = random() % (text.size() + 1);
            switch (random() % 4) {
            case 0:
                text.insert(at, pieces[random() % std::size(pieces)]);
                break;
            case 1:
                text.erase(at, random() % 10);
                break;
            case 2:
                text.insert(at, 1, static_cast<char>(random() % 256));
                break;
            default:
                text.insert(at, text.substr(random() % (text.size() + 1), random() % 200));
            }
        }
        INFO("seed " << seed);
        Parsed whole = parse(text, std::max<std::size_t>(text.size(), 1));
        for (std::size_t piece : { std::size_t(1), std::size_t(1 + random() % 50) }) {
            Parsed inPieces = parse(text, piece);
            INFO("pieces of " << piece << ": " << text);
            // Bytes that are no head may be found invalid only when a head would be too long.
            bool complete = whole.progress == Progress::Complete;
            CHECK((inPieces.progress == Progress::Complete) == complete);
            if (complete)
                CHECK(inPieces == whole);
        }
    }
}

TEST_CASE("A connection is reusable after a reply with a stated end that is followed by no byte")
{
    const std::pair<std::string, bool> cases[] = {
        { head + "Content-Length: 2\r\n\r\nok", true },
        { chunked + chunk(3) + "0\r\n\r\n", true },
        { head + "Content-Length: 2\r\n\r\nok?", false },
        { head + "Content-Length: 2\r\nConnection: close\r\n\r\nok", false },
    };
    for (const auto& [text, reusable] : cases) {
        INFO(text);
        ReplyParser parser(limits, true);
        REQUIRE(parser.put(text) == Progress::Complete);
        CHECK(parser.reusable() == reusable);
    }
    ReplyParser parser(limits, true);
    REQUIRE(parser.put(head + "\r\nok") == Progress::Incomplete);
    REQUIRE(parser.putEnd() == Progress::Complete);
    CHECK_FALSE(parser.reusable());
}
