#pragma once

#include "Clock.h"

#include <array>
#include <boost/histogram/accumulators/count.hpp>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/make_histogram.hpp>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>

namespace pimentopoint {

/// \class Metrics
/// \ingroup Core
/// \brief Counters, gauges and histograms of this process, by name and labels.
/// \details May be used from any thread. The metrics are distributed over stripes by the hash of their name, each with its own lock.
class Metrics {
public:
    /// Adds \a count to the counter \a name with \a labels, for example \c front="kitchen".
    void add(std::string_view name, std::string_view labels, std::uint64_t count = 1);
    /// Sets the gauge \a name.
    void setGauge(std::string_view name, std::string_view labels, std::uint64_t value);
    /// Adds \a duration to the histogram \a name (in milliseconds, with bins that keep the relative error below 5%).
    void observe(std::string_view name, std::string_view labels, Duration duration);
    /// Adds \a fraction (0 to 1) to the histogram \a name.
    void observeFraction(std::string_view name, std::string_view labels, double fraction);
    /// \returns the value of the counter \a name with \a labels; 0 if it does not exist
    std::uint64_t counter(std::string_view name, std::string_view labels) const;
    /// \returns all metrics in the Prometheus text exposition format
    std::string text() const;

private:
    using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using LinearAxis = boost::histogram::axis::regular<double>;
    using LatencyHistogram = decltype(boost::histogram::make_histogram(LogAxis(1, 1, 2)));
    using FractionHistogram = decltype(boost::histogram::make_histogram(LinearAxis(1, 0, 1)));
    struct LatencyEntry {
        LatencyHistogram histogram;
        std::uint64_t count = 0;
        double sum = 0;
    };
    struct FractionEntry {
        FractionHistogram histogram;
        std::uint64_t count = 0;
        double sum = 0;
    };
    using Key = std::pair<std::string, std::string>;
    using KeyView = std::pair<std::string_view, std::string_view>;
    /// Compares keys with views of keys, so that a lookup copies no strings.
    struct KeyLess {
        using is_transparent = void;
        static KeyView view(const Key& key) { return key; }
        static KeyView view(const KeyView& key) { return key; }
        template <typename A, typename B>
        bool operator()(const A& a, const B& b) const
        {
            return view(a) < view(b);
        }
    };
    template <typename Value>
    using Series = std::map<Key, Value, KeyLess>;
    struct Stripe {
        mutable std::mutex mutex;
        Series<std::uint64_t> counters;
        Series<std::uint64_t> gauges;
        Series<LatencyEntry> latencies;
        Series<FractionEntry> fractions;
    };

    static constexpr std::size_t stripeCount = 8;

    Stripe& stripe(std::string_view name) { return m_stripes[std::hash<std::string_view>()(name) % stripeCount]; }
    const Stripe& stripe(std::string_view name) const { return m_stripes[std::hash<std::string_view>()(name) % stripeCount]; }

    std::array<Stripe, stripeCount> m_stripes;
};

} // namespace pimentopoint
