#pragma once

#include "../Core/Clock.h"

#include <algorithm>

namespace pimentopoint {

/// \class UpdateTiming
/// \ingroup Serve
/// \brief Times of an UpdateRelay as fractions of the maximum update delay, the time within which a change of the store must be known on every host.
/// \details The age of what a host knows rises to 0.45 between two replies of the store. A host whose knowledge reaches an age of 0.55 to 0.68
/// reads the store itself. That leaves a third of the delay for the tick that notices the age, one try of another host and two of the store,
/// however many sources were silent before.
class UpdateTiming {
public:
    explicit UpdateTiming(Duration maxUpdateDelay)
        : m_maxUpdateDelay(maxUpdateDelay)
    {
    }

    /// \returns how long a watch at the store waits for changes, so that what is known is not older than 0.45 of the maximum update delay when it ends
    Duration storeWatchWait(Duration age) const { return std::max(Duration(0), fraction(storeWatchFraction) - age); }
    /// \returns how long a watch at another host waits for changes
    Duration hostWatchWait() const { return fraction(hostWatchFraction); }
    /// \returns the time beyond its wait after which a read is late
    Duration lateness(bool store, bool proven) const { return fraction(store ? storeLateFraction : (proven ? hostLateFraction : probeFraction)); }
    /// \returns the time after which a page is late; pages are larger than the replies to watches
    Duration pageLateness(bool store) const { return fraction(store ? storePageFraction : hostPageFraction); }
    /// \returns the time beyond its wait during which the reply to a late read is still accepted
    Duration replyTimeout() const { return fraction(replyTimeoutFraction); }
    /// \returns the interval between two watches after an update, which limits the calls to the store; each of them has a cost
    Duration batchInterval() const { return fraction(batchFraction); }
    /// \brief Age from which a host reads the store besides its source.
    /// \param rankFraction 0 for the first host of the data centre, 1 for the last: the first ones read the store and the others find the result at them
    Duration directReadAge(double rankFraction) const { return fraction(directReadFraction + directReadSpread * rankFraction); }
    /// \returns the time after reaching that age during which a host that answers may still make the direct read needless
    Duration directReadDelay() const { return fraction(probeFraction); }
    /// \returns the age up to which updates are relayed
    Duration freshAge() const { return fraction(freshFraction); }
    /// \returns the time after a failed read of the store after which readers are refused
    Duration lostStoreTime() const { return fraction(lostStoreFraction); }
    /// \returns the time after which a read is refused whose reply would be outdated
    Duration refusalDelay() const { return fraction(refusalFraction); }
    /// \returns the increase of the confirmed time that is passed on to readers at once
    Duration confirmationStep() const { return fraction(batchFraction); }
    /// \returns the delay before the next source is tried after \a failures refusals in a row
    Duration retryDelay(unsigned failures) const { return fraction(failures <= quickRetries ? quickRetryFraction : slowRetryFraction); }
    /// \returns the time without a tick after which this process itself must have been paused
    Duration pauseTime() const { return fraction(pauseFraction); }

private:
    static constexpr double storeWatchFraction = 0.45;
    static constexpr double storeLateFraction = 0.12;
    static constexpr double hostWatchFraction = 0.2;
    static constexpr double hostLateFraction = 0.08;
    static constexpr double probeFraction = 0.05;
    static constexpr double storePageFraction = 0.33;
    static constexpr double hostPageFraction = 0.15;
    static constexpr double replyTimeoutFraction = 0.5;
    static constexpr double batchFraction = 0.1;
    static constexpr double directReadFraction = 0.55;
    static constexpr double directReadSpread = 0.13;
    static constexpr double freshFraction = 0.75;
    static constexpr double lostStoreFraction = 0.05;
    static constexpr double refusalFraction = 0.02;
    static constexpr unsigned quickRetries = 16;
    static constexpr double quickRetryFraction = 0.01;
    static constexpr double slowRetryFraction = 0.1;
    static constexpr double pauseFraction = 0.1;

    Duration fraction(double value) const { return scaled(m_maxUpdateDelay, value); }

    Duration m_maxUpdateDelay;
};

} // namespace pimentopoint
