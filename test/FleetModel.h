/// \file
/// A fleet of hosts, their targets and callers on one event queue: plays a load against the decisions of Serve, with no network.
#pragma once

#include <Pimentopoint/Core>
#include <Pimentopoint/Peer>
#include <Pimentopoint/Serve>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <string>
#include <vector>

namespace pimentopoint {

/// What a FleetModel is made of.
struct FleetShape {
    std::size_t dataCentres = 4;
    std::size_t weakHosts = 5; ///< In each data centre.
    std::size_t strongHosts = 1; ///< In each data centre.
    double weakCores = 0.12;
    double strongCores = 0.5;
    std::size_t shards = 24;
    std::size_t replicas = 3; ///< Of a shard, in as many data centres; the next shard's are one data centre further.
    unsigned slots = 4;
    Duration serviceTime = std::chrono::milliseconds(8);
    Duration networkDelay = std::chrono::microseconds(3400); ///< Between data centres.
    Duration pause = std::chrono::milliseconds(100); ///< For which each target stands still now and then.
    Duration pauseInterval = std::chrono::milliseconds(2400);
    Duration objective = std::chrono::milliseconds(100);
    Duration callerTimeout = std::chrono::milliseconds(1200);
    double minCoverage = 0.95;
    double callsPerSecond = 60;
    bool delegation = true; ///< Whether hosts run fan-outs for each other.
    std::uint64_t seed = 1;
};

/// \class FleetModel
/// \brief Plays a FleetShape for some seconds and counts what callers got.
class FleetModel {
public:
    struct Counts {
        std::size_t requests = 0;
        std::size_t served = 0;
        std::size_t withinObjective = 0; ///< Served within the objective.
        std::size_t failed = 0;
        std::size_t invalid = 0; ///< Answers that break a promise: signatures twice, too few shards, two answers.
        std::size_t crossDataCentreReplies = 0; ///< Answers that crossed between data centres, of targets or merged.
        std::size_t maxAttemptsPerShard = 0; ///< Of one call at targets of one shard.
    };

    explicit FleetModel(FleetShape shape);
    ~FleetModel();

    /// Lets callers ask from \a from to \a to, and waits for all answers.
    Counts run(Duration from, Duration to);
    /// From \a from to \a to the host neither takes nor sends anything; what comes meanwhile is lost.
    void makeUnresponsive(const std::string& host, Duration from, Duration to);
    /// \returns the name of a strong host in data centre \a index
    static std::string strongHost(std::size_t index) { return std::string(1, static_cast<char>('a' + index)) + "-strong-0"; }

private:
    struct Host;
    struct TargetState;
    struct Event {
        Instant at;
        std::uint64_t order;
        std::function<void()> run;
        bool operator>(const Event& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    void schedule(Instant at, std::function<void()> run);
    void runOnProcessor(Host& host, std::function<void()> run);
    Duration networkDelay(const DataCentreName& a, const DataCentreName& b) const;
    void performActions(Host& host, CallActions actions);
    void sendToTarget(Host& host, const CallActions::Attempt& send);
    void sendToHost(Host& host, const CallActions::Attempt& send);
    void answer(Host& host, CallId call, const CallerAnswer& answer);
    void scheduleWakeup(Host& host);
    void sendRequest(Host& host);
    bool isUnresponsive(const Host& host) const;
    bool isValid(const CallerAnswer& answer) const;

    FleetShape m_shape;
    Random m_random;
    Instant m_now {};
    std::uint64_t m_order = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::map<TargetName, std::unique_ptr<TargetState>> m_targets;
    std::map<std::string, std::map<ServiceName, std::size_t>> m_arrivals; ///< By the request's id.
    std::uint64_t m_lastCall = 0;
    Counts m_counts;
};

} // namespace pimentopoint
