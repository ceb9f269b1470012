#pragma once

#include "../Core/Clock.h"
#include "../Core/Fraction.h"
#include "../Core/Ids.h"

#include <cstddef>
#include <cstdint>

namespace pimentopoint {

/// Priority of a request when target capacity is scarce.
enum class Urgency : std::uint8_t {
    Ordinary,
    Urgent,
};

/// What a search front optimizes for when shards respond slowly.
enum class Preference : std::uint8_t {
    Coverage,
    Latency,
};

/// \class SearchFront
/// \ingroup Operator
/// \brief A named entry point for queries: its shard group and the policy of its queries.
class SearchFront {
public:
    SearchFront(SearchFrontName name, std::size_t shardGroup)
        : m_name(std::move(name))
        , m_shardGroup(shardGroup)
    {
    }

    const SearchFrontName& name() const { return m_name; }
    /// \returns the index of the shard group in Configuration::shardGroups()
    std::size_t shardGroup() const { return m_shardGroup; }

    Urgency urgency() const { return m_urgency; }
    SearchFront& setUrgency(Urgency urgency)
    {
        m_urgency = urgency;
        return *this;
    }
    /// \returns whether a request may run more than once
    bool idempotent() const { return m_idempotent; }
    SearchFront& setIdempotent(bool idempotent)
    {
        m_idempotent = idempotent;
        return *this;
    }
    Preference preference() const { return m_preference; }
    SearchFront& setPreference(Preference preference)
    {
        m_preference = preference;
        return *this;
    }
    /// \returns the default and maximum deadline of a request, counted from its arrival
    Duration deadline() const { return m_deadline; }
    SearchFront& setDeadline(Duration deadline)
    {
        m_deadline = deadline;
        return *this;
    }
    /// \returns the latency up to which a request counts as a success in the service level
    Duration latencyObjective() const { return m_latencyObjective; }
    SearchFront& setLatencyObjective(Duration objective)
    {
        m_latencyObjective = objective;
        return *this;
    }
    /// \returns the coverage required for a success; a query that prefers latency stops waiting at its latency objective once its
    /// coverage reaches this value
    Fraction enoughCoverage() const { return m_enoughCoverage; }
    SearchFront& setEnoughCoverage(Fraction coverage)
    {
        m_enoughCoverage = coverage;
        return *this;
    }
    /// \returns the maximum ratio of extra attempts (hedges and retries) to first attempts
    Fraction extraAttemptRatio() const { return m_extraAttemptRatio; }
    SearchFront& setExtraAttemptRatio(Fraction ratio)
    {
        m_extraAttemptRatio = ratio;
        return *this;
    }
    /// \returns the fraction of requests that must succeed to meet the service level
    Fraction objective() const { return m_objective; }
    SearchFront& setObjective(Fraction objective)
    {
        m_objective = objective;
        return *this;
    }

private:
    SearchFrontName m_name;
    std::size_t m_shardGroup;
    Urgency m_urgency = Urgency::Ordinary;
    bool m_idempotent = true;
    Preference m_preference = Preference::Coverage;
    Duration m_deadline = std::chrono::milliseconds(200);
    Duration m_latencyObjective = std::chrono::milliseconds(59);
    Fraction m_enoughCoverage { 0.98 };
    Fraction m_extraAttemptRatio { 0.05 };
    Fraction m_objective { 0.99 };
};

} // namespace pimentopoint
