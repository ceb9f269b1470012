/// \file
/// Stand-in for the key-value store of the platform, for tests, benches and the soak. It speaks HTTP on loopback, runs on the thread
/// of its io_context, and depends on Core and Net.
#pragma once

#include <Pimentopoint/Core>
#include <Pimentopoint/Net>
#include <map>
#include <string>
#include <vector>

namespace pimentopoint {

/// \class StandinStore
/// \brief Key-value store with the platform's protocol on loopback: paged ranges, watches, compaction, and faults on demand.
class StandinStore {
public:
    enum class Fault {
        None,
        Unavailable, ///< Replies with status 503.
        TooManyRequests, ///< Replies with status 429.
        Unresponsive, ///< Never replies.
        Malformed, ///< Replies with truncated JSON.
    };

    StandinStore(boost::asio::io_context& context, const Clock& clock, const Endpoint& endpoint);

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// Discards the history up to the current revision: watches from an earlier revision get status 410.
    void compact();
    /// Content of the store.
    struct Copy;
    Copy copy() const;
    /// Replaces the content by \a copy, as after a restore: revisions go back, and an era begins.
    void returnFrom(const Copy& copy);
    void setFault(Fault fault) { m_fault = fault; }
    void setPageItems(std::size_t items) { m_pageItems = items; }
    /// Replies to pending watches that have events or are past their deadline. Must be called periodically.
    void tick();
    std::uint64_t reads() const { return m_reads; }

private:
    struct Item {
        std::string value;
        std::uint64_t revision;
        bool removed;
    };
    struct PendingWatch {
        std::string prefix;
        std::uint64_t after;
        Instant deadline;
    };

    void handleRequest(CallId call, const std::string& target);
    void answerPage(CallId call, const std::map<std::string, std::string>& query);
    /// \returns whether a reply was sent; without events that is the case only if \a expired
    bool answerWatch(CallId call, const PendingWatch& watch, bool expired);
    void sendAnswer(CallId call, unsigned status, std::string body);

    const Clock& m_clock;
    std::uint64_t m_era = 1;
    HeaderNames m_headerNames;
    std::map<std::string, Item> m_items;
    std::uint64_t m_revision = 1;
    std::uint64_t m_compactedRevision = 0;
    std::size_t m_pageItems = 500;
    Fault m_fault = Fault::None;
    std::uint64_t m_reads = 0;
    std::map<CallId, PendingWatch> m_pendingWatches;
    CallerServer m_server;
};

struct StandinStore::Copy {
    std::map<std::string, Item> items;
    std::uint64_t revision;
};

} // namespace pimentopoint
