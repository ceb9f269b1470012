#include "FrontEngine.h"

#include "../Core/Log.h"
#include "../Core/util/Constants.h"
#include "../Peer/Frame.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// Number of low bits of an attempt number or frame tag; the bits above hold the query number.
    constexpr unsigned attemptBits = 16;
    constexpr std::uint64_t attemptMask = (std::uint64_t(1) << attemptBits) - 1;
    /// Bit that marks the frame tags of forwarded requests.
    constexpr std::uint64_t forwardedTag = std::uint64_t(1) << 63;
    /// Deadline of a request whose search front is not in the configuration of this process.
    constexpr Duration unknownSearchFrontDeadline = std::chrono::seconds(1);

} // namespace

FrontEngine::FrontEngine(const MemberName& self, Incarnation incarnation, const Clock& clock, Metrics& metrics, Router& router,
    std::function<DocumentStore::ActiveDocuments()> documents, Hooks hooks)
    : m_incarnation(incarnation)
    , m_clock(clock)
    , m_router(router)
    , m_documents(std::move(documents))
    , m_hooks(std::move(hooks))
    , m_tickets(self, incarnation)
    , m_recorder(metrics)
{
}

void FrontEngine::tick()
{
    {
        // Serving stops under the lock, so that a thread that calls tick() after the same pause never finds the engine serving.
        std::lock_guard lock(m_pauseMutex);
        if (!m_pauses.tick(m_clock.now()))
            return;
        if (m_notServingReason != NotRunReason::Stopping)
            setServing(false, NotRunReason::Stale);
    }
    m_hooks.paused();
}

void FrontEngine::setServing(bool serving, NotRunReason reason)
{
    if (!serving)
        m_notServingReason = reason;
    m_serving = serving;
}

FrontEngine::SearchFrontState& FrontEngine::searchFrontState(const SearchFrontName& name)
{
    std::lock_guard lock(m_searchFrontsMutex);
    auto& state = m_searchFronts[name];
    if (!state)
        state = std::make_unique<SearchFrontState>(m_incarnation.value());
    return *state;
}

std::optional<std::string> FrontEngine::issueTicket()
{
    tick();
    if (!m_serving)
        return std::nullopt;
    return m_tickets.issue(m_clock.now());
}

Instant FrontEngine::deadlineOf(const SearchRequest& request, Instant now) const
{
    ConfigurationPointer configuration = m_documents().configuration;
    const SearchFront* searchFront = configuration ? configuration->searchFront(request.searchFront) : nullptr;
    Duration longest = searchFront ? searchFront->deadline() : unknownSearchFrontDeadline;
    return now + std::min(request.deadline.value_or(longest), longest);
}

RenderedAnswer FrontEngine::handleRequest(const SearchRequest& request)
{
    tick();
    Instant start = m_clock.now();
    Instant deadline = deadlineOf(request, start);
    if (!request.ticket.empty()) {
        TicketHandler::Decision decision = m_tickets.handleRequest(request, servingState(), m_hooks.issuer, start);
        if (decision.action == TicketHandler::Action::Forward)
            return forward(request, decision.issuer, deadline);
        return applyDecision(decision, request, deadline);
    }
    std::uint64_t query = ++m_lastQuery;
    if (!m_serving)
        return recordAndRender(request, Answer::refused(m_notServingReason), start, query);
    ConfigurationPointer configuration = m_documents().configuration;
    const SearchFront* searchFront = configuration->searchFront(request.searchFront);
    if (!searchFront)
        return recordAndRender(request, Answer::refused(NotRunReason::NoSuchSearchFront), start, query);
    if (!searchFront->idempotent())
        return recordAndRender(request, Answer::refused(NotRunReason::NoTicket, "the search front requires a ticket"), start, query);
    return recordAndRender(request, runQuery(request, start, deadline), start, query);
}

TicketHandler::ServingState FrontEngine::servingState() const
{
    return { m_serving, m_notServingReason };
}

RenderedAnswer FrontEngine::applyDecision(const TicketHandler::Decision& decision, const SearchRequest& request, Instant deadline)
{
    if (decision.action == TicketHandler::Action::Await)
        return awaitOutcome(decision.number, request, deadline);
    if (decision.action != TicketHandler::Action::Run)
        return decision.reply;
    RenderedAnswer rendered = render(Answer::unknownOutcome(UnknownReason::ConnectionLost), request.id);
    try {
        Instant start = m_clock.now();
        bool known = m_documents().configuration->searchFront(request.searchFront);
        Answer answer = known ? runQuery(request, start, deadline) : Answer::refused(NotRunReason::NoSuchSearchFront);
        rendered = recordAndRender(request, answer, start, ++m_lastQuery);
    } catch (const std::exception& failure) {
        Log::event(Severity::Error, "request-failed", { { "request", request.id }, { "cause", failure.what() } });
    }
    m_tickets.finish(decision.number, rendered);
    std::lock_guard lock(m_ticketMutex);
    m_ticketDone.notify_all();
    return rendered;
}

