#include "DataCentreContacts.h"

#include <algorithm>

namespace pimentopoint {

bool DataCentreContacts::recordHeard(const DataCentreName& dataCentre, Instant now)
{
    Contact& contact = m_contacts[dataCentre];
    bool wasUnreachable = contact.unreachableSince.has_value();
    contact = { now, std::nullopt, std::nullopt };
    return wasUnreachable;
}

bool DataCentreContacts::doubt(const DataCentreName& dataCentre, Instant since, Instant now)
{
    Contact& contact = m_contacts[dataCentre];
    if (contact.doubtedSince || contact.unreachableSince || heardSince(dataCentre, since))
        return false;
    contact.doubtedSince = now;
    return true;
}

std::vector<DataCentreName> DataCentreContacts::takeUnreachable(Duration timeout, Instant now)
{
    std::vector<DataCentreName> names;
    for (auto& [name, contact] : m_contacts) {
        if (!contact.doubtedSince || now - *contact.doubtedSince < timeout)
            continue;
        contact.doubtedSince.reset();
        contact.unreachableSince = now;
        names.push_back(name);
    }
    return names;
}

void DataCentreContacts::handlePause(Duration pause)
{
    for (auto& [name, contact] : m_contacts) {
        if (contact.doubtedSince)
            *contact.doubtedSince += pause;
    }
}

bool DataCentreContacts::heardSince(const DataCentreName& dataCentre, Instant since) const
{
    auto found = m_contacts.find(dataCentre);
    return found != m_contacts.end() && found->second.heardAt && *found->second.heardAt >= since;
}

bool DataCentreContacts::heardElsewhereSince(const DataCentreName& own, Instant since) const
{
    return std::any_of(m_contacts.begin(), m_contacts.end(), [&](const auto& each) { return each.first != own && each.second.heardAt && *each.second.heardAt >= since; });
}

std::optional<Instant> DataCentreContacts::unreachableSince(const DataCentreName& dataCentre) const
{
    auto found = m_contacts.find(dataCentre);
    return found == m_contacts.end() ? std::nullopt : found->second.unreachableSince;
}

std::vector<DataCentreName> DataCentreContacts::unreachable() const
{
    std::vector<DataCentreName> names;
    for (const auto& [name, contact] : m_contacts) {
        if (contact.unreachableSince)
            names.push_back(name);
    }
    return names;
}

} // namespace pimentopoint
