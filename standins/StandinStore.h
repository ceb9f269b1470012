#pragma once

#include <Pimentopoint/Core>
#include <Pimentopoint/Net>
#include <map>
#include <string>
#include <vector>

namespace pimentopoint {

/// \class StandinStore
/// \brief A platform's store that speaks the published protocol on loopback: pages, watches, lost history, and faults on demand.
class StandinStore {
public:
    enum class Fault {
        None,
        Unavailable, ///< Answers 503.
        TooManyRequests, ///< Answers 429.
        Silent, ///< Never answers.
        Malformed, ///< Answers what is no JSON.
    };

    StandinStore(boost::asio::io_context& context, const Clock& clock, const Endpoint& endpoint);

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    /// Forgets all history: watches from before get 410.
    void compact();
    void setFault(Fault fault) { m_fault = fault; }
    void setPageItems(std::size_t items) { m_pageItems = items; }
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
    bool answerWatch(CallId call, const PendingWatch& waiting, bool expired);
    void sendAnswer(CallId call, unsigned status, std::string body);

    const Clock& m_clock;
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

} // namespace pimentopoint
