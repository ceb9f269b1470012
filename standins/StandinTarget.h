/// \file
/// A small stand-in for the targets that the system serves; docs/PROTOCOLS.md describes its protocol.
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

/// What a stand-in target does; every figure may change while it runs.
struct TargetBehaviour {
    std::string name = "target";
    std::uint32_t slots = 6; ///< Requests worked on at once; more wait.
    std::uint32_t shedAt = 24; ///< Requests at once from which new ones are shed.
    std::uint32_t coldLimit = 1; ///< Requests at once that it bears while cold.
    Duration coldTime { 0 }; ///< Cold for so long after start or a cold turn.
    Duration service = std::chrono::milliseconds(2);
    Duration connectTime { 0 }; ///< Added to the first request of a connection.
    unsigned stragglerEvery = 0; ///< Every so many requests one is slow; 0 for none.
    unsigned stragglerFactor = 20;
    std::set<std::uint64_t> snapshots { 1 };
    std::uint64_t holdsBegin = 0; ///< Keys that it holds.
    std::uint64_t holdsEnd = keySpaceEnd;
    bool leaving = false;
    unsigned silent = 0; ///< Next so many requests are never answered.
    unsigned cut = 0; ///< Next so many replies are cut short.
    unsigned crossed = 0; ///< Next so many replies name another attempt.
    unsigned garbage = 0; ///< Next so many replies are no JSON.
    unsigned drop = 0; ///< Next so many requests run, then lose their connection without a reply.
};

/// \class StandinTarget
/// \brief One target on one port; records what it ran and the largest concurrent work.
class StandinTarget {
public:
    StandinTarget(const Endpoint& endpoint, TargetBehaviour behaviour, unsigned threads);
    ~StandinTarget();
    StandinTarget(const StandinTarget&) = delete;
    StandinTarget& operator=(const StandinTarget&) = delete;

    /// Changes the behaviour through \a change.
    void change(const std::function<void(TargetBehaviour&)>& change);
    /// Turns cold without a new incarnation.
    void turnCold(Duration coldTime);

    std::uint32_t maxAtWork() const;
    std::uint32_t maxAtWorkCold() const;
    std::uint64_t requests() const;
    /// \returns when the latest request for work arrived, on the steady clock
    Instant lastRequest() const;
    /// \returns how often the query \a text was run
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
    bool consumeFault(unsigned& faults);
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
    std::map<std::string, bool> m_cancelledByAttempt; ///< At work; whether each was cancelled.
    Instant m_lastRequest {};
    std::map<std::string, std::uint64_t> m_runs;
    bool m_stopping = false;
    mg_context* m_context = nullptr;
};

} // namespace pimentopoint::standins
