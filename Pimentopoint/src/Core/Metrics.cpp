#include "Metrics.h"

#include <set>
#include <sstream>

namespace pimentopoint {

namespace {

    constexpr unsigned latencyBins = 160;
    constexpr double minMilliseconds = 0.05;
    constexpr double maxMilliseconds = 20000;
    constexpr unsigned fractionBins = 100;

    std::string series(const std::string& name, const std::string& labels)
    {
        return labels.empty() ? name : name + "{" + labels + "}";
    }

    void writeType(std::ostream& out, std::set<std::string>& typesWritten, const std::string& name, const char* type)
    {
        if (typesWritten.insert(name).second)
            out << "# TYPE " << name << " " << type << "\n";
    }

    /// \returns the entry of \a name with \a labels, inserted if missing
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
    Stripe& selected = stripe(name);
    std::lock_guard lock(selected.mutex);
    entryOf(selected.counters, name, labels) += count;
}

void Metrics::setGauge(std::string_view name, std::string_view labels, std::uint64_t value)
{
    Stripe& selected = stripe(name);
    std::lock_guard lock(selected.mutex);
    entryOf(selected.gauges, name, labels) = value;
}

void Metrics::observe(std::string_view name, std::string_view labels, Duration duration)
{
    double milliseconds = static_cast<double>(duration.count()) / 1000;
    Stripe& selected = stripe(name);
    std::lock_guard lock(selected.mutex);
    auto found = selected.latencies.find(KeyView(name, labels));
    if (found == selected.latencies.end()) {
        LogAxis axis(latencyBins, minMilliseconds, maxMilliseconds);
        found = selected.latencies.emplace(Key(name, labels), LatencyEntry { boost::histogram::make_histogram(axis) }).first;
    }
    found->second.histogram(milliseconds);
    ++found->second.count;
    found->second.sum += milliseconds;
}

void Metrics::observeFraction(std::string_view name, std::string_view labels, double fraction)
{
    Stripe& selected = stripe(name);
    std::lock_guard lock(selected.mutex);
    auto found = selected.fractions.find(KeyView(name, labels));
    if (found == selected.fractions.end()) {
        LinearAxis axis(fractionBins, 0, 1);
        found = selected.fractions.emplace(Key(name, labels), FractionEntry { boost::histogram::make_histogram(axis) }).first;
    }
    found->second.histogram(fraction);
    ++found->second.count;
    found->second.sum += fraction;
}

std::uint64_t Metrics::counter(std::string_view name, std::string_view labels) const
{
    const Stripe& selected = stripe(name);
    std::lock_guard lock(selected.mutex);
    auto found = selected.counters.find(KeyView(name, labels));
    return found == selected.counters.end() ? 0 : found->second;
}

std::string Metrics::text() const
{
    std::ostringstream out;
    std::set<std::string> typesWritten;
    for (const Stripe& selected : m_stripes) {
        std::lock_guard lock(selected.mutex);
        for (const auto& [key, value] : selected.counters) {
            writeType(out, typesWritten, key.first, "counter");
            out << series(key.first, key.second) << " " << value << "\n";
        }
        for (const auto& [key, value] : selected.gauges) {
            writeType(out, typesWritten, key.first, "gauge");
            out << series(key.first, key.second) << " " << value << "\n";
        }
        for (const auto& [key, entry] : selected.latencies) {
            writeType(out, typesWritten, key.first, "histogram");
            writeHistogram(out, key.first, key.second, entry);
        }
        for (const auto& [key, entry] : selected.fractions) {
            writeType(out, typesWritten, key.first, "histogram");
            writeHistogram(out, key.first, key.second, entry);
        }
    }
    return out.str();
}

} // namespace pimentopoint
