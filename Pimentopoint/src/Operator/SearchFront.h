#pragma once

#include "../Core/Clock.h"
#include "../Core/Fraction.h"
#include "../Core/Ids.h"

#include <cstddef>
#include <cstdint>

namespace pimentopoint {

/// How soon a request is served when targets are short.
enum class Urgency : std::uint8_t {
    Ordinary,
    Urgent,
};

/// What a search front puts first when shards are late.
enum class Preference : std::uint8_t {
    Coverage,
    Latency,
};

/// \class SearchFront
/// \ingroup Operator
/// \brief A named entry point: the shard group it asks and the policy of its queries.
class SearchFront {
public:
    SearchFront(SearchFrontName name, std::size_t shardGroup)
        : m_name(std::move(name))
        , m_shardGroup(shardGroup)
    {
    }

    const SearchFrontName& name() const { return m_name; }
    /// \returns the index of its group in Configuration::shardGroups()
    std::size_t shardGroup() const { return m_shardGroup; }

    Urgency urgency() const { return m_urgency; }
    SearchFront& setUrgency(Urgency urgency)
    {
        m_urgency = urgency;
        return *this;
    }
    /// \returns whether a request may be sent more than once
    bool idempotent() const { return m_idempotent; }
    SearchFront& setIdempotent(bool repeatable)
    {
        m_idempotent = repeatable;
        return *this;
    }
    Preference preference() const { return m_preference; }
    SearchFront& setPreference(Preference weighs)
    {
        m_preference = weighs;
        return *this;
    }
    /// \returns the time within which every request is answered
    Duration deadline() const { return m_deadline; }
    SearchFront& setDeadline(Duration deadline)
    {
        m_deadline = deadline;
        return *this;
    }
    /// \returns the latency that counts as good in the service level
    Duration latencyObjective() const { return m_latencyObjective; }
    SearchFront& setLatencyObjective(Duration objective)
    {
        m_latencyObjective = objective;
        return *this;
    }
    /// \returns the coverage at which a latency-first query stops waiting at its objective
    Fraction enoughCoverage() const { return m_enoughCoverage; }
    SearchFront& setEnoughCoverage(Fraction coverage)
    {
        m_enoughCoverage = coverage;
        return *this;
    }
    /// \returns the most hedges and retries, as a share of first sends
    Fraction extraAttemptRatio() const { return m_extraAttemptRatio; }
    SearchFront& setExtraAttemptRatio(Fraction share)
    {
        m_extraAttemptRatio = share;
        return *this;
    }
    /// \returns the share of requests that the service level asks to be good
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
