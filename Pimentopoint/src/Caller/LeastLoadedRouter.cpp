#include "LeastLoadedRouter.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// Load added to a route to a remote data centre (hundredths of a request per slot).
    constexpr std::uint64_t remoteLoad = 300;
    /// Load added to a suspected target or gateway (hundredths of a request per slot).
    constexpr std::uint64_t suspectedLoad = 1000;
    /// Load added to a cold target (hundredths of a request per slot).
    constexpr std::uint64_t coldLoad = 500;
    /// One choice out of this many treats cold targets as warm.
    constexpr std::uint64_t coldProbePeriod = 16;
    constexpr std::uint64_t loadScale = 100;
    /// Time for which a target is avoided after a sub-query to it was lost.
    constexpr Duration avoidTime = std::chrono::milliseconds(250);

} // namespace

LeastLoadedRouter::LeastLoadedRouter(DataCentreName localDataCentre, const Clock& clock, std::uint64_t seed)
    : m_localDataCentre(std::move(localDataCentre))
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

std::uint32_t LeastLoadedRouter::queuedAhead(const RouteState& routeState, Urgency urgency)
{
    std::uint32_t urgent = routeState.outstanding[index(Urgency::Urgent)];
    std::uint32_t ordinary = routeState.outstanding[index(Urgency::Ordinary)];
    return routeState.queued[index(urgency)] + urgent + (urgency == Urgency::Urgent ? 0 : ordinary);
}

std::uint64_t LeastLoadedRouter::loadOf(const Target& target, const Share& share, bool probeCold, Route& route)
{
    Instant now = m_clock.now();
    Stripe& targetStripe = stripe(target.id());
    std::lock_guard lock(targetStripe.mutex);
    TargetState& targetState = targetStripe.targets[target.id()];
    route.hint = targetState.warmth;
    const RouteState& routeState = targetState.routes[route.gateway];
    std::uint32_t slots = routeState.cold ? share.coldLimit() : share.slots();
    std::uint64_t load = (queuedAhead(routeState, route.urgency)) * loadScale / std::max(slots, 1U);
    load += target.dataCentre() == m_localDataCentre ? 0 : remoteLoad;
    load += routeState.cold && !probeCold ? coldLoad : 0;
    load += now < targetState.avoidUntil ? suspectedLoad : 0;
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
    bool probeCold = random(coldProbePeriod) == 0;
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
            candidate.load = loadOf(target, owner.share, probeCold, candidate.route);
            candidate.load += gateway->second.state() == MemberState::Suspect ? suspectedLoad : 0;
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
    auto lessLoaded = [](const Candidate& a, const Candidate& b) { return a.load < b.load; };
    return std::min_element(found.begin(), found.end(), lessLoaded)->route;
}

void LeastLoadedRouter::recordSent(const Route& route)
{
    Stripe& targetStripe = stripe(route.target);
    std::lock_guard lock(targetStripe.mutex);
    ++targetStripe.targets[route.target].routes[route.gateway].outstanding[index(route.urgency)];
}

void LeastLoadedRouter::recordAbandoned(const Route& route)
{
    Stripe& targetStripe = stripe(route.target);
    std::lock_guard lock(targetStripe.mutex);
    std::uint32_t& outstanding = targetStripe.targets[route.target].routes[route.gateway].outstanding[index(route.urgency)];
    if (outstanding)
        --outstanding;
}

void LeastLoadedRouter::recordEnd(const Route& route, const SubReply* reply)
{
    Instant now = m_clock.now();
    Stripe& targetStripe = stripe(route.target);
    std::lock_guard lock(targetStripe.mutex);
    TargetState& targetState = targetStripe.targets[route.target];
    RouteState& routeState = targetState.routes[route.gateway];
    std::uint32_t& outstanding = routeState.outstanding[index(route.urgency)];
    if (outstanding)
        --outstanding;
    if (!reply || reply->outcome == Outcome::Unknown || reply->notRunReason == NotRunReason::Unreachable)
        targetState.avoidUntil = now + avoidTime;
    if (!reply)
        return;
    routeState.queued[index(route.urgency)] = reply->queued;
    routeState.cold = reply->cold;
    if (reply->warmth.incarnation.value())
        targetState.warmth = reply->warmth;
}

} // namespace pimentopoint
