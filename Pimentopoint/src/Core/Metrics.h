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

namespace pimentopoint {

/// \class Metrics
/// \ingroup Core
/// \brief Counters, gauges and histograms of this process, by name and labels.
/// \details Divided into parts by name, each under its own lock.
class Metrics {
public:
    /// Adds \a count to the counter \a name with \a labels, as in \c front="kitchen".
    void add(const std::string& name, const std::string& labels, std::uint64_t count = 1);
    /// Sets the gauge \a name.
    void setGauge(const std::string& name, const std::string& labels, std::uint64_t value);
    /// Adds \a duration to the histogram \a name (milliseconds, relative error below 5%).
    void observe(const std::string& name, const std::string& labels, Duration duration);
    /// Adds \a share, 0 to 1, to the histogram \a name.
    void observeShare(const std::string& name, const std::string& labels, double share);
    /// \returns the counter \a name with \a labels
    std::uint64_t counter(const std::string& name, const std::string& labels) const;
    /// \returns all of them in the text exposition format
    std::string text() const;

private:
    using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    using LinearAxis = boost::histogram::axis::regular<double>;
    using LatencyHistogram = decltype(boost::histogram::make_histogram(LogAxis(1, 1, 2)));
    using ShareHistogram = decltype(boost::histogram::make_histogram(LinearAxis(1, 0, 1)));
    struct Latency {
        LatencyHistogram histogram;
        std::uint64_t count = 0;
        double sum = 0;
    };
    struct Share {
        ShareHistogram histogram;
        std::uint64_t count = 0;
        double sum = 0;
    };
    using Key = std::pair<std::string, std::string>;
    struct Part {
        mutable std::mutex mutex;
        std::map<Key, std::uint64_t> counters;
        std::map<Key, std::uint64_t> gauges;
        std::map<Key, Latency> latencies;
        std::map<Key, Share> shares;
    };

    static constexpr std::size_t partCount = 8;

    Part& part(const std::string& name) { return m_parts[std::hash<std::string>()(name) % partCount]; }
    const Part& part(const std::string& name) const { return m_parts[std::hash<std::string>()(name) % partCount]; }

    std::array<Part, partCount> m_parts;
};

} // namespace pimentopoint
