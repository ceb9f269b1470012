#pragma once

#include "../Core/Metrics.h"
#include "../Serve/StoreMirror.h"
#include "../Serve/UpdateSource.h"
#include "CallerServer.h"
#include "HttpReader.h"

#include <map>

namespace pimentopoint {

/// \class UpdateFeed
/// \ingroup Net
/// \brief Reads updates of the platform's store, directly or through another host, and relays them to other hosts.
class UpdateFeed {
public:
    struct Hooks {
        std::function<std::string(const StoreRead&)> storePath; ///< \returns the path of a read at the platform's store
        std::function<StoreResult(const StoreRead&, unsigned status, const std::string& body)> storeResult;
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
    UpdateFeed(boost::asio::io_context& context, const Clock& clock, Metrics& metrics, MemberRecord self, Options options, Hooks hooks);

    void setMembers(std::vector<MemberRecord> members) { m_source.setMembers(std::move(members)); }
    /// Starts the read that is due, if any, and replies to other hosts whose wait is over.
    void tick();
    /// \returns whether all items have been read once
    bool complete() const { return m_follower.complete(); }

private:
    struct WaitingRead {
        StoreRead read;
        Instant expiresAt;
    };

    void startRead();
    void handleResponse(const UpdateSource::Choice& choice, const StoreRead& read, const HttpReader::Result& response);
    void handleRequest(CallId call, const CallerRequest& request);
    void reply(CallId call, const StoreRead& read);
    void refuse(CallId call, const char* cause);
    void replyToWaiting(Instant now);
    /// \returns whether this host read from the store itself recently and its latest read succeeded, so that its known state is current
    bool isFresh(Instant now) const;
    HttpReader& reader(const UpdateSource::Choice& choice);

    boost::asio::io_context& m_context;
    const Clock& m_clock;
    Metrics& m_metrics;
    Options m_options;
    Hooks m_hooks;
    HeaderNames m_headerNames; ///< All names are empty: these reads need no headers.
    StoreFollower m_follower;
    UpdateSource m_source;
    StoreMirror m_mirror;
    std::map<Endpoint, std::shared_ptr<HttpReader>> m_readers;
    std::optional<Instant> m_storeAnsweredAt;
    bool m_sourceLost = false;
    Instant m_nextCleanup {};
    std::map<CallId, WaitingRead> m_waiting;
    CallerServer m_server;
};

} // namespace pimentopoint
