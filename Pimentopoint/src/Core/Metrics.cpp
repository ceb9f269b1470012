#include "Metrics.h"

#include <set>
#include <sstream>

namespace pimentopoint {

namespace {

    constexpr unsigned latencyBins = 160;
    constexpr double leastMilliseconds = 0.05;
    constexpr double mostMilliseconds = 20000;
    constexpr unsigned shareBins = 100;

    std::string series(const std::string& name, const std::string& labels)
    {
        return labels.empty() ? name : name + "{" + labels + "}";
    }

    void writeType(std::ostream& out, std::set<std::string>& announced, const std::string& name, const char* type)
    {
        if (announced.insert(name).second)
            out << "# TYPE " << name << " " << type << "\n";
    }

    /// \returns the entry of \a name with \a labels, made if it is not there
    template <typename Series>
    auto& entryOf(Series& series, std::string_view name, std::string_view labels)
    {
        auto found = series.find(std::pair(name, labels));
        if (found == series.end())
            found = series.emplace(std::pair(std::string(name), std::string(labels)), 0).first;
        return found->second;
    }

    template <typename Histogram>
    void writeHistogram(std::ostream& out, const std::string& name, const std::string& labels, const Histogram& entry)
    {
        std::string prefix = labels.empty() ? "" : labels + ",";
        double cumulative = entry.histogram.at(-1);
        const auto& axis = entry.histogram.axis();
        for (int i = 0; i < axis.size(); ++i) {
            double inBin = entry.histogram.at(i);
            cumulative += inBin;
            if (inBin > 0)
                out << name << "_bucket{" << prefix << "le=\"" << axis.bin(i).upper() << "\"} " << cumulative << "\n";
        }
        out << name << "_bucket{" << prefix << "le=\"+Inf\"} " << entry.count << "\n";
        out << series(name + "_sum", labels) << " " << entry.sum << "\n";
        out << series(name + "_count", labels) << " " << entry.count << "\n";
    }

} // namespace

void Metrics::add(std::string_view name, std::string_view labels, std::uint64_t count)
{
    Stripe& shard = stripe(name);
    std::lock_guard lock(shard.mutex);
    entryOf(shard.counters, name, labels) += count;
}

void Metrics::setGauge(std::string_view name, std::string_view labels, std::uint64_t value)
{
    Stripe& shard = stripe(name);
    std::lock_guard lock(shard.mutex);
    entryOf(shard.gauges, name, labels) = value;
}

void Metrics::observe(std::string_view name, std::string_view labels, Duration duration)
{
    double milliseconds = static_cast<double>(duration.count()) / 1000;
    Stripe& shard = stripe(name);
    std::lock_guard lock(shard.mutex);
    auto found = shard.latencies.find(KeyView(name, labels));
    if (found == shard.latencies.end()) {
        LogAxis axis(latencyBins, leastMilliseconds, mostMilliseconds);
        found = shard.latencies.emplace(Key(name, labels), LatencyEntry { boost::histogram::make_histogram(axis) }).first;
    }
    found->second.histogram(milliseconds);
    ++found->second.count;
    found->second.sum += milliseconds;
}

void Metrics::observeFraction(std::string_view name, std::string_view labels, double share)
{
    Stripe& shard = stripe(name);
    std::lock_guard lock(shard.mutex);
    auto found = shard.fractions.find(KeyView(name, labels));
    if (found == shard.fractions.end()) {
        LinearAxis axis(shareBins, 0, 1);
        found = shard.fractions.emplace(Key(name, labels), FractionEntry { boost::histogram::make_histogram(axis) }).first;
    }
    found->second.histogram(share);
    ++found->second.count;
    found->second.sum += share;
}

std::uint64_t Metrics::counter(std::string_view name, std::string_view labels) const
{
    const Stripe& shard = part(name);
    std::lock_guard lock(shard.mutex);
    auto found = shard.counters.find(KeyView(name, labels));
    return found == shard.counters.end() ? 0 : found->second;
}

std::string Metrics::text() const
{
    std::ostringstream out;
    std::set<std::string> announced;
    for (const Stripe& shard : m_stripes) {
        std::lock_guard lock(shard.mutex);
        for (const auto& [key, value] : shard.counters) {
            writeType(out, announced, key.first, "counter");
            out << series(key.first, key.second) << " " << value << "\n";
        }
        for (const auto& [key, value] : shard.gauges) {
            writeType(out, announced, key.first, "gauge");
            out << series(key.first, key.second) << " " << value << "\n";
        }
        for (const auto& [key, entry] : shard.latencies) {
            writeType(out, announced, key.first, "histogram");
            writeHistogram(out, key.first, key.second, entry);
        }
        for (const auto& [key, entry] : shard.fractions) {
            writeType(out, announced, key.first, "histogram");
            writeHistogram(out, key.first, key.second, entry);
        }
    }
    return out.str();
}

} // namespace pimentopoint
