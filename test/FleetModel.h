/// \file
/// Discrete event simulation of a fleet of hosts, their targets and callers. It runs the decision classes of Serve on one thread with
/// simulated time and without a network, and depends on Core, Peer and Serve.
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

/// Parameters of a FleetModel.
struct FleetShape {
    std::size_t dataCentres = 4;
    std::size_t weakHosts = 5; ///< In each data centre.
    std::size_t strongHosts = 1; ///< In each data centre.
    double weakCores = 0.12;
    double strongCores = 0.5;
    std::size_t shards = 24;
    std::size_t replicas = 3; ///< Of each shard, one per data centre; the replicas of the next shard begin one data centre later.
    unsigned slots = 4; ///< Of each target.
    Duration serviceTime = std::chrono::milliseconds(8);
    Duration networkDelay = std::chrono::microseconds(3400); ///< One way, between data centres.
    Duration pause = std::chrono::milliseconds(100); ///< Length of the periodic pauses of each target.
    Duration pauseInterval = std::chrono::milliseconds(2400); ///< Between the beginnings of two pauses.
    Duration objective = std::chrono::milliseconds(100); ///< Latency objective of the route.
    Duration callerTimeout = std::chrono::milliseconds(1200);
    double minCoverage = 0.95;
    double callsPerSecond = 60;
    double crashingCallsPerSecond = 0; ///< Calls of one request that crashes each target that runs it, at random hosts.
    double crashesPerSecond = 0; ///< Crashes of random targets that no request causes, each with the targets of the next shards beside it.
    std::size_t crashesTogether = 1; ///< Targets that such a crash ends.
    Duration restartTime = std::chrono::seconds(3); ///< Time after a crash during which a target is down.
    bool delegation = true; ///< Whether hosts delegate fan-outs to each other.
    std::uint64_t seed = 1;
};

/// \class FleetModel
/// \brief Simulates the fleet of a FleetShape under load and counts the answers that callers got.
class FleetModel {
public:
    struct Counts {
        std::size_t requests = 0;
        std::size_t served = 0;
        std::size_t withinObjective = 0; ///< Served within the latency objective.
        std::size_t failed = 0;
        std::size_t invalid = 0; ///< Answers with two signatures of one shard, too few shards, or to a call that has its answer already.
        std::size_t crossDataCentreReplies = 0; ///< Replies sent between data centres, of targets or of aggregators.
        std::size_t crashes = 0; ///< Targets that the crashing request ended.
        std::size_t lateCrashingAttempts = 0; ///< Attempts of the crashing request that arrived longer than FleetModel::crashNoticeTime after its third crash.
        std::size_t quarantinedCalls = 0; ///< Calls of other requests that were refused as quarantined.
        std::size_t quarantineMessages = 0; ///< Datagrams about crashes and quarantines.
        std::size_t maxAttemptsPerShard = 0; ///< Largest number of attempts of one call at the targets of one shard.
    };

    /// Time after the third crash by which hosts know that the request crashes targets.
    static constexpr Duration crashNoticeTime = std::chrono::seconds(4);

    explicit FleetModel(FleetShape shape);
    ~FleetModel();

    /// Sends requests from \a from to \a to, then simulates until no event is left.
    Counts run(Duration from, Duration to);
    /// Makes \a host drop everything that it receives or would send from \a from to \a to.
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
    /// Runs \a run once the processor of \a host has had the time to process one message.
    void runOnProcessor(Host& host, std::function<void()> run);
    Duration networkDelay(const DataCentreName& a, const DataCentreName& b) const;
    void performActions(Host& host, CallActions actions);
    void sendToTarget(Host& host, const CallActions::Attempt& attempt);
    void runAtTarget(Host& host, TargetState& state, const CallActions::Attempt& attempt, Duration networkTime);
    void reply(Host& host, AttemptNumber attempt, const TargetReply& reply);
    void crash(TargetState& state);
    void crashTogether(std::size_t first);
    void checkTarget(Host& host, const CallActions::TargetCheck& check);
    void reportCrashes(Host& host, const CallActions& actions);
    void send(Host& host, const QuarantineExchange::Datagrams& datagrams);
    void receive(Host& host, const std::string& datagram);
    void sendToHost(Host& host, const CallActions::Attempt& attempt);
    void answer(Host& host, CallId call, const CallerAnswer& answer);
    void scheduleWakeup(Host& host);
    void sendRequest(Host& host, bool crashing);
    bool isUnresponsive(const Host& host) const;
    /// \returns whether \a answer has one signature per shard and covers enough shards
    bool isValid(const CallerAnswer& answer) const;

    FleetShape m_shape;
    Random m_random;
    Instant m_now {};
    std::uint64_t m_order = 0;
    std::priority_queue<Event, std::vector<Event>, std::greater<>> m_events;
    std::vector<std::unique_ptr<Host>> m_hosts;
    std::map<TargetName, std::unique_ptr<TargetState>> m_targets;
    std::map<std::string, std::map<ServiceName, std::size_t>> m_arrivals; ///< Attempts by request id and shard.
    std::uint64_t m_lastCall = 0;
    std::vector<Instant> m_requestCrashes; ///< Times of the crashes that the crashing request caused.
    Counts m_counts;
};

} // namespace pimentopoint
