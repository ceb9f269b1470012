#pragma once

#include "../Core/Ids.h"

#include <memory>
#include <set>
#include <string>

namespace pimentopoint {

/// \class HostList
/// \ingroup Operator
/// \brief The list of hosts that the platform publishes. It stores the targets that are leaving; all others are live.
class HostList {
public:
    HostList(HostListVersion version, std::set<TargetId> leaving)
        : m_version(version)
        , m_leaving(std::move(leaving))
    {
    }

    HostListVersion version() const { return m_version; }
    bool leaving(TargetId target) const { return m_leaving.contains(target); }
    std::size_t leavingCount() const { return m_leaving.size(); }

private:
    HostListVersion m_version;
    std::set<TargetId> m_leaving;
};

using HostListPointer = std::shared_ptr<const HostList>;

/// \brief Parses and validates a list of hosts.
/// \throws InvalidDocument with all problems of the document
HostListPointer readHostList(const std::string& text, const std::string& source = "hosts");

} // namespace pimentopoint
