#include "ServeFakes.h"

#include <catch2/catch.hpp>
#include <random>

using namespace pimentopoint;

// Guards against: the whole bodies of a fan-out's replies are kept in memory until its last shard has replied.
TEST_CASE("Reducing each reply to its greatest records does not change the merged answer")
{
    for (unsigned seed = 1; seed <= 200; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        std::size_t count = 1 + random() % 20;
        std::vector<std::string> bodies(1 + random() % 5);
        for (std::string& body : bodies) {
            for (std::size_t record = random() % 400; record > 0; --record)
                body += std::string(recordBytes - 1, 'r') + static_cast<char>('a' + random() % 26);
            body += std::string(random() % recordBytes, 'z'); // Less than a record.
        }
        std::vector<std::string> reduced = bodies;
        for (std::string& body : reduced) {
            keepTopRecords(body, count);
            CHECK(body.size() <= (count + 1) * 4 * recordBytes + recordBytes);
        }
        CHECK(topRecords({ reduced.begin(), reduced.end() }, count) == topRecords({ bodies.begin(), bodies.end() }, count));
    }
}
