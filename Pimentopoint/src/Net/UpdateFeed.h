#pragma once

#include "../Core/Metrics.h"
#include "../Serve/UpdateRelay.h"
#include "CallerServer.h"
#include "HttpReader.h"

#include <map>

namespace pimentopoint {

/// \class UpdateFeed
/// \ingroup Net
/// \brief Carries out the reads of an UpdateRelay over HTTP and serves the reads of other hosts.
class UpdateFeed {
public:
    struct Hooks {
        std::function<std::string(const StoreRead&)> storePath; ///< \returns the path of a read at the platform's store
        std::function<StoreResult(const StoreRead&, const HttpReader::Result&)> storeResult; ///< \returns the result in the store's reply to a read
        std::function<void(const std::vector<StoreItem>&)> updates; ///< Called with the updated items, removals included; they may be empty at the end of a full read.
        std::function<std::optional<CallerAnswer>(const std::string& path)> otherRequest; ///< Answers other hosts' requests that are not reads of updates; nothing: the path is unknown.
    };
    struct Options {
        Endpoint store;
        Endpoint listen; ///< Address for reads by other hosts.
        Duration maxUpdateDelay { 0 }; ///< Time within which updates must be known here.
        std::uint64_t seed = 0;
    };

    /// \throws ListenFailure if the address for other hosts can't be bound
    UpdateFeed(boost::asio::io_context& context, const Clock& clock, Metrics& metrics, const MemberRecord& self, Options options, Hooks hooks);

    void setMembers(const std::vector<MemberRecord>& members) { m_relay.setMembers(members); }
    /// Starts the read that is due, if any, and replies to other hosts whose wait is over.
    void tick();
    /// \returns whether all items have been read once
    bool complete() const { return m_relay.complete(); }
    /// \returns the time since the store confirmed what this host knows; nothing if it has not confirmed anything yet
    std::optional<Duration> age() const { return m_relay.age(m_clock.now()); }
    /// \returns the age just before the latest update
    std::optional<Duration> previousAge() const { return m_previousAge; }

private:
    void perform(UpdateActions actions);
    void logFailure(const UpdateActions::FailedRead& failure);
    void startRead(const UpdateActions::Read& read);
    void handleResponse(const UpdateActions::Read& read, const HttpReader::Result& response);
    void handleRequest(CallId call, const CallerRequest& request);
    void reply(const UpdateActions::Reply& reply);
    std::shared_ptr<HttpReader> takeReader(const UpdateSource::Choice& source);

    boost::asio::io_context& m_context;
    const Clock& m_clock;
    Metrics& m_metrics;
    Options m_options;
    Hooks m_hooks;
    HeaderNames m_headerNames; ///< All names are empty: these reads need no headers of the platform.
    UpdateRelay m_relay;
    std::map<ReadNumber, std::shared_ptr<HttpReader>> m_activeReaders;
    std::map<Endpoint, std::shared_ptr<HttpReader>> m_idleReaders; ///< Readers without a request, by source; the empty endpoint is the store.
    std::optional<Duration> m_previousAge;
    Instant m_nextTimeoutCheck {};
    Instant m_nextFailureLines {}; ///< Time at which \c m_failureLinesLeft is restored.
    unsigned m_failureLinesLeft = 0; ///< Lines about failed reads that may still be logged in this second.
    std::uint64_t m_failureLinesDropped = 0;
    CallerServer m_server;
};

} // namespace pimentopoint
