#pragma once

#include "StoreMirror.h"
#include "UpdateSource.h"
#include "UpdateTiming.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace pimentopoint {

/// How old a relay's reply says that its content is.
struct ReplyAge {
    Duration age { 0 }; ///< Time between the store's confirmation of the content and the reply.
    Duration held { 0 }; ///< Time between the arrival of the read and the reply.
};

/// Actions that the owner of an UpdateRelay carries out after an event.
struct UpdateActions {
    struct Read {
        ReadNumber number;
        UpdateSource::Choice source;
        StoreRead read;
    };
    /// Reply to another host's read; of kind StoreResult::Kind::Failed if it is refused.
    struct Reply {
        CallId reader;
        StoreResult result;
        ReplyAge age;
    };
    struct SourceChange {
        bool lost = false; ///< Whether the source failed; otherwise a read succeeded again.
        UpdateSource::Choice source;
        std::string cause;
    };
    struct FailedRead {
        UpdateSource::Choice source;
        std::string cause;
        Duration elapsed { 0 }; ///< Time since the read started.
        std::optional<Duration> age; ///< Age of what this host knows; nothing if the store has not confirmed anything yet.
    };
    /// The store returned from an older copy.
    struct EraChange {
        UpdateSource::Choice source;
        StoreEra previousEra;
        StoreEra era;
        std::uint64_t knownRevision = 0; ///< Revision in the previous era that this host knew.
        std::uint64_t revision = 0; ///< Revision in the reply that states the new era.
    };
    /// A listing that is not used because this host knows a later revision.
    struct OutdatedListing {
        UpdateSource::Choice source;
        std::uint64_t knownRevision = 0;
        std::uint64_t revision = 0;
    };
    std::vector<Read> reads;
    std::vector<FailedRead> failedReads;
    std::optional<EraChange> eraChange;
    std::optional<OutdatedListing> outdatedListing;
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
/// it, summed over the hosts that relayed it. A read that is late is no longer waited for, though its reply is still used, and the
/// next source is tried. Whatever the state of that search, a host whose knowledge reaches UpdateTiming::directReadAge reads the store
/// itself, so the time until a change is known does not depend on the number of unresponsive hosts. A host that relays refuses reads once
/// its knowledge is too old or the store failed to reply to it. A store that returns from an older copy begins an era, which its replies and
/// those of the hosts state: a host that learns of a later era reads everything again, and refuses what is of an earlier one.
/// Receives events with the time and returns actions.
class UpdateRelay {
public:
    /// \param maxUpdateDelay time within which updates must be known on every host
    UpdateRelay(const MemberRecord& self, Duration maxUpdateDelay, std::uint64_t seed);

    void setMembers(const std::vector<MemberRecord>& members) { m_source.setMembers(members); }
    /// Gives up late reads, starts those that are due, and replies to readers whose wait is over.
    void tick(Instant now, UpdateActions& actions);
    /// \brief Handles the result of a read.
    /// \param replyAge age that the source stated; nothing if it is unknown. The store's results have none.
    void handleResult(ReadNumber number, StoreResult result, std::optional<ReplyAge> replyAge, Instant now, UpdateActions& actions);
    /// Handles a read of another host.
    void handleRead(CallId reader, const StoreRead& read, Instant now, UpdateActions& actions);
    void handleReaderDisconnected(CallId reader) { m_waiting.erase(reader); }

    /// \returns whether all items have been read once
    bool complete() const { return m_follower.complete(); }
    std::uint64_t revision() const { return m_follower.position().revision; }
    /// \returns the time since the store confirmed what this host knows; nothing if it has not confirmed anything yet
    std::optional<Duration> age(Instant now) const { return m_confirmedAt ? std::optional(now - *m_confirmedAt) : std::nullopt; }
    /// \returns whether updates that this host relays are recent enough
    bool isFresh(Instant now) const;

private:
    struct WaitingRead {
        StoreRead read;
        Instant arrivedAt;
        std::optional<Instant> confirmedAt; ///< Value of \c m_confirmedAt when the read arrived.
    };
    struct OutstandingRead {
        UpdateSource::Choice source;
        StoreRead read;
        Instant startedAt;
        Instant lateAt;
        bool failed = false; ///< Whether it was late or superseded, so that its failure is not recorded again.
    };

    /// Gives up the reads in progress after a pause of this process, for which their sources are not to blame.
    void handlePause(Instant now);
    void giveUpLateReads(Instant now, UpdateActions& actions);
    void startRead(Instant now, UpdateActions& actions);
    void startDirectRead(Instant now, UpdateActions& actions);
    void start(const UpdateSource::Choice& source, StoreRead read, Duration lateness, Instant now, UpdateActions& actions);
    void recordFailure(const OutstandingRead& read, const std::string& cause, Instant now, UpdateActions& actions);
    void recordSuccess(const OutstandingRead& read, const StoreResult& result, std::optional<ReplyAge> replyAge, Instant now, UpdateActions& actions);
    void recordConfirmation(const OutstandingRead& read, std::optional<ReplyAge> replyAge, Instant now);
    /// Ends the wait for the current read, whose result would no longer be of use.
    void abandonCurrentRead();
    void collect(std::vector<StoreItem> items, UpdateActions& actions) const;
    StoreUpdate applyToFollower(ReadNumber number, const OutstandingRead& read, StoreResult result, Instant now);
    /// Reports a new era of the store, and a listing that is older than what is known.
    void observe(const OutstandingRead& read, const StoreResult& result, UpdateActions& actions) const;
    bool isReadingStore() const;
    /// \returns whether a read of the store failed some time ago and no source has replied since
    bool hasLostStore(Instant now) const;
    void replyToWaiting(Instant now, UpdateActions& actions);
    void reply(CallId reader, const WaitingRead& waiting, Instant now, UpdateActions& actions) const;
    void refuse(CallId reader, UpdateActions& actions) const;

    UpdateTiming m_timing;
    StoreFollower m_follower;
    UpdateSource m_source;
    StoreMirror m_mirror;
    std::optional<Instant> m_startedAt; ///< Time of the first tick.
    std::optional<Instant> m_tickedAt; ///< Time of the latest tick.
    std::map<ReadNumber, OutstandingRead> m_reads; ///< Reads without a result, late ones included.
    std::optional<ReadNumber> m_currentRead; ///< Read for whose result the follower waits.
    ReadNumber m_latestNumber { 0 };
    std::optional<Endpoint> m_provenSource; ///< Source of the latest successful read; the empty endpoint is the store.
    unsigned m_failures = 0; ///< Number of failed reads since the latest success.
    Instant m_nextAttemptAt {}; ///< Time before which no read is started after a failure.
    std::optional<Instant> m_confirmedAt; ///< Latest time at which the store is known to have confirmed what this host knows.
    std::optional<Instant> m_oldSince; ///< Time at which the age reached UpdateTiming::directReadAge.
    std::optional<Instant> m_sourceLostAt; ///< Time of the first failure since the last successful read from the store or a host that is not below this one.
    std::optional<Instant> m_storeLostAt; ///< Time of the first failed read of the store since then.
    Instant m_nextCleanup {};
    std::map<CallId, WaitingRead> m_waiting;
};

} // namespace pimentopoint
