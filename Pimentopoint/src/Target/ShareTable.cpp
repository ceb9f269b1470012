#include "ShareTable.h"

#include <algorithm>
#include <functional>
#include <map>

namespace pimentopoint {

namespace {

    constexpr std::size_t maxOwners = 2;

    std::uint32_t portion(std::uint32_t total, std::size_t owners, std::size_t index)
    {
        auto count = static_cast<std::uint32_t>(owners);
        return total / count + (index < total % count ? 1 : 0);
    }

    /// \returns a hash of \a gateway and \a target, which are hashes themselves
    std::uint64_t rendezvousWeight(std::uint64_t gateway, std::uint64_t target)
    {
        std::uint64_t mixed = (gateway ^ target) * 0x9E3779B97F4A7C15ULL;
        mixed = (mixed ^ mixed >> 32U) * 0xD6E8FEB86659FD93ULL;
        return mixed ^ mixed >> 32U;
    }

    /// \returns the indices of the \a count gateways with the largest weights for \a target, in descending order of weight
    std::vector<std::size_t> rankedGateways(const std::vector<std::uint64_t>& gateways, TargetId target, std::size_t count)
    {
        std::vector<std::pair<std::uint64_t, std::size_t>> weights;
        weights.reserve(gateways.size());
        for (std::size_t i = 0; i < gateways.size(); ++i)
            weights.emplace_back(rendezvousWeight(gateways[i], target.value()), i);
        auto middle = weights.begin() + static_cast<std::ptrdiff_t>(count);
        std::partial_sort(weights.begin(), middle, weights.end(), std::greater<>());
        std::vector<std::size_t> indices;
        for (std::size_t i = 0; i < count; ++i)
            indices.push_back(weights[i].second);
        return indices;
    }

} // namespace

ShareTable::ShareTable(const Configuration& configuration)
{
    std::map<DataCentreName, std::vector<std::uint64_t>> hashes;
    for (const DataCentre& dataCentre : configuration.dataCentres()) {
        for (const MemberName& gateway : dataCentre.gateways())
            hashes[dataCentre.name()].push_back(hashOf(gateway.value()));
    }
    m_owners.reserve(configuration.targets().size());
    for (const Target& target : configuration.targets()) {
        const std::vector<MemberName>& gateways = configuration.dataCentre(target.dataCentre())->gateways();
        const TargetSet& limits = configuration.limits(target);
        std::size_t owners = std::min({ maxOwners, gateways.size(), static_cast<std::size_t>(limits.coldLimit()) });
        std::vector<std::size_t> indices = rankedGateways(hashes[target.dataCentre()], target.id(), owners);
        for (std::size_t i = 0; i < owners; ++i) {
            Share share(portion(limits.slots(), owners, i), portion(limits.coldLimit(), owners, i), portion(limits.connections(), owners, i));
            m_owners[target.id()].push_back({ gateways[indices[i]], share });
        }
    }
}

const std::vector<ShareTable::Owner>& ShareTable::owners(TargetId target) const
{
    static const std::vector<Owner> none;
    auto found = m_owners.find(target);
    return found == m_owners.end() ? none : found->second;
}

Share ShareTable::share(TargetId target, const MemberName& gateway) const
{
    for (const Owner& owner : owners(target)) {
        if (owner.gateway == gateway)
            return owner.share;
    }
    return {};
}

} // namespace pimentopoint
