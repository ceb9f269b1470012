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

/// \class TargetBoard
/// \ingroup Caller
/// \brief The front's view of targets and gateways; chooses the least loaded replica, at random among equals, home first.
/// \details Load counts per route, as each gateway has a queue and slots of its own: what this front has outstanding plus
/// what the gateway last reported to wait, over the gateway's slots. A target whose sub-query was lost is avoided for a while.
/// A route whose target is cold gets few sub-queries while another serves: enough to see it warm. State is divided into parts, each under its own lock.
class LeastLoadedRouter : public Router {
public:
    LeastLoadedRouter(DataCentreName home, const Clock& clock, std::uint64_t seed);

    /// Sets which members may be used as gateways.
    void setMembers(const std::vector<MemberRecord>& members);

    std::optional<Route> choose(const PinnedDocuments& documents, const Shard& shard, Urgency urgency, const RouteExclusions& exclusions) override;
    void recordSent(const Route& route) override;
    void recordAbandoned(const Route& route) override;
    void recordEnd(const Route& route, const SubReply* reply) override;

private:
    struct RouteState {
        std::array<std::uint32_t, 2> outstanding {}; ///< By urgency.
        std::array<std::uint32_t, 2> queued {}; ///< What a sub-query of each urgency would wait for.
        bool cold = false; ///< Whether the gateway holds the target for cold.
    };
    static std::size_t index(Urgency urgency) { return static_cast<std::size_t>(urgency); }
    struct TargetState {
        std::map<MemberName, RouteState> routes; ///< By gateway.
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
    /// \returns how many sub-queries one of \a urgency would find before it
    static std::uint32_t queuedAhead(const RouteState& memo, Urgency urgency);
    std::uint64_t loadOf(const Target& target, const Share& share, bool trickle, Route& route);
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
