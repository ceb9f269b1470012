#pragma once

#include "../Core/Metrics.h"
#include "../Core/PauseDetector.h"
#include "../Peer/DocumentStore.h"
#include "../Peer/PeerConnection.h"
#include "AdmissionControl.h"
#include "QueryRun.h"
#include "RequestJournal.h"
#include "SearchRequest.h"
#include "TicketDesk.h"

#include <array>
#include <atomic>
#include <condition_variable>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <unordered_map>

namespace pimentopoint {

/// \class FrontEngine
/// \ingroup Caller
/// \brief Runs queries: starts a QueryRun for each, carries its actions out and wakes whoever waits for the answer.
/// \details Blocking on the caller's thread is all it adds to the decision classes.
class FrontEngine {
public:
    struct Hooks {
        /// \returns the connection that frames to \c endpoint take
        std::function<ConnectionId(const Endpoint&)> connection;
        std::function<void(const Endpoint&, std::string bytes, FrameTag)> send;
        TicketDesk::IssuerLookup issuer;
        std::function<void()> paused;
    };

    FrontEngine(const MemberName& self, Incarnation incarnation, const Clock& clock, Metrics& metrics, Router& router,
        std::function<DocumentStore::InForce()> documents, Hooks hooks);

    /// Answers \a request; blocks until then, never beyond its deadline.
    RenderedAnswer ask(const SearchRequest& request);
    /// \returns the text of a new ticket, or nothing if none can be had now
    std::optional<std::string> issueTicket();

    /// Opens or closes the engine for new work.
    void setServing(bool serving, NotRunReason reason);
    bool serving() const { return m_serving; }
    /// Notes the time; finds pauses of the process.
    void tick();

    void received(const ReplyBatch& batch);
    void received(const TicketedReply& reply);
    /// Runs a request that another front passed on; blocks like ask().
    TicketedReply runTicketed(const TicketedRequest& request);
    void connectionLost(ConnectionId connection, const std::vector<FrameTag>& unsent);

    /// \returns the service levels of all search fronts as JSON
    std::string burnReport() const;
    /// \returns what is known of the request \a id as JSON; empty if nothing is
    std::string explain(const std::string& id) const;

private:
    struct Run {
        std::mutex mutex;
        std::condition_variable changed;
        std::unique_ptr<QueryRun> query;
        std::string text;
    };
    using RunPointer = std::shared_ptr<Run>;
    struct Part {
        std::mutex mutex;
        std::unordered_map<std::uint64_t, RunPointer> runs;
    };
    struct FrontState {
        explicit FrontState(std::uint64_t seed)
            : admission(seed)
        {
        }

        AdmissionControl admission;
        ExtraSendBudget budget;
        LatencyWindow latencies { hedgeQuantile };
    };
    struct Call {
        std::mutex mutex;
        std::condition_variable changed;
        std::optional<RenderedAnswer> answer;
        ConnectionId connection;
        bool lost = false;
    };
    using CallPointer = std::shared_ptr<Call>;

    static constexpr std::size_t partCount = 16;
    /// Late enough that hedges of usual sub-queries leave budget for those of stragglers.
    static constexpr double hedgeQuantile = 0.985;

    Part& part(std::uint64_t query) { return m_parts[query % partCount]; }
    RunPointer findRun(std::uint64_t query);
    FrontState& frontState(const SearchFrontName& name);
    Answer runQuery(const SearchRequest& request, Instant start, Instant deadline);
    TicketDesk::Serving servingState() const;
    RenderedAnswer carryOut(const TicketDesk::Decision& decision, const SearchRequest& request, Instant deadline);
    RenderedAnswer passOn(const SearchRequest& request, const Endpoint& issuer, Instant deadline);
    RenderedAnswer awaitOutcome(std::uint64_t number, const SearchRequest& request, Instant deadline);
    void perform(const RunPointer& run, std::uint64_t query, const RunActions& actions);
    void sendBatches(const RunPointer& run, std::uint64_t query, const RunActions& actions);
    void sendCancels(const RunActions& actions);
    Answer waitFor(const RunPointer& run, std::uint64_t query);
    Instant deadlineOf(const SearchRequest& request, Instant now) const;
    RenderedAnswer finish(const SearchRequest& request, const Answer& answer, Instant start, std::uint64_t query);

    Incarnation m_incarnation;
    const Clock& m_clock;
    Router& m_router;
    std::function<DocumentStore::InForce()> m_documents;
    Hooks m_hooks;
    TicketDesk m_desk;
    RequestJournal m_journal;
    std::atomic<bool> m_serving { false };
    std::atomic<NotRunReason> m_closedReason { NotRunReason::Starting };
    std::mutex m_pauseMutex;
    PauseDetector m_pauses;
    std::atomic<std::uint64_t> m_lastQuery { 0 };
    std::atomic<std::uint64_t> m_lastBatch { 0 };
    std::array<Part, partCount> m_parts;
    std::mutex m_frontsMutex;
    std::map<SearchFrontName, std::unique_ptr<FrontState>> m_fronts;
    std::mutex m_callsMutex;
    std::map<std::uint64_t, CallPointer> m_calls;
    std::uint64_t m_lastCall = 0;
    std::mutex m_ticketMutex;
    std::condition_variable m_ticketDone;
};

} // namespace pimentopoint
