// Requests of a World: queries, tickets, and what their callers may see.
#include "World.h"

#include <Pimentopoint/Operator>
#include <nlohmann/json.hpp>

namespace pimentopoint::test {

using namespace std::chrono_literals;

void World::startRun(Front& front, const std::string& searchFront, const std::string& text, std::function<void(const Answer&)> done)
{
    auto documents = [&front] {
        DocumentStore::InForce inForce = front.store->inForce();
        return PinnedDocuments { inForce.configuration, inForce.hosts };
    };
    std::uint64_t query = ++front.lastQuery;
    Instant now = m_clock.now();
    Run& run = front.runs[query];
    run.text = text;
    run.done = std::move(done);
    run.query = std::make_unique<QueryRun>(QueryEnvironment { *front.board, *front.budget, *front.latencies, documents }, documents(),
        SearchFrontName(searchFront), query << 16, now, now + 300ms);
    perform(front, query, run.query->begin(now));
}

void World::perform(Front& front, std::uint64_t query, const RunActions& actions)
{
    QueryRun& run = *front.runs.at(query).query;
    std::map<Endpoint, SearchBatch> batches;
    for (const RunActions::Send& send : actions.sends)
        batches[send.route.endpoint].parts.push_back(send.sub);
    for (auto& [endpoint, batch] : batches) {
        auto gateway = std::next(m_gateways.begin(), endpoint.port() - 1)->second.get();
        std::uint64_t& connection = m_connections[{ front.name, gateway->name }];
        if (!connection)
            connection = ++m_lastConnection;
        std::uint64_t tag = ++m_lastConnection;
        std::vector<std::uint64_t> attempts;
        for (const SubQuery& sub : batch.parts)
            attempts.push_back(sub.attempt);
        run.bind(attempts, tag, connection);
        batch.sender = Incarnation(front.incarnation);
        batch.remaining = static_cast<std::uint64_t>(std::max(run.replyDeadline() - m_clock.now(), Duration(0)).count());
        batch.repeatable = run.searchFront().repeatable();
        batch.snapshot = run.snapshot();
        batch.text = front.runs.at(query).text;
        std::string bytes = encodeFrame(batch).substr(frameLengthBytes);
        auto deliver = [this, gateway, bytes] { gateway->engine->submit(Frame::parse(bytes).decode<SearchBatch>(), m_clock.now()); };
        auto lost = [this, &front, query, id = connection, gateway] {
            m_connections.erase({ front.name, gateway->name });
            if (front.runs.contains(query))
                perform(front, query, front.runs.at(query).query->connectionLost(id, m_clock.now()));
        };
        auto unsent = [this, &front, query, tag] {
            if (front.runs.contains(query))
                perform(front, query, front.runs.at(query).query->unsent(tag, m_clock.now()));
        };
        link(front, *gateway, deliver, lost, unsent);
    }
    for (const RunActions::Cancel& cancel : actions.cancels) {
        auto gateway = std::next(m_gateways.begin(), cancel.endpoint.port() - 1)->second.get();
        CancelBatch batch { Incarnation(front.incarnation), { cancel.attempt } };
        link(front, *gateway, [this, gateway, batch] { gateway->engine->cancel(batch, m_clock.now()); }, {}, {});
    }
    if (!run.finished())
        return armTimer(front, query);
    Run finished = std::move(front.runs.at(query));
    front.runs.erase(query);
    finished.done(finished.query->answer());
}

void World::armTimer(Front& front, std::uint64_t query)
{
    Duration wait = std::max(front.runs.at(query).query->nextWake() - m_clock.now(), Duration(1));
    std::uint64_t incarnation = front.incarnation;
    at(wait, [this, &front, query, incarnation] {
        on(front, incarnation, [this, &front, query] {
            auto run = front.runs.find(query);
            if (run != front.runs.end() && m_clock.now() >= run->second.query->nextWake())
                perform(front, query, run->second.query->timer(m_clock.now()));
        });
    });
}

void World::submit(Request& request)
{
    auto front = std::next(m_fronts.begin(), static_cast<std::ptrdiff_t>(m_random.below(m_fronts.size())))->second.get();
    if (!request.triesLeft)
        return;
    --request.triesLeft;
    if (request.ticketed && request.ticket.empty()) {
        bool reachable = front->alive && !front->frozen && front->serving;
        auto ticket = reachable ? front->desk->issue(m_clock.now()) : std::nullopt;
        if (!ticket)
            return at(50ms, [this, &request] { submit(request); });
        request.ticket = *ticket;
    }
    submitTo(*front, request);
    // An impatient caller repeats its request elsewhere before the first answer is there.
    if (m_random.chance(0.5))
        at(Duration(static_cast<Duration::rep>(m_random.below(600000))), [this, &request] { submit(request); });
}

void World::submitTo(Front& front, Request& request)
{
    ++request.pending;
    std::uint64_t incarnation = front.incarnation;
    at(hop(), [this, &front, incarnation, &request] {
        auto noAnswer = [&request] { --request.pending; };
        auto arrive = [this, &front, &request] {
            if (front.pauses.overdue(m_clock.now())) {
                front.pauses.tick(m_clock.now());
                confirmLater(front);
            }
            auto reply = [this, &request](const std::string& body) { at(hop(), [this, &request, body] { answered(request, body); }); };
            SearchRequest message;
            message.searchFront = SearchFrontName(request.ticketed ? "order" : "read");
            message.text = request.text;
            message.ticket = request.ticket;
            if (request.ticketed)
                return arriveWithTicket(front, message, false, reply);
            if (!front.serving)
                return reply(render(Answer::refused(NotRunReason::Stale), "").body);
            startRun(front, "read", request.text, [reply](const Answer& answer) { reply(render(answer, "").body); });
        };
        on(front, incarnation, arrive, noAnswer);
    });
}

void World::arriveWithTicket(Front& front, SearchRequest request, bool passedOn, const std::function<void(std::string)>& reply)
{
    TicketDesk::Serving serving { front.serving, NotRunReason::Stale };
    Front* issuer = nullptr;
    auto lookup = [&](const Ticket& ticket) -> std::optional<Endpoint> {
        auto found = m_fronts.find(ticket.member().value());
        bool up = found != m_fronts.end() && found->second->incarnation == ticket.incarnation().value() && found->second->alive;
        issuer = up ? found->second.get() : nullptr;
        return up ? std::optional(Endpoint("127.0.0.1", 1)) : std::nullopt;
    };
    Instant now = m_clock.now();
    TicketDesk::Decision decision = passedOn ? front.desk->arrivePassedOn(request, serving, now) : front.desk->arrive(request, serving, lookup, now);
    auto unknown = [reply](UnknownReason reason) { reply(render(Answer::unknownOutcome(reason), "").body); };
    switch (decision.step) {
    case TicketDesk::Step::Reply:
        return reply(decision.reply.body);
    case TicketDesk::Step::Await:
        front.waiting.emplace_back(decision.number, [reply, unknown](const std::optional<RenderedAnswer>& answer) {
            answer ? reply(answer->body) : unknown(UnknownReason::Deadline);
        });
        at(300ms, [this, &front, incarnation = front.incarnation] { on(front, incarnation, [this, &front] { sweepWaiting(front); }); });
        return;
    case TicketDesk::Step::Run:
        return startRun(front, "order", request.text, [this, &front, reply, number = decision.number](const Answer& answer) {
            RenderedAnswer rendered = render(answer, "");
            front.desk->finish(number, rendered);
            sweepWaiting(front);
            reply(rendered.body);
        });
    case TicketDesk::Step::PassOn:
        break;
    }
    auto answered = std::make_shared<bool>(false);
    auto once = [answered, reply](const std::string& body) {
        if (!*answered)
            reply(body);
        *answered = true;
    };
    auto lost = [once] { once(render(Answer::unknownOutcome(UnknownReason::ConnectionLost), "").body); };
    link(
        front, *issuer, [this, issuer, &front, request, once] {
        if (issuer->pauses.overdue(m_clock.now())) {
            issuer->pauses.tick(m_clock.now());
            confirmLater(*issuer);
        }
        arriveWithTicket(*issuer, request, true, [this, issuer, &front, once](const std::string& body) {
            link(*issuer, front, [once, body] { once(body); }, {}, {});
        }); }, lost, lost);
    at(300ms, [this, &front, incarnation = front.incarnation, lost] { on(front, incarnation, lost); });
}

void World::sweepWaiting(Front& front)
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
                answer = front.desk->outcome(number, probe.digest(), m_clock.now());
        }
        resume(answer);
    }
}

