#pragma once

#include "../Core/Clock.h"
#include "../Core/Ids.h"

#include <map>
#include <optional>
#include <vector>

namespace pimentopoint {

/// \class DataCentreContacts
/// \ingroup Peer
/// \brief Observes which data centres this member reaches.
/// \details A data centre from which nothing was received is doubted, while some of its members are probed. If nothing is received
/// from it within the acknowledgement timeout, it is unreachable until the next datagram from it.
class DataCentreContacts {
public:
    /// Records a datagram from a member of \a dataCentre; \returns whether the data centre was unreachable before
    bool recordHeard(const DataCentreName& dataCentre, Instant now);
    /// \brief Doubts \a dataCentre unless something was received from it since \a since.
    /// \returns whether it is doubted from now on, so that its members are to be probed
    bool doubt(const DataCentreName& dataCentre, Instant since, Instant now);
    /// \returns the data centres that became unreachable, since nothing was heard from them for \a timeout after they were doubted
    std::vector<DataCentreName> takeUnreachable(Duration timeout, Instant now);
    /// Shifts all times by \a pause, in which this process did not run and could not receive.
    void handlePause(Duration pause);

    bool heardSince(const DataCentreName& dataCentre, Instant since) const;
    /// \returns whether anything was received since \a since from another data centre than \a own
    bool heardElsewhereSince(const DataCentreName& own, Instant since) const;
    bool isReachable(const DataCentreName& dataCentre) const { return !unreachableSince(dataCentre); }
    std::optional<Instant> unreachableSince(const DataCentreName& dataCentre) const;
    std::vector<DataCentreName> unreachable() const;

private:
    struct Contact {
        std::optional<Instant> heardAt;
        std::optional<Instant> doubtedSince;
        std::optional<Instant> unreachableSince;
    };

    std::map<DataCentreName, Contact> m_contacts;
};

} // namespace pimentopoint
