#pragma once

#include "../Core/Metrics.h"
#include "../Serve/StoreMirror.h"
#include "../Serve/UpdateSource.h"
#include "CallerServer.h"
#include "HttpReader.h"

#include <map>

namespace pimentopoint {

/// \class NewsFeed
/// \ingroup Net
/// \brief Follows the platform's store, directly or through another host, and lets other hosts follow this one.
class UpdateFeed {
public:
    struct Hooks {
        std::function<std::string(const StoreRead&)> storePath; ///< How the platform's store is asked.
        std::function<StoreResult(const StoreRead&, unsigned status, const std::string& body)> storeResult;
        std::function<void(const std::vector<StoreItem>&)> updates; ///< What is new, removals included; may be empty at the end of a reading.
    };
    struct Options {
        Endpoint store;
        Endpoint listen; ///< For other hosts.
        Duration maxUpdateDelay { 0 }; ///< Within which news must be known.
        std::uint64_t seed = 0;
    };

    /// \throws ListenFailure
    UpdateFeed(boost::asio::io_context& context, const Clock& clock, Metrics& metrics, MemberRecord self, Options options, Hooks hooks);

    void setMembers(std::vector<MemberRecord> members) { m_source.setMembers(std::move(members)); }
    /// Begins the reads that are due and answers other hosts whose wait is over.
    void tick();
    /// \returns whether everything was read once
    bool complete() const { return m_follower.complete(); }

private:
    struct WaitingRead {
        StoreRead read;
        Instant expiresAt;
    };

    void startRead();
    void handleResponse(const UpdateSource::Choice& choice, const StoreRead& read, const HttpReader::Result& answer);
    void handleRequest(CallId call, const CallerRequest& request);
    void reply(CallId call, const StoreRead& read);
    void refuse(CallId call, const char* cause);
    void replyToWaiting(Instant now);
    /// \returns whether what is known here came from the store itself a moment ago
    bool isFresh(Instant now) const;
    HttpReader& reader(const UpdateSource::Choice& choice);

    boost::asio::io_context& m_context;
    const Clock& m_clock;
    Metrics& m_metrics;
    Options m_options;
    Hooks m_hooks;
    HeaderNames m_headerNames; ///< Hosts need no headers of their own.
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
