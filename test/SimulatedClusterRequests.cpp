// Queries, requests with tickets and checks of their answers in SimulatedCluster.
#include "SimulatedCluster.h"

#include <Pimentopoint/Operator>
#include <nlohmann/json.hpp>

namespace pimentopoint::test {

using namespace std::chrono_literals;

void SimulatedCluster::startQuery(Front& front, const std::string& searchFront, const std::string& text, std::function<void(const Answer&)> done)
{
    auto documents = [&front] {
        DocumentStore::ActiveDocuments inForce = front.store->activeDocuments();
        return PinnedDocuments { inForce.configuration, inForce.hosts };
    };
    std::uint64_t query = ++front.lastQuery;
    Instant now = m_clock.now();
    Run& run = front.runs[query];
    run.text = text;
    run.done = std::move(done);
    run.query = std::make_unique<QueryRun>(QueryEnvironment { *front.router, *front.budget, *front.latencies, documents }, documents(),
        SearchFrontName(searchFront), query << 16, now, now + 300ms);
    perform(front, query, run.query->begin(now));
}

void SimulatedCluster::perform(Front& front, std::uint64_t query, const QueryActions& actions)
{
    QueryRun& run = *front.runs.at(query).query;
    std::map<Endpoint, SearchBatch> batches;
    for (const QueryActions::Attempt& attempt : actions.attempts)
        batches[attempt.route.endpoint].subQueries.push_back(attempt.subQuery);
    for (auto& [endpoint, batch] : batches) {
        auto gateway = std::next(m_gateways.begin(), endpoint.port() - 1)->second.get();
        std::uint64_t& connection = m_connections[{ front.name, gateway->name }];
        if (!connection)
            connection = ++m_lastConnection;
        std::uint64_t tag = ++m_lastConnection;
        std::vector<std::uint64_t> attempts;
        for (const SubQuery& subQuery : batch.subQueries)
            attempts.push_back(subQuery.attempt);
        run.bind(attempts, tag, connection);
        batch.sender = Incarnation(front.incarnation);
        batch.remaining = static_cast<std::uint64_t>(std::max(run.replyDeadline() - m_clock.now(), Duration(0)).count());
        batch.idempotent = run.searchFront().idempotent();
        batch.snapshot = run.snapshot();
        batch.text = front.runs.at(query).text;
        std::string bytes = encodeFrame(batch).substr(frameLengthBytes);
        auto deliver = [this, gateway, bytes] { gateway->engine->submit(Frame::parse(bytes).decode<SearchBatch>(), m_clock.now()); };
        auto lost = [this, &front, query, id = connection, gateway] {
            m_connections.erase({ front.name, gateway->name });
            if (front.runs.contains(query))
                perform(front, query, front.runs.at(query).query->handleConnectionLost(id, m_clock.now()));
        };
        auto unsent = [this, &front, query, tag] {
            if (front.runs.contains(query))
                perform(front, query, front.runs.at(query).query->handleUnsent(tag, m_clock.now()));
        };
        transmit(front, *gateway, deliver, lost, unsent);
    }
    for (const QueryActions::Cancel& cancel : actions.cancels) {
        auto gateway = std::next(m_gateways.begin(), cancel.endpoint.port() - 1)->second.get();
        CancelBatch batch { Incarnation(front.incarnation), { cancel.attempt } };
        transmit(front, *gateway, [this, gateway, batch] { gateway->engine->cancel(batch, m_clock.now()); }, {}, {});
    }
    if (!run.finished())
        return armTimer(front, query);
    Run finished = std::move(front.runs.at(query));
    front.runs.erase(query);
    finished.done(finished.query->answer());
}

void SimulatedCluster::armTimer(Front& front, std::uint64_t query)
{
    Duration wait = std::max(front.runs.at(query).query->nextWakeup() - m_clock.now(), Duration(1));
    std::uint64_t incarnation = front.incarnation;
    scheduleAfter(wait, [this, &front, query, incarnation] {
        runOn(front, incarnation, [this, &front, query] {
            auto run = front.runs.find(query);
            if (run != front.runs.end() && m_clock.now() >= run->second.query->nextWakeup())
                perform(front, query, run->second.query->handleTimer(m_clock.now()));
        });
    });
}

void SimulatedCluster::submit(Request& request)
{
    auto front = std::next(m_fronts.begin(), static_cast<std::ptrdiff_t>(m_random.below(m_fronts.size())))->second.get();
    if (!request.attemptsLeft)
        return;
    --request.attemptsLeft;
    if (request.ticketed && request.ticket.empty()) {
        bool reachable = front->alive && !front->paused && front->serving;
        auto ticket = reachable ? front->tickets->issue(m_clock.now()) : std::nullopt;
        if (!ticket)
            return scheduleAfter(50ms, [this, &request] { submit(request); });
        request.ticket = *ticket;
    }
    submitTo(*front, request);
    // The caller may send its request again, to any front, before the first answer arrives.
    if (m_random.chance(0.5))
        scheduleAfter(Duration(static_cast<Duration::rep>(m_random.below(600000))), [this, &request] { submit(request); });
}

void SimulatedCluster::submitTo(Front& front, Request& request)
{
    ++request.pending;
    std::uint64_t incarnation = front.incarnation;
    scheduleAfter(networkDelay(), [this, &front, incarnation, &request] {
        auto noAnswer = [&request] { --request.pending; };
        auto arrive = [this, &front, &request] {
            if (front.pauses.overdue(m_clock.now())) {
                front.pauses.tick(m_clock.now());
                scheduleConfirmation(front);
            }
            auto reply = [this, &request](const std::string& body) { scheduleAfter(networkDelay(), [this, &request, body] { handleAnswer(request, body); }); };
            SearchRequest message;
            message.searchFront = SearchFrontName(request.ticketed ? "order" : "read");
            message.text = request.text;
            message.ticket = request.ticket;
            if (request.ticketed)
                return handleTicketedRequest(front, message, false, reply);
            if (!front.serving)
                return reply(render(Answer::refused(NotRunReason::Stale), "").body);
            startQuery(front, "read", request.text, [reply](const Answer& answer) { reply(render(answer, "").body); });
        };
        runOn(front, incarnation, arrive, noAnswer);
    });
}

void SimulatedCluster::handleTicketedRequest(Front& front, SearchRequest request, bool forwarded, const std::function<void(std::string)>& reply)
{
    TicketHandler::ServingState serving { front.serving, NotRunReason::Stale };
    Front* issuer = nullptr;
    auto findIssuer = [&](const Ticket& ticket) -> std::optional<Endpoint> {
        auto found = m_fronts.find(ticket.member().value());
        bool up = found != m_fronts.end() && found->second->incarnation == ticket.incarnation().value() && found->second->alive;
        issuer = up ? found->second.get() : nullptr;
        return up ? std::optional(Endpoint("127.0.0.1", 1)) : std::nullopt;
    };
    Instant now = m_clock.now();
    TicketHandler::Decision decision = forwarded ? front.tickets->handleForwarded(request, serving, now) : front.tickets->handleRequest(request, serving, findIssuer, now);
    auto unknown = [reply](UnknownReason reason) { reply(render(Answer::unknownOutcome(reason), "").body); };
    switch (decision.action) {
    case TicketHandler::Action::Reply:
        return reply(decision.reply.body);
    case TicketHandler::Action::Await:
        front.waiting.emplace_back(decision.number, [reply, unknown](const std::optional<RenderedAnswer>& answer) {
            answer ? reply(answer->body) : unknown(UnknownReason::Deadline);
        });
        scheduleAfter(300ms, [this, &front, incarnation = front.incarnation] { runOn(front, incarnation, [this, &front] { resumeWaiting(front); }); });
        return;
    case TicketHandler::Action::Run:
        return startQuery(front, "order", request.text, [this, &front, reply, number = decision.number](const Answer& answer) {
            RenderedAnswer rendered = render(answer, "");
            front.tickets->finish(number, rendered);
            resumeWaiting(front);
            reply(rendered.body);
        });
    case TicketHandler::Action::Forward:
        break;
    }
    auto answered = std::make_shared<bool>(false);
    auto once = [answered, reply](const std::string& body) {
        if (!*answered)
            reply(body);
        *answered = true;
    };
    auto lost = [once] { once(render(Answer::unknownOutcome(UnknownReason::ConnectionLost), "").body); };
    transmit(
        front, *issuer, [this, issuer, &front, request, once] {
        if (issuer->pauses.overdue(m_clock.now())) {
            issuer->pauses.tick(m_clock.now());
            scheduleConfirmation(*issuer);
        }
        handleTicketedRequest(*issuer, request, true, [this, issuer, &front, once](const std::string& body) {
            transmit(*issuer, front, [once, body] { once(body); }, {}, {});
        }); }, lost, lost);
    scheduleAfter(300ms, [this, &front, incarnation = front.incarnation, lost] { runOn(front, incarnation, lost); });
}

void SimulatedCluster::resumeWaiting(Front& front)
{
    auto waiting = std::move(front.waiting);
    front.waiting.clear();
    for (auto& [number, resume] : waiting) {
        std::optional<RenderedAnswer> answer;
        for (const auto& request : m_requests) {
            SearchRequest probe;
            probe.searchFront = SearchFrontName("order");
            probe.text = request->text;
            if (!answer && request->ticketed)
                answer = front.tickets->outcome(number, probe.digest(), m_clock.now());
        }
        resume(answer);
    }
}

void SimulatedCluster::handleAnswer(Request& request, const std::string& body)
{
    --request.pending;
    request.answers.push_back(body);
    checkAnswer(request.text, body);
    nlohmann::json answer = nlohmann::json::parse(body);
    ++m_outcomes[answer.at("status")];
    bool settled = answer.at("status") == "answer" || answer.at("status") == "not-run";
    if (!settled || m_random.chance(0.3))
        scheduleAfter(20ms, [this, &request] { submit(request); });
}

void SimulatedCluster::checkAnswer(const std::string& text, const std::string& body)
{
    nlohmann::json answer = nlohmann::json::parse(body);
    if (!answer.contains("hits"))
        return;
    std::set<std::string> seen;
    double servedFraction = 0;
    std::string snapshot = "#" + std::to_string(answer.at("snapshot").get<std::uint64_t>());
    for (const auto& hit : answer.at("hits")) {
        std::string value = hit;
        if (!value.starts_with(text + "@"))
            addViolation("the answer to " + text + " contains a hit of another request: " + value);
        if (!value.ends_with(snapshot))
            addViolation("the answer to " + text + " contains a hit of another snapshot: " + value + " in " + snapshot);
        servedFraction += (value.find("~half") == std::string::npos ? 1.0 : 0.5) / shardCount;
        if (!seen.insert(value.substr(0, value.find_first_of("~#"))).second)
            addViolation("the answer to " + text + " contains " + value + " twice");
    }
    bool whole = answer.at("coverage").at("whole");
    double fraction = answer.at("coverage").at("fraction");
    if (whole != (servedFraction > 1 - 1e-6) || std::abs(fraction - servedFraction) > 1e-6)
        addViolation("the answer to " + text + " reports coverage " + std::to_string(fraction) + ", but the targets served " + std::to_string(servedFraction));
}

void SimulatedCluster::checkRequests()
{
    for (const auto& request : m_requests) {
        std::map<std::string, unsigned> runs;
        for (const auto& [id, target] : m_targets) {
            for (const auto& [key, count] : target.runs) {
                if (key.starts_with(request->text + "@"))
                    runs[key] += count;
            }
        }
        bool refused = false;
        for (const std::string& body : request->answers)
            refused = refused || body.starts_with("{\"status\":\"not-run\"");
        if (request->ticketed && refused && !runs.empty())
            addViolation(request->text + " was reported as not run, but ran");
        if (!request->ticketed && refused && request->answers.size() == 1 && !request->pending && !runs.empty())
            addViolation(request->text + " was reported as not run, but ran");
        for (const auto& [key, count] : runs) {
            if (request->ticketed && count > 1)
                addViolation(key + " ran " + std::to_string(count) + " times, but its ticket allows one run");
        }
    }
}

} // namespace pimentopoint::test
