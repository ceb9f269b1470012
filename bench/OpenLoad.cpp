#include "OpenLoad.h"

#include "MallocCount.h"
#include "Measure.h"

#include <algorithm>
#include <atomic>
#include <mutex>
#include <thread>

namespace pimentopoint::bench {

namespace {

    constexpr Duration startDelay = std::chrono::milliseconds(200);

    void merge(LoadResult& merged, const LoadResult& threadResult)
    {
        merged.milliseconds.insert(merged.milliseconds.end(), threadResult.milliseconds.begin(), threadResult.milliseconds.end());
        for (std::size_t i = 0; i < merged.outcomes.size(); ++i)
            merged.outcomes[i] += threadResult.outcomes[i];
        merged.coverage += threadResult.coverage;
        merged.allocations += threadResult.allocations;
        merged.coreSeconds += threadResult.coreSeconds;
    }

} // namespace

double LoadResult::quantile(double fraction) const
{
    if (milliseconds.empty())
        return 0;
    return milliseconds[static_cast<std::size_t>(fraction * static_cast<double>(milliseconds.size() - 1))];
}

LoadResult runOpenLoad(double rate, Duration length, unsigned threads, const std::function<QueryFunction(unsigned thread)>& makeQueryFunction)
{
    using Clock = std::chrono::steady_clock;
    auto begin = Clock::now() + startDelay;
    auto interval = std::chrono::nanoseconds(static_cast<std::int64_t>(1e9 / rate));
    auto total = static_cast<std::uint64_t>(std::chrono::duration<double>(length).count() * rate);
    std::atomic<std::uint64_t> next { 0 };
    std::mutex mutex;
    LoadResult merged;
    auto run = [&](unsigned thread) {
        QueryFunction sendQuery = makeQueryFunction(thread);
        LoadResult threadResult;
        std::uint64_t allocationsBefore = threadAllocations();
        double secondsBefore = threadCpuSeconds();
        for (std::uint64_t number = next++; number < total; number = next++) {
            auto due = begin + interval * static_cast<std::int64_t>(number);
            std::this_thread::sleep_until(due);
            QueryResult result = sendQuery(number);
            threadResult.coverage += result.coverage;
            ++threadResult.outcomes.at(static_cast<std::size_t>(result.outcome));
            threadResult.milliseconds.push_back(std::chrono::duration<double, std::milli>(Clock::now() - due).count());
        }
        threadResult.allocations = threadAllocations() - allocationsBefore;
        threadResult.coreSeconds = threadCpuSeconds() - secondsBefore;
        std::lock_guard lock(mutex);
        merge(merged, threadResult);
    };
    std::vector<std::thread> running;
    for (unsigned i = 0; i < threads; ++i)
        running.emplace_back(run, i);
    for (std::thread& thread : running)
        thread.join();
    std::sort(merged.milliseconds.begin(), merged.milliseconds.end());
    merged.coverage /= static_cast<double>(std::max<std::size_t>(merged.milliseconds.size(), 1));
    merged.seconds = std::chrono::duration<double>(Clock::now() - begin).count();
    return merged;
}

} // namespace pimentopoint::bench