RenderedAnswer FrontEngine::awaitOutcome(std::uint64_t number, const SearchRequest& request, Instant deadline)
{
    std::unique_lock lock(m_ticketMutex);
    while (m_clock.now() < deadline) {
        auto outcome = m_tickets.outcome(number, request.digest(), m_clock.now());
        if (outcome)
            return *outcome;
        m_ticketDone.wait_for(lock, deadline - m_clock.now());
    }
    return render(Answer::unknownOutcome(UnknownReason::Deadline), request.id);
}

RenderedAnswer FrontEngine::forward(const SearchRequest& request, const Endpoint& issuer, Instant deadline)
{
    auto forwarded = std::make_shared<ForwardedRequest>();
    std::uint64_t number = 0;
    ConnectionId connection = m_hooks.connection(issuer);
    {
        std::lock_guard lock(m_forwardedMutex);
        number = ++m_lastForwarded;
        forwarded->connection = connection;
        m_forwarded.emplace(number, forwarded);
    }
    Duration remaining = deadline - m_clock.now();
    TicketedRequest message { number, request.ticket, request.searchFront, request.text, static_cast<std::uint64_t>(std::max(remaining, Duration(0)).count()) };
    m_hooks.send(issuer, encodeFrame(message), FrameTag(forwardedTag | number));
    std::unique_lock lock(forwarded->mutex);
    forwarded->changed.wait_for(lock, remaining, [&] { return forwarded->answer || forwarded->connectionLost; });
    RenderedAnswer answer = forwarded->answer ? *forwarded->answer
                                              : render(Answer::unknownOutcome(forwarded->connectionLost ? UnknownReason::ConnectionLost : UnknownReason::Deadline), request.id);
    lock.unlock();
    std::lock_guard forwardedLock(m_forwardedMutex);
    m_forwarded.erase(number);
    return answer;
}

void FrontEngine::handleReply(const TicketedReply& reply)
{
    ForwardedRequestPointer forwarded;
    {
        std::lock_guard lock(m_forwardedMutex);
        auto found = m_forwarded.find(reply.correlationId);
        if (found == m_forwarded.end())
            return;
        forwarded = found->second;
    }
    std::lock_guard lock(forwarded->mutex);
    forwarded->answer = RenderedAnswer { reply.status, reply.body };
    forwarded->changed.notify_all();
}

TicketedReply FrontEngine::runForwarded(const TicketedRequest& message)
{
    tick();
    SearchRequest request;
    request.searchFront = message.searchFront;
    request.text = message.text;
    Instant deadline = m_clock.now() + std::min(Duration(static_cast<Duration::rep>(message.remaining)), maxDeadline);
    request.ticket = message.ticket;
    TicketHandler::Decision decision = m_tickets.handleForwarded(request, servingState(), m_clock.now());
    RenderedAnswer answer = applyDecision(decision, request, deadline);
    return { message.correlationId, answer.status, answer.body };
}

Answer FrontEngine::runQuery(const SearchRequest& request, Instant start, Instant deadline)
{
    DocumentStore::ActiveDocuments documents = m_documents();
    SearchFrontState& state = searchFrontState(request.searchFront);
    if (!state.admission.admit(start))
        return Answer::refused(NotRunReason::Shed, "the targets are overloaded");
    auto currentDocuments = [this] {
        DocumentStore::ActiveDocuments current = m_documents();
        return PinnedDocuments { current.configuration, current.hosts };
    };
    std::uint64_t query = ++m_lastQuery;
    auto pending = std::make_shared<PendingQuery>();
    pending->text = request.text;
    pending->query = std::make_unique<QueryRun>(QueryEnvironment { m_router, state.budget, state.latencies, currentDocuments },
        PinnedDocuments { documents.configuration, documents.hosts }, request.searchFront, query << attemptBits, start, deadline);
    {
        Stripe& queryStripe = stripe(query);
        std::lock_guard lock(queryStripe.mutex);
        queryStripe.queries.emplace(query, pending);
    }
    QueryActions actions;
    {
        std::lock_guard lock(pending->mutex);
        actions = pending->query->begin(m_clock.now());
    }
    perform(pending, query, actions);
    Answer answer = awaitAnswer(pending, query);
    state.admission.recordCompletion(pending->query->congestion(), start, m_clock.now());
    Stripe& queryStripe = stripe(query);
    std::lock_guard lock(queryStripe.mutex);
    queryStripe.queries.erase(query);
    return answer;
}

Answer FrontEngine::awaitAnswer(const PendingQueryPointer& pending, std::uint64_t query)
{
    std::unique_lock lock(pending->mutex);
    while (!pending->query->finished()) {
        Instant wakeup = pending->query->nextWakeup();
        Instant now = m_clock.now();
        if (now < wakeup) {
            pending->changed.wait_for(lock, wakeup - now);
            continue;
        }
        QueryActions actions = pending->query->handleTimer(now);
        lock.unlock();
        perform(pending, query, actions);
        lock.lock();
    }
    return pending->query->answer();
}

FrontEngine::PendingQueryPointer FrontEngine::findQuery(std::uint64_t query)
{
    Stripe& queryStripe = stripe(query);
    std::lock_guard lock(queryStripe.mutex);
    auto found = queryStripe.queries.find(query);
    return found == queryStripe.queries.end() ? nullptr : found->second;
}

