#pragma once

#include "StoreMirror.h"
#include "UpdateSource.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimentopoint {

/// Actions that the owner of an UpdateRelay carries out after an event.
struct UpdateActions {
    struct Read {
        UpdateSource::Choice source;
        StoreRead read;
    };
    /// Reply to another host's read; of kind StoreResult::Kind::Failed if it is refused.
    struct Reply {
        CallId reader;
        StoreResult result;
        Duration age { 0 }; ///< Time since the store confirmed what the result states.
    };
    struct SourceChange {
        bool lost = false; ///< Whether the source failed; otherwise a read succeeded again.
        std::string cause;
    };
    struct FailedRead {
        UpdateSource::Choice source;
        std::string cause;
        Duration elapsed { 0 }; ///< Time since the read started.
        std::optional<Duration> age; ///< Age of what this host knows; nothing if the store has not confirmed anything yet.
    };
    std::vector<Read> reads;
    std::vector<FailedRead> failedReads;
    std::vector<Reply> replies;
    std::vector<StoreItem> items; ///< Items that changed, removals included.
    std::optional<Duration> previousAge; ///< Age of what this host knew before the items; nothing if it knew nothing.
    bool updated = false; ///< Whether items changed or a full listing ended.
    std::optional<SourceChange> sourceChange;
};

/// \class UpdateRelay
/// \ingroup Serve
/// \brief Decides from where a host reads updates of the platform's store, and what it replies to hosts that read from it.
/// \details In each data centre one host reads the store, and the others form a tree below it, so the number of calls to the store
/// depends on the number of data centres and not on that of hosts. What a host knows has an age: the time since the store confirmed
/// it, summed over the hosts that relayed it. A host that relays refuses reads once its knowledge is too old or its source has
/// been lost for a moment; its readers then turn to the next host, or to the store. Receives events with the time and returns actions.
class UpdateRelay {
public:
    /// \param maxUpdateDelay time within which updates must be known on every host
    UpdateRelay(const MemberRecord& self, Duration maxUpdateDelay, std::uint64_t seed);

    void setMembers(const std::vector<MemberRecord>& members) { m_source.setMembers(members); }
    /// Starts the read that is due, if any, and replies to readers whose wait is over.
    void tick(Instant now, UpdateActions& actions);
    /// \brief Handles the result of a read.
    /// \param statedAge age that the source stated; nothing if it is unknown. The store's results have none.
    void handleResult(const UpdateSource::Choice& source, StoreResult result, std::optional<Duration> statedAge, Instant now, UpdateActions& actions);
    /// Handles a read of another host.
    void handleRead(CallId reader, const StoreRead& read, Instant now, UpdateActions& actions);
    void handleReaderDisconnected(CallId reader) { m_waiting.erase(reader); }

    /// \returns whether all items have been read once
    bool complete() const { return m_follower.complete(); }
    std::uint64_t revision() const { return m_follower.revision(); }
    /// \returns the time since the store confirmed what this host knows; nothing if it has not confirmed anything yet
    std::optional<Duration> age(Instant now) const { return m_confirmedAt ? std::optional(now - *m_confirmedAt) : std::nullopt; }
    /// \returns whether updates that this host relays are recent enough
    bool isFresh(Instant now) const;

private:
    struct WaitingRead {
        StoreRead read;
        Instant expiresAt;
    };

    void startRead(Instant now, UpdateActions& actions);
    void recordConfirmation(const UpdateSource::Choice& source, std::optional<Duration> age, Instant now);
    void recordSourceState(const UpdateSource::Choice& source, bool failed, const std::string& cause, Instant now, UpdateActions& actions);
    void replyToWaiting(Instant now, UpdateActions& actions);
    void reply(CallId reader, const StoreRead& read, Instant now, UpdateActions& actions) const;
    void refuse(CallId reader, UpdateActions& actions) const;

    Duration m_maxUpdateDelay;
    StoreFollower m_follower;
    UpdateSource m_source;
    StoreMirror m_mirror;
    std::optional<Instant> m_startedAt; ///< Time of the first tick.
    Instant m_readStartedAt {}; ///< Start of the latest read.
    std::optional<Instant> m_confirmedAt; ///< Latest time at which the store is known to have confirmed what this host knows.
    std::optional<Instant> m_sourceLostAt; ///< Time of the first failure since the last successful read from the store or a host that is not below this one.
    Instant m_nextCleanup {};
    std::map<CallId, WaitingRead> m_waiting;
};

} // namespace pimentopoint
