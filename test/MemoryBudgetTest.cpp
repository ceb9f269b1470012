#include <Pimentopoint/Core>
#include <algorithm>
#include <catch2/catch.hpp>
#include <memory>
#include <random>
#include <vector>

using namespace pimentopoint;

namespace {

/// A holder that grows as it is told and counts how often it had to free its memory.
struct Holder {
    explicit Holder(MemoryBudget& budget)
        : charge(budget, [this] { ++releases; })
    {
    }

    void grow(std::size_t bytes)
    {
        if (!charge.set(charge.bytes() + bytes))
            ++releases;
    }

    int releases = 0;
    MemoryCharge charge;
};

} // namespace

TEST_CASE("Only the largest holder frees its memory when a budget is exceeded")
{
    MemoryBudget budget(100);
    Holder small(budget);
    Holder large(budget);
    Holder growing(budget);
    small.grow(10);
    large.grow(60);
    growing.grow(30);
    CHECK(budget.usedBytes() == 100);
    // The holder that grows is not the largest one.
    growing.grow(1);
    CHECK(large.releases == 1);
    CHECK(large.charge.bytes() == 0);
    CHECK(budget.usedBytes() == 41);
    // Now it is.
    growing.grow(60);
    CHECK(growing.releases == 1);
    CHECK(growing.charge.bytes() == 0);
    CHECK(small.releases == 0);
    CHECK(budget.usedBytes() == 10);
    CHECK(budget.releases() == 2);
}

TEST_CASE("A holder larger than the whole budget affects no other one")
{
    MemoryBudget budget(100);
    Holder small(budget);
    Holder huge(budget);
    small.grow(40);
    huge.grow(101);
    CHECK(huge.releases == 1);
    CHECK(small.releases == 0);
    CHECK(budget.usedBytes() == 40);
}

TEST_CASE("Under random growth and ends a budget is never exceeded, and holders below an equal part of it keep their memory")
{
    for (unsigned seed = 1; seed <= 20; ++seed) {
        INFO("seed " << seed);
        std::mt19937 random(seed);
        constexpr std::size_t limit = 100000;
        constexpr std::size_t holderCount = 200;
        MemoryBudget budget(limit);
        std::vector<std::unique_ptr<Holder>> holders(holderCount);
        bool limitHeld = true;
        bool smallKept = true;
        for (int step = 0; step < 20000; ++step) {
            std::size_t number = random() % holderCount;
            auto& holder = holders[number];
            if (!holder)
                holder = std::make_unique<Holder>(budget);
            else if (random() % 8 == 0)
                holder.reset();
            else if (number % 2)
                holder->grow(random() % 5000); // As a reply that does not end.
            else
                holder->charge.bytes() < limit / holderCount / 2 ? holder->grow(random() % (limit / holderCount / 2)) : holder->charge.clear();
            std::size_t sum = 0;
            for (std::size_t i = 0; i < holderCount; ++i) {
                if (!holders[i])
                    continue;
                sum += holders[i]->charge.bytes();
                smallKept = smallKept && (i % 2 || !holders[i]->releases);
            }
            limitHeld = limitHeld && sum == budget.usedBytes() && sum <= limit;
        }
        CHECK(limitHeld);
        CHECK(smallKept);
        CHECK(budget.releases() > 0);
    }
}
