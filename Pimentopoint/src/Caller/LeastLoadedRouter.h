#pragma once

#include "../Core/Random.h"
#include "../Target/ShareTable.h"
#include "Router.h"

#include <array>
#include <map>
#include <memory>
#include <mutex>
#include <unordered_map>

namespace pimentopoint {

/// \class LeastLoadedRouter
/// \ingroup Caller
/// \brief Chooses the least loaded replica, at random among equals; prefers targets of the local data centre.
/// \details Load is measured per route, because each gateway has its own queue and slots: the outstanding sub-queries of this
/// front plus those that the gateway last reported as queued or in flight, divided by the gateway's slots. A target is avoided for a while
/// after a sub-query to it was lost. A cold target gets few sub-queries while another replica serves, just enough to observe
/// when it is warm. State is divided into stripes, each with its own lock.
class LeastLoadedRouter : public Router {
public:
    LeastLoadedRouter(DataCentreName localDataCentre, const Clock& clock, std::uint64_t seed);

    /// Sets the known members; the usable gateways among them carry sub-queries.
    void setMembers(const std::vector<MemberRecord>& members);

    std::optional<Route> choose(const PinnedDocuments& documents, const Shard& shard, Urgency urgency, const RouteExclusions& exclusions) override;
    void recordSent(const Route& route) override;
    void recordAbandoned(const Route& route) override;
    void recordEnd(const Route& route, const SubReply* reply) override;

private:
    struct RouteState {
        std::array<std::uint32_t, 2> outstanding {}; ///< Indexed by urgency.
        std::array<std::uint32_t, 2> queued {}; ///< Sub-queries ahead of a new one, queued or in flight, as last reported by the gateway; indexed by urgency.
        bool cold = false; ///< Whether the gateway reports the target as cold.
    };
    static std::size_t index(Urgency urgency) { return static_cast<std::size_t>(urgency); }
    struct TargetState {
        std::map<MemberName, RouteState> routes; ///< Keyed by gateway.
        WarmthHint warmth;
        Instant avoidUntil {};
    };
    struct Stripe {
        std::mutex mutex;
        std::unordered_map<TargetId, TargetState> targets;
    };
    struct Candidate {
        Route route;
        std::uint64_t load = 0;
    };
    using Gateways = std::map<MemberName, MemberRecord>;

    static constexpr std::size_t stripeCount = 16;

    Stripe& stripe(TargetId target) { return m_stripes[target.value() % stripeCount]; }
    std::shared_ptr<const ShareTable> shares(const ConfigurationPointer& configuration);
    std::vector<Candidate> candidates(const PinnedDocuments& documents, const Shard& shard, Urgency urgency, const RouteExclusions& exclusions);
    /// \returns the number of sub-queries that would be served before a new one of \a urgency
    static std::uint32_t queuedAhead(const RouteState& routeState, Urgency urgency);
    std::uint64_t loadOf(const Target& target, const Share& share, bool probeCold, Route& route);
    std::uint64_t random(std::uint64_t bound);

    DataCentreName m_localDataCentre;
    const Clock& m_clock;
    std::mutex m_mutex;
    Random m_random;
    std::shared_ptr<const Gateways> m_gateways = std::make_shared<const Gateways>();
    ConfigurationPointer m_sharesConfiguration;
    std::shared_ptr<const ShareTable> m_shares;
    std::array<Stripe, stripeCount> m_stripes;
};

} // namespace pimentopoint
