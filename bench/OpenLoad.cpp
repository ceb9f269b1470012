#include "OpenLoad.h"

#include "MallocCount.h"
#include "Measure.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

namespace pimentopoint::bench {

namespace {

    constexpr Duration leadIn = std::chrono::milliseconds(200);

    void merge(LoadResult& all, const LoadResult& part)
    {
        all.milliseconds.insert(all.milliseconds.end(), part.milliseconds.begin(), part.milliseconds.end());
        for (std::size_t i = 0; i < all.outcomes.size(); ++i)
            all.outcomes[i] += part.outcomes[i];
        all.coverage += part.coverage;
        all.allocations += part.allocations;
        all.coreSeconds += part.coreSeconds;
    }

} // namespace

double LoadResult::quantile(double share) const
{
    if (milliseconds.empty())
        return 0;
    return milliseconds[static_cast<std::size_t>(share * static_cast<double>(milliseconds.size() - 1))];
}

LoadResult runOpenLoad(double rate, Duration length, unsigned threads, const std::function<QueryFunction(unsigned thread)>& makeAsker)
{
    using Clock = std::chrono::steady_clock;
    auto begin = Clock::now() + leadIn;
    auto interval = std::chrono::nanoseconds(static_cast<std::int64_t>(1e9 / rate));
    auto total = static_cast<std::uint64_t>(std::chrono::duration<double>(length).count() * rate);
    std::atomic<std::uint64_t> next { 0 };
    std::mutex mutex;
    LoadResult all;
    auto run = [&](unsigned thread) {
        QueryFunction ask = makeAsker(thread);
        LoadResult own;
        std::uint64_t allocationsBefore = threadAllocations();
        double secondsBefore = threadCpuSeconds();
        for (std::uint64_t number = next++; number < total; number = next++) {
            auto due = begin + interval * static_cast<std::int64_t>(number);
            std::this_thread::sleep_until(due);
            QueryResult asked = ask(number);
            own.coverage += asked.coverage;
            ++own.outcomes.at(static_cast<std::size_t>(asked.outcome));
            own.milliseconds.push_back(std::chrono::duration<double, std::milli>(Clock::now() - due).count());
        }
        own.allocations = threadAllocations() - allocationsBefore;
        own.coreSeconds = threadCpuSeconds() - secondsBefore;
        std::lock_guard lock(mutex);
        merge(all, own);
    };
    std::vector<std::thread> running;
    for (unsigned i = 0; i < threads; ++i)
        running.emplace_back(run, i);
    for (std::thread& thread : running)
        thread.join();
    std::sort(all.milliseconds.begin(), all.milliseconds.end());
    all.coverage /= static_cast<double>(std::max<std::size_t>(all.milliseconds.size(), 1));
    all.seconds = std::chrono::duration<double>(Clock::now() - begin).count();
    return all;
}

} // namespace pimentopoint::bench
