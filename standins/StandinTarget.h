/// \file
/// Stand-in for the targets behind the gateways, for tests and benches; docs/PROTOCOLS.md describes their protocol. It serves HTTP on
/// threads of its own and depends on Core and civetweb.
#pragma once

#include <Pimentopoint/Core>
#include <condition_variable>
#include <cstdint>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <vector>

struct mg_connection;
struct mg_context;

namespace pimentopoint::standins {

/// Behaviour of a stand-in target; every member may change while the target runs.
struct TargetBehaviour {
    std::string name = "target";
    std::uint32_t slots = 6; ///< Requests that run concurrently; further ones wait.
    std::uint32_t shedThreshold = 24; ///< Outstanding requests from which new ones are refused.
    std::uint32_t coldLimit = 1; ///< Outstanding requests that the target is meant to get at most while cold; not enforced.
    Duration coldTime { 0 }; ///< Time after the start during which the target is cold.
    Duration serviceTime = std::chrono::milliseconds(2); ///< Of a request; five times as much while cold.
    Duration connectTime { 0 }; ///< Added to the first request of a connection.
    unsigned stragglerEvery = 0; ///< One request in so many takes stragglerFactor times the service time; 0 for none.
    unsigned stragglerFactor = 20;
    std::set<std::uint64_t> snapshots { 1 }; ///< Versions that the target can search.
    std::uint64_t rangeBegin = 0; ///< Begin of the key range that the target holds.
    std::uint64_t rangeEnd = keySpaceEnd; ///< End of that range, exclusive.
    bool leaving = false;
    unsigned unansweredRequests = 0; ///< Number of next requests that get no reply.
    unsigned truncatedReplies = 0; ///< Number of next replies that end after half of their body.
    unsigned mismatchedReplies = 0; ///< Number of next replies with another attempt's id.
    unsigned malformedReplies = 0; ///< Number of next replies that aren't JSON.
    unsigned droppedReplies = 0; ///< Number of next requests that run and whose connection closes without a reply.
};

/// \class StandinTarget
/// \brief One target on one port; counts the runs of each query and the largest number of outstanding requests.
class StandinTarget {
public:
    StandinTarget(const Endpoint& endpoint, TargetBehaviour behaviour, unsigned threads);
    ~StandinTarget();
    StandinTarget(const StandinTarget&) = delete;
    StandinTarget& operator=(const StandinTarget&) = delete;

    /// Applies \a change to the behaviour.
    void change(const std::function<void(TargetBehaviour&)>& change);
    /// Makes the target cold for \a coldTime without a new incarnation.
    void makeCold(Duration coldTime);

    std::uint32_t maxOutstanding() const;
    std::uint32_t maxOutstandingCold() const;
    std::uint64_t requests() const;
    /// \returns when the latest search request arrived, on the steady clock
    Instant lastRequest() const;
    /// \returns how many times the query \a text was run, over all key ranges
    std::uint64_t runs(const std::string& text) const;
    std::string statsJson() const;

private:
    static int handleSearch(mg_connection* connection, void* self);
    static int handleCancel(mg_connection* connection, void* self);
    static int handleStats(mg_connection* connection, void* self);
    static int handleControl(mg_connection* connection, void* self);
    static int countConnection(const mg_connection* connection, void** data);
    void search(mg_connection* connection);
    bool cold(Instant now) const { return now < m_coldUntil; }
    bool consumeFault(unsigned& remaining);
    Duration serviceTime(bool isCold);

    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    TargetBehaviour m_behaviour;
    SystemClock m_clock;
    std::uint64_t m_incarnation;
    Instant m_coldUntil {};
    std::uint32_t m_outstanding = 0;
    std::uint32_t m_maxOutstanding = 0;
    std::uint32_t m_maxOutstandingCold = 0;
    std::uint32_t m_running = 0;
    std::uint64_t m_requests = 0;
    std::uint64_t m_connections = 0;
    std::uint64_t m_cancels = 0;
    std::map<std::string, bool> m_cancelledByAttempt; ///< Outstanding attempts; whether each was cancelled.
    Instant m_lastRequest {};
    std::map<std::string, std::uint64_t> m_runs;
    bool m_stopping = false;
    mg_context* m_context = nullptr;
};

} // namespace pimentopoint::standins
