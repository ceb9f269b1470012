#include <Pimentopoint/Core>
#include <catch2/catch.hpp>

using namespace pimentopoint;
using namespace std::chrono_literals;

TEST_CASE("Durations parse with a unit and print with the largest unit that represents them exactly")
{
    CHECK(parseDuration("59ms") == Duration(59ms));
    CHECK(parseDuration("1.5s") == Duration(1500ms));
    CHECK(parseDuration("2min") == Duration(2min));
    CHECK(parseDuration("7us") == Duration(7));
    for (const char* bad : { "", "ms", "59", "59 ms", "nanms", "1e300s", "5h", "x5ms" })
        CHECK_FALSE(parseDuration(bad));
    CHECK(formatDuration(59ms) == "59ms");
    CHECK(formatDuration(2000ms) == "2s");
    CHECK(formatDuration(Duration(1500)) == "1500us");
}

TEST_CASE("Fractions parse only from percentages between 0% and 100%")
{
    CHECK(parseFraction("5%") == Fraction(0.05));
    for (const char* bad : { "5", "%", "-1%", "101%", "nan%" })
        CHECK_FALSE(parseFraction(bad));
    CHECK(formatFraction(Fraction(0.999)) == "99.9%");
}

TEST_CASE("Endpoints parse only from an IPv4 address and a port")
{
    CHECK(Endpoint::parse("127.0.0.1:80") == Endpoint("127.0.0.1", 80));
    for (const char* bad : { "", "localhost:80", "127.0.0.1", "127.0.0.1:0", "127.0.0.1:70000", "127.0.0.1:80x", "1.2.3:4" })
        CHECK_FALSE(Endpoint::parse(bad));
}
