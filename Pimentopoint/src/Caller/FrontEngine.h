#pragma once

#include "../Core/Metrics.h"
#include "../Core/PauseDetector.h"
#include "../Peer/DocumentStore.h"
#include "../Peer/PeerConnection.h"
#include "AdmissionControl.h"
#include "QueryRun.h"
#include "RequestRecorder.h"
#include "SearchRequest.h"
#include "TicketHandler.h"

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
/// \brief Runs queries: creates a QueryRun for each, performs its actions and wakes the thread that waits for the answer.
/// \details It blocks the thread of the request until the answer is ready; all decisions are made by the decision classes.
class FrontEngine {
public:
    struct Hooks {
        /// \returns the connection that carries frames to \c endpoint
        std::function<ConnectionId(const Endpoint&)> connection;
        std::function<void(const Endpoint&, std::string bytes, FrameTag)> send;
        TicketHandler::IssuerLookup issuer;
        std::function<void()> paused; ///< The process was paused; the active documents have to be confirmed.
    };

    FrontEngine(const MemberName& self, Incarnation incarnation, const Clock& clock, Metrics& metrics, Router& router,
        std::function<DocumentStore::ActiveDocuments()> documents, Hooks hooks);

    /// Answers \a request; blocks until the answer is ready, at most until the deadline of the request.
    RenderedAnswer handleRequest(const SearchRequest& request);
    /// \returns the text of a new ticket, or nothing if the engine is not serving or too many tickets are outstanding
    std::optional<std::string> issueTicket();

    /// Sets whether the engine accepts new requests, and the \a reason if not.
    void setServing(bool serving, NotRunReason reason);
    bool serving() const { return m_serving; }
    /// Records the current time and detects pauses of the process.
    void tick();

    void handleReply(const ReplyBatch& batch);
    void handleReply(const TicketedReply& reply);
    /// Runs a request that another front forwarded; blocks like handleRequest().
    TicketedReply runForwarded(const TicketedRequest& request);
    /// Handles the loss of \a connection; \a unsent are the tags of frames that were not sent on it.
    void handleConnectionLost(ConnectionId connection, const std::vector<FrameTag>& unsent);

    /// \returns the service levels of all search fronts as JSON
    std::string burnReport() const;
    /// \returns what is known of the request \a id as JSON, or an empty string if nothing is known
    std::string explain(const std::string& id) const;

private:
    struct PendingQuery {
        std::mutex mutex;
        std::condition_variable changed;
        std::unique_ptr<QueryRun> query;
        std::string text;
    };
    using PendingQueryPointer = std::shared_ptr<PendingQuery>;
    struct Stripe {
        std::mutex mutex;
        std::unordered_map<std::uint64_t, PendingQueryPointer> queries;
    };
    struct SearchFrontState {
        explicit SearchFrontState(std::uint64_t seed)
            : admission(seed)
        {
        }

        AdmissionControl admission;
        ExtraAttemptBudget budget;
        LatencyWindow latencies { hedgeQuantile };
    };
    struct ForwardedRequest {
        std::mutex mutex;
        std::condition_variable changed;
        std::optional<RenderedAnswer> answer;
        ConnectionId connection;
        bool connectionLost = false;
    };
    using ForwardedRequestPointer = std::shared_ptr<ForwardedRequest>;

    static constexpr std::size_t stripeCount = 16;
    /// Quantile of the sub-query latencies that sets the hedge delay; high enough that hedges of sub-queries with normal latency
    /// leave budget for those of stragglers.
    static constexpr double hedgeQuantile = 0.985;

    Stripe& stripe(std::uint64_t query) { return m_stripes[query % stripeCount]; }
    PendingQueryPointer findQuery(std::uint64_t query);
    SearchFrontState& searchFrontState(const SearchFrontName& name);
    Answer runQuery(const SearchRequest& request, Instant start, Instant deadline);
    TicketHandler::ServingState servingState() const;
    RenderedAnswer applyDecision(const TicketHandler::Decision& decision, const SearchRequest& request, Instant deadline);
    RenderedAnswer forward(const SearchRequest& request, const Endpoint& issuer, Instant deadline);
    RenderedAnswer awaitOutcome(std::uint64_t number, const SearchRequest& request, Instant deadline);
    void perform(const PendingQueryPointer& pending, std::uint64_t query, const QueryActions& actions);
    void sendBatches(const PendingQueryPointer& pending, std::uint64_t query, const QueryActions& actions);
    void sendCancels(const QueryActions& actions);
    Answer awaitAnswer(const PendingQueryPointer& pending, std::uint64_t query);
    Instant deadlineOf(const SearchRequest& request, Instant now) const;
    RenderedAnswer recordAndRender(const SearchRequest& request, const Answer& answer, Instant start, std::uint64_t query);

    Incarnation m_incarnation;
    const Clock& m_clock;
    Router& m_router;
    std::function<DocumentStore::ActiveDocuments()> m_documents;
    Hooks m_hooks;
    TicketHandler m_tickets;
    RequestRecorder m_recorder;
    std::atomic<bool> m_serving { false };
    std::atomic<NotRunReason> m_notServingReason { NotRunReason::Starting };
    std::mutex m_pauseMutex;
    PauseDetector m_pauses;
    std::atomic<std::uint64_t> m_lastQuery { 0 };
    std::atomic<std::uint64_t> m_lastBatch { 0 };
    std::array<Stripe, stripeCount> m_stripes;
    std::mutex m_searchFrontsMutex;
    std::map<SearchFrontName, std::unique_ptr<SearchFrontState>> m_searchFronts;
    std::mutex m_forwardedMutex;
    std::map<std::uint64_t, ForwardedRequestPointer> m_forwarded;
    std::uint64_t m_lastForwarded = 0;
    std::mutex m_ticketMutex;
    std::condition_variable m_ticketDone;
};

} // namespace pimentopoint