void World::answered(Request& request, const std::string& body)
{
    --request.pending;
    request.answers.push_back(body);
    checkAnswer(request.text, body);
    nlohmann::json answer = nlohmann::json::parse(body);
    ++m_outcomes[answer.at("status")];
    bool settled = answer.at("status") == "answer" || answer.at("status") == "not-run";
    if (!settled || m_random.chance(0.3))
        at(20ms, [this, &request] { submit(request); });
}

void World::checkAnswer(const std::string& text, const std::string& body)
{
    nlohmann::json answer = nlohmann::json::parse(body);
    if (!answer.contains("hits"))
        return;
    std::set<std::string> starts;
    double served = 0;
    std::string snapshot = "#" + std::to_string(answer.at("snapshot").get<std::uint64_t>());
    for (const auto& hit : answer.at("hits")) {
        std::string value = hit;
        if (!value.starts_with(text + "@"))
            violation("the answer to " + text + " holds " + value);
        if (!value.ends_with(snapshot))
            violation("the answer to " + text + " mixes snapshots: " + value + " in " + snapshot);
        served += (value.find("~half") == std::string::npos ? 1.0 : 0.5) / shardCount;
        if (!starts.insert(value.substr(0, value.find_first_of("~#"))).second)
            violation("the answer to " + text + " holds " + value + " twice");
    }
    bool whole = answer.at("coverage").at("whole");
    double fraction = answer.at("coverage").at("fraction");
    if (whole != (served > 1 - 1e-6) || std::abs(fraction - served) > 1e-6)
        violation("the answer to " + text + " claims coverage " + std::to_string(fraction) + ", served were " + std::to_string(served));
}

void World::checkRequests()
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
            violation(request->text + " was called not run and ran");
        if (!request->ticketed && refused && request->answers.size() == 1 && !request->pending && !runs.empty())
            violation(request->text + " was called not run and ran");
        for (const auto& [key, count] : runs) {
            if (request->ticketed && count > 1)
                violation(key + " ran " + std::to_string(count) + " times");
        }
    }
}

} // namespace pimentopoint::test
