#include "FrontEngine.h"

#include "../Core/Log.h"
#include "../Core/util/Constants.h"
#include "../Peer/Frame.h"

#include <algorithm>

namespace pimentopoint {

namespace {

    /// Bits of an attempt number or frame tag below the number of its query.
    constexpr unsigned attemptBits = 16;
    constexpr std::uint64_t attemptMask = (std::uint64_t(1) << attemptBits) - 1;
    /// Marks the frame tags of requests passed on.
    constexpr std::uint64_t callTag = std::uint64_t(1) << 63;
    /// Deadline of a request whose search front this process does not know.
    constexpr Duration unknownFrontDeadline = std::chrono::seconds(1);

} // namespace

FrontEngine::FrontEngine(const MemberName& self, Incarnation incarnation, const Clock& clock, Metrics& metrics, Router& router,
    std::function<DocumentStore::InForce()> documents, Hooks hooks)
    : m_incarnation(incarnation)
    , m_clock(clock)
    , m_router(router)
    , m_documents(std::move(documents))
    , m_hooks(std::move(hooks))
    , m_desk(self, incarnation)
    , m_journal(metrics)
{
}

void FrontEngine::tick()
{
    {
        // Closed before the pause counts as noticed: another thread that wakes must not find the engine open.
        std::lock_guard lock(m_pauseMutex);
        if (!m_pauses.tick(m_clock.now()))
            return;
        if (m_closedReason != NotRunReason::Stopping)
            setServing(false, NotRunReason::Stale);
    }
    m_hooks.paused();
}

void FrontEngine::setServing(bool serving, NotRunReason reason)
{
    if (!serving)
        m_closedReason = reason;
    m_serving = serving;
}

FrontEngine::FrontState& FrontEngine::frontState(const SearchFrontName& name)
{
    std::lock_guard lock(m_frontsMutex);
    auto& state = m_fronts[name];
    if (!state)
        state = std::make_unique<FrontState>(m_incarnation.value());
    return *state;
}

std::optional<std::string> FrontEngine::issueTicket()
{
    tick();
    if (!m_serving)
        return std::nullopt;
    return m_desk.issue(m_clock.now());
}

Instant FrontEngine::deadlineOf(const SearchRequest& request, Instant now) const
{
    ConfigurationPointer configuration = m_documents().configuration;
    const SearchFront* front = configuration ? configuration->searchFront(request.searchFront) : nullptr;
    Duration longest = front ? front->deadline() : unknownFrontDeadline;
    return now + std::min(request.deadline.value_or(longest), longest);
}

RenderedAnswer FrontEngine::ask(const SearchRequest& request)
{
    tick();
    Instant start = m_clock.now();
    Instant deadline = deadlineOf(request, start);
    if (!request.ticket.empty()) {
        TicketDesk::Decision decision = m_desk.arrive(request, servingState(), m_hooks.issuer, start);
        if (decision.step == TicketDesk::Step::PassOn)
            return passOn(request, decision.issuer, deadline);
        return carryOut(decision, request, deadline);
    }
    std::uint64_t query = ++m_lastQuery;
    if (!m_serving)
        return finish(request, Answer::refused(m_closedReason), start, query);
    ConfigurationPointer configuration = m_documents().configuration;
    const SearchFront* front = configuration->searchFront(request.searchFront);
    if (!front)
        return finish(request, Answer::refused(NotRunReason::NoSuchSearchFront), start, query);
    if (!front->repeatable())
        return finish(request, Answer::refused(NotRunReason::NoTicket, "take a ticket first"), start, query);
    return finish(request, runQuery(request, start, deadline), start, query);
}

TicketDesk::Serving FrontEngine::servingState() const
{
    return { m_serving, m_closedReason };
}

RenderedAnswer FrontEngine::carryOut(const TicketDesk::Decision& decision, const SearchRequest& request, Instant deadline)
{
    if (decision.step == TicketDesk::Step::Await)
        return awaitOutcome(decision.number, request, deadline);
    if (decision.step != TicketDesk::Step::Run)
        return decision.reply;
    RenderedAnswer rendered = render(Answer::unknownOutcome(UnknownReason::ConnectionLost), request.id);
    try {
        Instant start = m_clock.now();
        bool known = m_documents().configuration->searchFront(request.searchFront);
        Answer answer = known ? runQuery(request, start, deadline) : Answer::refused(NotRunReason::NoSuchSearchFront);
        rendered = finish(request, answer, start, ++m_lastQuery);
    } catch (const std::exception& failure) {
        Log::event(Severity::Error, "request-failed", { { "request", request.id }, { "cause", failure.what() } });
    }
    m_desk.finish(decision.number, rendered);
    std::lock_guard lock(m_ticketMutex);
    m_ticketDone.notify_all();
    return rendered;
}

RenderedAnswer FrontEngine::awaitOutcome(std::uint64_t number, const SearchRequest& request, Instant deadline)
{
    std::unique_lock lock(m_ticketMutex);
    while (m_clock.now() < deadline) {
        auto outcome = m_desk.outcome(number, request.digest(), m_clock.now());
        if (outcome)
            return *outcome;
        m_ticketDone.wait_for(lock, deadline - m_clock.now());
    }
    return render(Answer::unknownOutcome(UnknownReason::Deadline), request.id);
}

RenderedAnswer FrontEngine::passOn(const SearchRequest& request, const Endpoint& issuer, Instant deadline)
{
    auto call = std::make_shared<Call>();
    std::uint64_t number = 0;
    ConnectionId connection = m_hooks.connection(issuer);
    {
        std::lock_guard lock(m_callsMutex);
        number = ++m_lastCall;
        call->connection = connection;
        m_calls.emplace(number, call);
    }
    Duration remaining = deadline - m_clock.now();
    TicketedRequest message { number, request.ticket, request.searchFront, request.text, static_cast<std::uint64_t>(std::max(remaining, Duration(0)).count()) };
    m_hooks.send(issuer, encodeFrame(message), FrameTag(callTag | number));
    std::unique_lock lock(call->mutex);
    call->changed.wait_for(lock, remaining, [&] { return call->answer || call->lost; });
    RenderedAnswer answer = call->answer ? *call->answer
                                         : render(Answer::unknownOutcome(call->lost ? UnknownReason::ConnectionLost : UnknownReason::Deadline), request.id);
    lock.unlock();
    std::lock_guard callsLock(m_callsMutex);
    m_calls.erase(number);
    return answer;
}

void FrontEngine::received(const TicketedReply& reply)
{
    CallPointer call;
    {
        std::lock_guard lock(m_callsMutex);
        auto found = m_calls.find(reply.call);
        if (found == m_calls.end())
            return;
        call = found->second;
    }
    std::lock_guard lock(call->mutex);
    call->answer = RenderedAnswer { reply.status, reply.body };
    call->changed.notify_all();
}

TicketedReply FrontEngine::runTicketed(const TicketedRequest& message)
{
    tick();
    SearchRequest request;
    request.searchFront = message.searchFront;
    request.text = message.text;
    Instant deadline = m_clock.now() + std::min(Duration(static_cast<Duration::rep>(message.remaining)), maxDeadline);
    request.ticket = message.ticket;
    TicketDesk::Decision decision = m_desk.arrivePassedOn(request, servingState(), m_clock.now());
    RenderedAnswer answer = carryOut(decision, request, deadline);
    return { message.call, answer.status, answer.body };
}

Answer FrontEngine::runQuery(const SearchRequest& request, Instant start, Instant deadline)
{
    DocumentStore::InForce documents = m_documents();
    FrontState& state = frontState(request.searchFront);
    if (!state.admission.admit(start))
        return Answer::refused(NotRunReason::Shed, "there is more to do than can be done in time");
    auto pinned = [this] {
        DocumentStore::InForce current = m_documents();
        return PinnedDocuments { current.configuration, current.hosts };
    };
    std::uint64_t query = ++m_lastQuery;
    auto run = std::make_shared<Run>();
    run->text = request.text;
    run->query = std::make_unique<QueryRun>(QueryEnvironment { m_router, state.budget, state.latencies, pinned },
        PinnedDocuments { documents.configuration, documents.hosts }, request.searchFront, query << attemptBits, start, deadline);
    {
        Part& shard = part(query);
        std::lock_guard lock(shard.mutex);
        shard.runs.emplace(query, run);
    }
    RunActions actions;
    {
        std::lock_guard lock(run->mutex);
        actions = run->query->begin(m_clock.now());
    }
    perform(run, query, actions);
    Answer answer = waitFor(run, query);
    state.admission.ended(run->query->congestion(), start, m_clock.now());
    Part& shard = part(query);
    std::lock_guard lock(shard.mutex);
    shard.runs.erase(query);
    return answer;
}

Answer FrontEngine::waitFor(const RunPointer& run, std::uint64_t query)
{
    std::unique_lock lock(run->mutex);
    while (!run->query->finished()) {
        Instant wake = run->query->nextWake();
        Instant now = m_clock.now();
        if (now < wake) {
            run->changed.wait_for(lock, wake - now);
            continue;
        }
        RunActions actions = run->query->timer(now);
        lock.unlock();
        perform(run, query, actions);
        lock.lock();
    }
    return run->query->answer();
}

FrontEngine::RunPointer FrontEngine::findRun(std::uint64_t query)
{
    Part& shard = part(query);
    std::lock_guard lock(shard.mutex);
    auto found = shard.runs.find(query);
    return found == shard.runs.end() ? nullptr : found->second;
}

void FrontEngine::perform(const RunPointer& run, std::uint64_t query, const RunActions& actions)
{
    sendBatches(run, query, actions);
    sendCancels(actions);
    if (actions.finished) {
        std::lock_guard lock(run->mutex);
        run->changed.notify_all();
    }
}

void FrontEngine::sendBatches(const RunPointer& run, std::uint64_t query, const RunActions& actions)
{
    std::map<Endpoint, SearchBatch> batches;
    for (const RunActions::Send& send : actions.sends)
        batches[send.route.endpoint].parts.push_back(send.sub);
    for (auto& [endpoint, batch] : batches) {
        std::vector<std::uint64_t> attempts;
        for (const SubQuery& sub : batch.parts)
            attempts.push_back(sub.attempt);
        std::uint64_t tag = query << attemptBits | (++m_lastBatch & attemptMask);
        ConnectionId connection = m_hooks.connection(endpoint);
        {
            std::lock_guard lock(run->mutex);
            run->query->bind(attempts, tag, connection.value());
            const SearchFront& front = run->query->searchFront();
            Duration remaining = std::max(run->query->replyDeadline() - m_clock.now(), Duration(0));
            batch.sender = m_incarnation;
            batch.remaining = static_cast<std::uint64_t>(remaining.count());
            batch.urgency = front.urgency();
            batch.repeatable = front.repeatable();
            batch.snapshot = run->query->snapshot();
            batch.text = run->text;
        }
        batch.versions = m_documents().versions;
        m_hooks.send(endpoint, encodeFrame(batch), FrameTag(tag));
    }
}

void FrontEngine::sendCancels(const RunActions& actions)
{
    std::map<Endpoint, CancelBatch> batches;
    for (const RunActions::Cancel& cancel : actions.cancels)
        batches[cancel.endpoint].attempts.push_back(cancel.attempt);
    for (auto& [endpoint, batch] : batches) {
        batch.sender = m_incarnation;
        m_hooks.send(endpoint, encodeFrame(batch), FrameTag(0));
    }
}

void FrontEngine::received(const ReplyBatch& batch)
{
    if (batch.sender != m_incarnation)
        return;
    for (const SubReply& reply : batch.replies) {
        std::uint64_t query = reply.attempt >> attemptBits;
        RunPointer run = findRun(query);
        if (!run)
            continue;
        RunActions actions;
        {
            std::lock_guard lock(run->mutex);
            actions = run->query->replied(reply, m_clock.now());
        }
        perform(run, query, actions);
    }
}

void FrontEngine::connectionLost(ConnectionId connection, const std::vector<FrameTag>& unsent)
{
    for (FrameTag tag : unsent) {
        if (tag.value() & callTag)
            continue;
        std::uint64_t query = tag.value() >> attemptBits;
        RunPointer run = findRun(query);
        if (!run)
            continue;
        RunActions actions;
        {
            std::lock_guard lock(run->mutex);
            actions = run->query->unsent(tag.value(), m_clock.now());
        }
        perform(run, query, actions);
    }
    for (Part& shard : m_parts) {
        std::vector<std::pair<std::uint64_t, RunPointer>> runs;
        {
            std::lock_guard lock(shard.mutex);
            runs.assign(shard.runs.begin(), shard.runs.end());
        }
        for (const auto& [query, run] : runs) {
            RunActions actions;
            {
                std::lock_guard lock(run->mutex);
                actions = run->query->connectionLost(connection.value(), m_clock.now());
            }
            perform(run, query, actions);
        }
    }
    std::lock_guard lock(m_callsMutex);
    for (const auto& [number, call] : m_calls) {
        if (call->connection != connection)
            continue;
        std::lock_guard callLock(call->mutex);
        call->lost = true;
        call->changed.notify_all();
    }
}

RenderedAnswer FrontEngine::finish(const SearchRequest& request, const Answer& answer, Instant start, std::uint64_t query)
{
    Instant now = m_clock.now();
    std::string id = request.id.empty() ? std::to_string(m_incarnation.value()) + "-" + std::to_string(query) : request.id;
    ConfigurationPointer configuration = m_documents().configuration;
    const SearchFront* front = configuration ? configuration->searchFront(request.searchFront) : nullptr;
    m_journal.record(request, answer, id, front, now - start, now);
    return render(answer, id);
}

std::string FrontEngine::burnReport() const
{
    return m_journal.burnReport(m_documents().configuration.get(), m_clock.now());
}

std::string FrontEngine::explain(const std::string& id) const
{
    return m_journal.explain(id);
}

} // namespace pimentopoint
