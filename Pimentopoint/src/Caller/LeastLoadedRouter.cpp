#include "LeastLoadedRouter.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// Load that a route to another data centre counts in addition (requests per slot, in hundredths).
    constexpr std::uint64_t crossingLoad = 300;
    /// Load that a target in doubt counts in addition (requests per slot, in hundredths).
    constexpr std::uint64_t avoidedLoad = 1000;
    /// Load that a cold target counts in addition (requests per slot, in hundredths).
    constexpr std::uint64_t coldLoad = 500;
    /// One choice in so many takes a cold target for a warm one.
    constexpr std::uint64_t coldTrickle = 16;
    constexpr std::uint64_t loadScale = 100;
    /// Time for which a target whose sub-query was lost is avoided.
    constexpr Duration avoidTime = std::chrono::milliseconds(250);

} // namespace

LeastLoadedRouter::LeastLoadedRouter(DataCentreName home, const Clock& clock, std::uint64_t seed)
    : m_localDataCentre(std::move(home))
    , m_clock(clock)
    , m_random(seed)
{
}

void LeastLoadedRouter::setMembers(const std::vector<MemberRecord>& members)
{
    auto gateways = std::make_shared<Gateways>();
    for (const MemberRecord& member : members) {
        if (member.role() == MemberRole::Gateway && member.usable())
            gateways->emplace(member.name(), member);
    }
    std::lock_guard lock(m_mutex);
    m_gateways = std::move(gateways);
}

std::shared_ptr<const ShareTable> LeastLoadedRouter::shares(const ConfigurationPointer& configuration)
{
    std::lock_guard lock(m_mutex);
    if (m_sharesConfiguration != configuration) {
        m_shares = std::make_shared<const ShareTable>(*configuration);
        m_sharesConfiguration = configuration;
    }
    return m_shares;
}

std::uint64_t LeastLoadedRouter::random(std::uint64_t bound)
{
    std::lock_guard lock(m_mutex);
    return m_random.below(bound);
}

std::uint32_t LeastLoadedRouter::queuedAhead(const RouteState& memo, Urgency urgency)
{
    std::uint32_t urgent = memo.outstanding[index(Urgency::Urgent)];
    std::uint32_t ordinary = memo.outstanding[index(Urgency::Ordinary)];
    return memo.queued[index(urgency)] + urgent + (urgency == Urgency::Urgent ? 0 : ordinary);
}

std::uint64_t LeastLoadedRouter::loadOf(const Target& target, const Share& share, bool trickle, Route& route)
{
    Instant now = m_clock.now();
    Stripe& shard = stripe(target.id());
    std::lock_guard lock(shard.mutex);
    TargetState& memo = shard.targets[target.id()];
    route.hint = memo.warmth;
    const RouteState& onRoute = memo.routes[route.gateway];
    std::uint32_t usable = onRoute.cold ? share.coldLimit() : share.slots();
    std::uint64_t load = (queuedAhead(onRoute, route.urgency)) * loadScale / std::max(usable, 1U);
    load += target.dataCentre() == m_localDataCentre ? 0 : crossingLoad;
    load += onRoute.cold && !trickle ? coldLoad : 0;
    load += now < memo.avoidUntil ? avoidedLoad : 0;
    return load;
}

std::vector<LeastLoadedRouter::Candidate> LeastLoadedRouter::candidates(const PinnedDocuments& documents, const Shard& shard, Urgency urgency,
    const RouteExclusions& exclusions)
{
    const Configuration& configuration = *documents.configuration;
    auto table = shares(documents.configuration);
    std::shared_ptr<const Gateways> gateways;
    {
        std::lock_guard lock(m_mutex);
        gateways = m_gateways;
    }
    bool trickle = random(coldTrickle) == 0;
    std::vector<Candidate> found;
    for (TargetId id : shard.replicas()) {
        const Target& target = *configuration.target(id);
        bool leaving = documents.hosts && documents.hosts->leaving(id);
        if (leaving || configuration.takenOut(target.dataCentre()))
            continue;
        for (const ShareTable::Owner& owner : table->owners(id)) {
            auto gateway = gateways->find(owner.gateway);
            if (gateway == gateways->end() || exclusions.excludes(id, owner.gateway))
                continue;
            Candidate candidate { { id, owner.gateway, gateway->second.tcp(), {}, urgency }, 0 };
            candidate.load = loadOf(target, owner.share, trickle, candidate.route);
            candidate.load += gateway->second.state() == MemberState::Suspect ? avoidedLoad : 0;
            found.push_back(std::move(candidate));
        }
    }
    return found;
}

std::optional<Route> LeastLoadedRouter::choose(const PinnedDocuments& documents, const Shard& shard, Urgency urgency, const RouteExclusions& exclusions)
{
    std::vector<Candidate> found = candidates(documents, shard, urgency, exclusions);
    if (found.empty())
        return std::nullopt;
    std::size_t start = random(found.size());
    std::rotate(found.begin(), found.begin() + static_cast<std::ptrdiff_t>(start), found.end());
    auto lighter = [](const Candidate& a, const Candidate& b) { return a.load < b.load; };
    return std::min_element(found.begin(), found.end(), lighter)->route;
}

void LeastLoadedRouter::recordSent(const Route& route)
{
    Stripe& shard = stripe(route.target);
    std::lock_guard lock(shard.mutex);
    ++shard.targets[route.target].routes[route.gateway].outstanding[index(route.urgency)];
}

void LeastLoadedRouter::recordAbandoned(const Route& route)
{
    Stripe& shard = stripe(route.target);
    std::lock_guard lock(shard.mutex);
    std::uint32_t& outstanding = shard.targets[route.target].routes[route.gateway].outstanding[index(route.urgency)];
    if (outstanding)
        --outstanding;
}

void LeastLoadedRouter::recordEnd(const Route& route, const SubReply* reply)
{
    Instant now = m_clock.now();
    Stripe& shard = stripe(route.target);
    std::lock_guard lock(shard.mutex);
    TargetState& memo = shard.targets[route.target];
    RouteState& onRoute = memo.routes[route.gateway];
    std::uint32_t& outstanding = onRoute.outstanding[index(route.urgency)];
    if (outstanding)
        --outstanding;
    if (!reply || reply->outcome == Outcome::Unknown || reply->notRunReason == NotRunReason::Unreachable)
        memo.avoidUntil = now + avoidTime;
    if (!reply)
        return;
    onRoute.queued[index(route.urgency)] = reply->queued;
    onRoute.cold = reply->cold;
    if (reply->warmth.incarnation.value())
        memo.warmth = reply->warmth;
}

} // namespace pimentopoint
