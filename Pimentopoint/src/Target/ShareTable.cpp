#include "ShareTable.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    constexpr std::size_t maxOwners = 2;

    std::uint32_t part(std::uint32_t whole, std::size_t owners, std::size_t index)
    {
        auto count = static_cast<std::uint32_t>(owners);
        return whole / count + (index < whole % count ? 1 : 0);
    }

    std::vector<MemberName> ranked(const std::vector<MemberName>& gateways, const TargetName& target)
    {
        std::vector<MemberName> ranked = gateways;
        auto weight = [&](const MemberName& gateway) { return hashOf(gateway.value() + "/" + target.value()); };
        std::sort(ranked.begin(), ranked.end(), [&](const MemberName& a, const MemberName& b) { return weight(a) > weight(b); });
        return ranked;
    }

} // namespace

ShareTable::ShareTable(const Configuration& configuration)
{
    for (const Target& target : configuration.targets()) {
        const DataCentre* dataCentre = configuration.dataCentre(target.dataCentre());
        const TargetSet& limits = configuration.limits(target);
        std::vector<MemberName> gateways = ranked(dataCentre->gateways(), target.name());
        std::size_t owners = std::min({ maxOwners, gateways.size(), static_cast<std::size_t>(limits.coldLimit()) });
        for (std::size_t i = 0; i < owners; ++i) {
            Share share(part(limits.slots(), owners, i), part(limits.coldLimit(), owners, i), part(limits.connections(), owners, i));
            m_owners[target.id()].push_back({ gateways[i], share });
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
