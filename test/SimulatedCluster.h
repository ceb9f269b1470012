/// \file
/// Simulated processes, links and targets around the decision classes, on one manual clock and driven by a random seed.
#pragma once

#include <Pimentopoint/Caller>
#include <Pimentopoint/Core>
#include <Pimentopoint/Peer>
#include <Pimentopoint/Target>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace pimentopoint::test {

/// Faults of a schedule; probabilities are per event.
struct SimulatedFaults {
    double lostReply = 0.02;
    double shed = 0.02;
    double notConnected = 0.02;
    double slowReply = 0.03;
    double newestSnapshot = 0.02; ///< A target serves its newest snapshot instead of the requested one.
    double halfCovered = 0.02; ///< A target covers half of the range and reports so.
    double duplicateReply = 0.02; ///< A reply to a front arrives twice.
    unsigned kills = 0;
    unsigned pauses = 0;
    unsigned partitions = 0;
    unsigned targetRestarts = 0;
    unsigned publications = 0;
    unsigned requests = 40;
    double ticketed = 0.6;
};

/// \class SimulatedCluster
/// \brief Simulates fronts, gateways and targets; finds violations only from what the fake targets and callers recorded.
class SimulatedCluster {
public:
    static constexpr unsigned shardCount = 4;

    SimulatedCluster(std::uint64_t seed, SimulatedFaults faults);

    /// Runs the whole schedule; \returns violations, each with the time at which it was found
    std::vector<std::string> run();
    /// \returns how many requests ended in each outcome
    const std::map<std::string, unsigned>& outcomes() const { return m_outcomes; }

private:
    struct Process {
        std::string name;
        std::string dataCentre;
        std::uint64_t incarnation = 0;
        bool alive = true;
        bool paused = false;
        std::vector<std::function<void()>> deferred;
        std::unique_ptr<DocumentStore> store;
        bool serving = false;
    };
    struct Run {
        std::unique_ptr<QueryRun> query;
        std::string text;
        std::function<void(const Answer&)> done;
    };
    struct Front : Process {
        std::unique_ptr<TicketHandler> tickets;
        std::unique_ptr<LeastLoadedRouter> router;
        std::unique_ptr<ExtraAttemptBudget> budget;
        std::unique_ptr<LatencyWindow> latencies;
        PauseDetector pauses;
        std::map<std::uint64_t, Run> runs;
        std::uint64_t lastQuery = 0;
        std::vector<std::pair<std::uint64_t, std::function<void(std::optional<RenderedAnswer>)>>> waiting;
    };
    struct Gateway : Process {
        std::unique_ptr<GatewayEngine> engine;
    };
    struct FakeTarget {
        TargetName name;
        std::uint64_t incarnation = 1;
        std::uint32_t slots = 0;
        std::uint32_t outstanding = 0;
        std::set<std::uint64_t> snapshots { 1 };
        std::map<std::string, unsigned> runs;
    };
    struct Request {
        std::string text;
        std::string ticket;
        bool ticketed = false;
        std::string front;
        std::vector<std::string> answers;
        unsigned pending = 0;
        unsigned attemptsLeft = 0;
    };
    using Event = std::function<void()>;

    void scheduleAfter(Duration delay, Event event);
    void runOn(Process& process, std::uint64_t incarnation, Event event, const Event& undelivered = {});
    void transmit(Process& from, Process& to, Event deliver, const Event& lost, const Event& unsent);
    Duration networkDelay() { return Duration(50 + m_random.below(2000)); }
    bool partitioned(const Process& a, const Process& b) const;
    void addViolation(const std::string& text);

    std::string document(std::uint64_t version) const;
    void publish();
    void adopt(Process& process, const std::string& text);
    void startFront(Front& front);
    void startGateway(Gateway& gateway);
    void kill(Process& process);
    void pause(Process& process);
    void refreshMembers();
    void scheduleConfirmation(Process& process);
    void startServing(Process& process);
    Front* frontOf(Process& process);
    Gateway* gatewayOf(Process& process);

    void submit(Request& request);
    void submitTo(Front& front, Request& request);
    void handleAnswer(Request& request, const std::string& body);
    void startQuery(Front& front, const std::string& searchFront, const std::string& text, std::function<void(const Answer&)> done);
    void perform(Front& front, std::uint64_t query, const QueryActions& actions);
    void armTimer(Front& front, std::uint64_t query);
    void finishIfDone(Front& front, std::uint64_t query);
    void handleTicketedRequest(Front& front, SearchRequest request, bool forwarded, const std::function<void(std::string)>& reply);
    void resumeWaiting(Front& front);
    void startExchange(Gateway& gateway, const Dispatch& dispatch);
    void executeAt(Gateway& gateway, std::uint64_t gatewayIncarnation, FakeTarget& target, const Dispatch& dispatch);
    void complete(Gateway& gateway, std::uint64_t incarnation, ExchangeResult result, Duration delay);
    void checkAnswer(const std::string& text, const std::string& body);
    void checkRequests();
    void tickAll();

    Random m_random;
    SimulatedFaults m_faults;
    ManualClock m_clock;
    std::multimap<Instant, Event> m_events;
    std::map<std::string, std::unique_ptr<Front>> m_fronts;
    std::map<std::string, std::unique_ptr<Gateway>> m_gateways;
    std::map<TargetId, FakeTarget> m_targets;
    std::vector<std::unique_ptr<Request>> m_requests;
    std::set<std::pair<std::string, std::string>> m_partitions;
    std::map<std::pair<std::string, std::string>, Instant> m_lastDelivery;
    std::map<std::pair<std::string, std::string>, std::uint64_t> m_connections;
    std::map<std::string, unsigned> m_outcomes;
    std::vector<std::string> m_violations;
    std::uint64_t m_version = 0;
    std::uint64_t m_snapshot = 1;
    std::uint64_t m_shardOffset = 0;
    std::string m_takenOut;
    Instant m_takenOutAt {};
    std::string m_leaving;
    Instant m_leavingAt {};
    std::uint64_t m_hostsVersion = 0;
    std::uint64_t m_lastIncarnation = 1000;
    std::uint64_t m_lastConnection = 0;
    Instant m_end {};
};

} // namespace pimentopoint::test
