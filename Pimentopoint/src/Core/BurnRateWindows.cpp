#include "BurnRateWindows.h"

namespace pimentopoint {

namespace {

    constexpr Duration bucketLength = std::chrono::seconds(10);
    constexpr std::array<Duration, 4> windowLengths { std::chrono::minutes(1), std::chrono::minutes(5), std::chrono::minutes(30),
        std::chrono::hours(1) };

    std::int64_t indexOf(Instant now)
    {
        return now.time_since_epoch() / bucketLength;
    }

} // namespace

double BurnRateWindows::Window::burnRate(Fraction objective) const
{
    // Avoids a division by zero for an objective of 100%.
    constexpr double minErrorBudget = 1e-6;
    if (!total())
        return 0;
    double errorBudget = std::max(1 - objective.value(), minErrorBudget);
    return static_cast<double>(failures) / static_cast<double>(total()) / errorBudget;
}

void BurnRateWindows::record(bool success, Instant now)
{
    std::int64_t index = indexOf(now);
    Bucket& bucket = m_buckets[static_cast<std::size_t>(index) % bucketCount];
    if (bucket.index != index)
        bucket = { index, 0, 0 };
    ++(success ? bucket.successes : bucket.failures);
}

std::vector<BurnRateWindows::Window> BurnRateWindows::windows(Instant now) const
{
    std::int64_t last = indexOf(now);
    std::vector<Window> windows;
    for (Duration length : windowLengths) {
        Window window { length };
        std::int64_t first = last - length / bucketLength;
        for (const Bucket& bucket : m_buckets) {
            if (bucket.index <= first || bucket.index > last)
                continue;
            window.successes += bucket.successes;
            window.failures += bucket.failures;
        }
        windows.push_back(window);
    }
    return windows;
}

} // namespace pimentopoint