void FrontEngine::perform(const PendingQueryPointer& pending, std::uint64_t query, const QueryActions& actions)
{
    sendBatches(pending, query, actions);
    sendCancels(actions);
    if (actions.finished) {
        std::lock_guard lock(pending->mutex);
        pending->changed.notify_all();
    }
}

void FrontEngine::sendBatches(const PendingQueryPointer& pending, std::uint64_t query, const QueryActions& actions)
{
    std::map<Endpoint, SearchBatch> batches;
    for (const QueryActions::Attempt& attempt : actions.attempts)
        batches[attempt.route.endpoint].subQueries.push_back(attempt.subQuery);
    for (auto& [endpoint, batch] : batches) {
        std::vector<std::uint64_t> attempts;
        for (const SubQuery& subQuery : batch.subQueries)
            attempts.push_back(subQuery.attempt);
        std::uint64_t tag = query << attemptBits | (++m_lastBatch & attemptMask);
        ConnectionId connection = m_hooks.connection(endpoint);
        {
            std::lock_guard lock(pending->mutex);
            pending->query->bind(attempts, tag, connection.value());
            const SearchFront& searchFront = pending->query->searchFront();
            Duration remaining = std::max(pending->query->replyDeadline() - m_clock.now(), Duration(0));
            batch.sender = m_incarnation;
            batch.remaining = static_cast<std::uint64_t>(remaining.count());
            batch.urgency = searchFront.urgency();
            batch.idempotent = searchFront.idempotent();
            batch.snapshot = pending->query->snapshot();
            batch.text = pending->text;
        }
        batch.versions = m_documents().versions;
        m_hooks.send(endpoint, encodeFrame(batch), FrameTag(tag));
    }
}

void FrontEngine::sendCancels(const QueryActions& actions)
{
    std::map<Endpoint, CancelBatch> batches;
    for (const QueryActions::Cancel& cancel : actions.cancels)
        batches[cancel.endpoint].attempts.push_back(cancel.attempt);
    for (auto& [endpoint, batch] : batches) {
        batch.sender = m_incarnation;
        m_hooks.send(endpoint, encodeFrame(batch), FrameTag(0));
    }
}

void FrontEngine::handleReply(const ReplyBatch& batch)
{
    if (batch.sender != m_incarnation)
        return;
    for (const SubReply& reply : batch.replies) {
        std::uint64_t query = reply.attempt >> attemptBits;
        PendingQueryPointer pending = findQuery(query);
        if (!pending)
            continue;
        QueryActions actions;
        {
            std::lock_guard lock(pending->mutex);
            actions = pending->query->handleReply(reply, m_clock.now());
        }
        perform(pending, query, actions);
    }
}

void FrontEngine::handleConnectionLost(ConnectionId connection, const std::vector<FrameTag>& unsent)
{
    for (FrameTag tag : unsent) {
        if (tag.value() & forwardedTag)
            continue;
        std::uint64_t query = tag.value() >> attemptBits;
        PendingQueryPointer pending = findQuery(query);
        if (!pending)
            continue;
        QueryActions actions;
        {
            std::lock_guard lock(pending->mutex);
            actions = pending->query->handleUnsent(tag.value(), m_clock.now());
        }
        perform(pending, query, actions);
    }
    for (Stripe& queryStripe : m_stripes) {
        std::vector<std::pair<std::uint64_t, PendingQueryPointer>> queries;
        {
            std::lock_guard lock(queryStripe.mutex);
            queries.assign(queryStripe.queries.begin(), queryStripe.queries.end());
        }
        for (const auto& [query, pending] : queries) {
            QueryActions actions;
            {
                std::lock_guard lock(pending->mutex);
                actions = pending->query->handleConnectionLost(connection.value(), m_clock.now());
            }
            perform(pending, query, actions);
        }
    }
    std::lock_guard lock(m_forwardedMutex);
    for (const auto& [number, forwarded] : m_forwarded) {
        if (forwarded->connection != connection)
            continue;
        std::lock_guard requestLock(forwarded->mutex);
        forwarded->connectionLost = true;
        forwarded->changed.notify_all();
    }
}

RenderedAnswer FrontEngine::recordAndRender(const SearchRequest& request, const Answer& answer, Instant start, std::uint64_t query)
{
    Instant now = m_clock.now();
    std::string id = request.id.empty() ? std::to_string(m_incarnation.value()) + "-" + std::to_string(query) : request.id;
    ConfigurationPointer configuration = m_documents().configuration;
    const SearchFront* searchFront = configuration ? configuration->searchFront(request.searchFront) : nullptr;
    m_recorder.record(request, answer, id, searchFront, now - start, now);
    return render(answer, id);
}

std::string FrontEngine::burnReport() const
{
    return m_recorder.burnReport(m_documents().configuration.get(), m_clock.now());
}

std::string FrontEngine::explain(const std::string& id) const
{
    return m_recorder.explain(id);
}

} // namespace pimentopoint
