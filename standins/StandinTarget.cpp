#include "StandinTarget.h"

#include <civetweb.h>
#include <nlohmann/json.hpp>

namespace pimentopoint::standins {

using nlohmann::json;

namespace {

    constexpr int handled = 200; // For civetweb: the request has been responded to.
    constexpr unsigned coldFactor = 5;
    /// User data of a connection that has carried no request yet.
    char unusedConnection = 0;
    /// Limit on the distinct queries whose runs are counted; bounds the memory of long runs.
    constexpr std::size_t maxCountedQueries = 100000;

    std::string readBody(mg_connection* connection)
    {
        long long length = mg_get_request_info(connection)->content_length;
        std::string body(length > 0 ? static_cast<std::size_t>(length) : 0, '\0');
        std::size_t offset = 0;
        while (offset < body.size()) {
            int count = mg_read(connection, body.data() + offset, body.size() - offset);
            if (count <= 0)
                return {};
            offset += static_cast<std::size_t>(count);
        }
        return body;
    }

    void respond(mg_connection* connection, int status, const std::string& body, std::size_t contentLength = 0)
    {
        std::string response = "HTTP/1.1 " + std::to_string(status) + " X\r\nContent-Type: application/json\r\nContent-Length: "
            + std::to_string(contentLength ? contentLength : body.size()) + "\r\nConnection: keep-alive\r\n\r\n" + body;
        mg_write(connection, response.data(), response.size());
    }

} // namespace

StandinTarget::StandinTarget(const Endpoint& endpoint, TargetBehaviour behaviour, unsigned threads)
    : m_behaviour(std::move(behaviour))
    , m_incarnation(static_cast<std::uint64_t>(std::chrono::system_clock::now().time_since_epoch() / std::chrono::microseconds(1)))
{
    m_coldUntil = m_clock.now() + m_behaviour.coldTime;
    std::string port = endpoint.text();
    std::string threadCount = std::to_string(threads);
    const char* options[] = { "listening_ports", port.c_str(), "num_threads", threadCount.c_str(), "enable_keep_alive", "yes",
        "keep_alive_timeout_ms", "60000", "request_timeout_ms", "60000", "tcp_nodelay", "1", nullptr };
    mg_callbacks callbacks {};
    callbacks.init_connection = countConnection;
    callbacks.log_message = [](const mg_connection*, const char*) { return 1; };
    m_context = mg_start(&callbacks, this, options);
    if (!m_context)
        throw HttpServerFailure("cannot listen on " + port);
    mg_set_request_handler(m_context, "/v1/search", handleSearch, this);
    mg_set_request_handler(m_context, "/v1/cancel", handleCancel, this);
    mg_set_request_handler(m_context, "/v1/stats", handleStats, this);
    mg_set_request_handler(
        m_context, "/v1/health", [](mg_connection* connection, void*) {
        respond(connection, 200, "{\"state\":\"ok\"}");
        return handled; }, nullptr);
    mg_set_request_handler(m_context, "/control", handleControl, this);
}

StandinTarget::~StandinTarget()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_changed.notify_all();
    }
    mg_stop(m_context);
}

int StandinTarget::countConnection(const mg_connection* connection, void** data)
{
    auto* self = static_cast<StandinTarget*>(mg_get_user_data(mg_get_context(connection)));
    std::lock_guard lock(self->m_mutex);
    ++self->m_connections;
    *data = &unusedConnection;
    return 0;
}

void StandinTarget::change(const std::function<void(TargetBehaviour&)>& change)
{
    std::lock_guard lock(m_mutex);
    change(m_behaviour);
    m_changed.notify_all();
}

void StandinTarget::makeCold(Duration coldTime)
{
    std::lock_guard lock(m_mutex);
    m_coldUntil = m_clock.now() + coldTime;
    m_maxOutstandingCold = 0;
}

bool StandinTarget::consumeFault(unsigned& remaining)
{
    if (!remaining)
        return false;
    --remaining;
    return true;
}

Duration StandinTarget::serviceTime(bool isCold)
{
    Duration time = m_behaviour.serviceTime * (isCold ? coldFactor : 1);
    bool isStraggler = m_behaviour.stragglerEvery && m_requests % m_behaviour.stragglerEvery == 0;
    return isStraggler ? time * m_behaviour.stragglerFactor : time;
}

int StandinTarget::handleSearch(mg_connection* connection, void* self)
{
    static_cast<StandinTarget*>(self)->search(connection);
    return handled;
}

void StandinTarget::search(mg_connection* connection)
{
    std::string body = readBody(connection);
    json request = json::parse(body, nullptr, false);
    if (request.is_discarded())
        return respond(connection, 400, "{}");
    const std::string attempt = request.at("attempt");
    const std::string query = request.at("query");
    bool newConnection = mg_get_user_connection_data(connection) == &unusedConnection;
    mg_set_user_connection_data(connection, nullptr);
    std::unique_lock lock(m_mutex);
    ++m_requests;
    m_lastRequest = m_clock.now();
    auto refuse = [&](const char* reason) {
        lock.unlock();
        respond(connection, 503, json { { "attempt", attempt }, { "notRun", reason } }.dump());
    };
    if (m_behaviour.leaving)
        return refuse("leaving");
    if (!m_behaviour.snapshots.contains(request.at("snapshot")))
        return refuse("snapshot");
    if (m_outstanding >= m_behaviour.shedThreshold)
        return refuse("shed");
    Instant start = m_clock.now();
    Instant deadline = start + Duration(request.at("remainingUs").get<std::int64_t>());
    ++m_outstanding;
    m_cancelledByAttempt[attempt] = false;
    m_maxOutstanding = std::max(m_maxOutstanding, m_outstanding);
    bool isCold = cold(start);
    if (isCold)
        m_maxOutstandingCold = std::max(m_maxOutstandingCold, m_outstanding);
    if (m_runs.size() < maxCountedQueries || m_runs.contains(query))
        ++m_runs[query + "@" + std::to_string(request.at("begin").get<std::uint64_t>())];
    bool unanswered = consumeFault(m_behaviour.unansweredRequests);
    bool truncated = consumeFault(m_behaviour.truncatedReplies);
    bool mismatched = consumeFault(m_behaviour.mismatchedReplies);
    bool malformed = consumeFault(m_behaviour.malformedReplies);
    bool dropped = consumeFault(m_behaviour.droppedReplies);
    auto ended = [&] { return m_stopping || m_clock.now() >= deadline || m_cancelledByAttempt[attempt]; };
    while (m_running >= m_behaviour.slots && !ended())
        m_changed.wait_for(lock, std::chrono::milliseconds(5));
    ++m_running;
    Instant end = m_clock.now() + serviceTime(isCold) + (newConnection ? m_behaviour.connectTime : Duration(0));
    while (m_clock.now() < end && !ended())
        m_changed.wait_for(lock, std::min(end, deadline) - m_clock.now());
    --m_running;
    --m_outstanding;
    m_cancelledByAttempt.erase(attempt);
    m_changed.notify_all();
    while (unanswered && !m_stopping)
        m_changed.wait_for(lock, std::chrono::milliseconds(100));
    KeyRange requested(request.at("begin"), request.at("end"));
    KeyRange covered = requested.intersection({ m_behaviour.rangeBegin, m_behaviour.rangeEnd });
    json reply { { "attempt", mismatched ? "1-1" : attempt }, { "incarnation", m_incarnation }, { "snapshot", request.at("snapshot") },
        { "covered", json::array() }, { "hits", json::array() } };
    if (!covered.empty()) {
        reply["covered"].push_back({ covered.begin(), covered.end() });
        reply["hits"].push_back({ { "target", m_behaviour.name }, { "begin", covered.begin() }, { "snapshot", request.at("snapshot") } });
    }
    lock.unlock();
    if (unanswered || dropped)
        return mg_close_connection(connection);
    if (malformed)
        return respond(connection, 200, "this isn't JSON");
    std::string text = reply.dump();
    respond(connection, 200, truncated ? text.substr(0, text.size() / 2) : text, text.size());
    if (truncated)
        mg_disable_connection_keep_alive(connection);
}

int StandinTarget::handleCancel(mg_connection* connection, void* context)
{
    auto* self = static_cast<StandinTarget*>(context);
    json request = json::parse(readBody(connection), nullptr, false);
    if (!request.is_discarded() && request.contains("attempt")) {
        std::lock_guard lock(self->m_mutex);
        ++self->m_cancels;
        auto found = self->m_cancelledByAttempt.find(request.at("attempt").get<std::string>());
        if (found != self->m_cancelledByAttempt.end()) {
            found->second = true;
            self->m_changed.notify_all();
        }
    }
    respond(connection, 200, "{}");
    return handled;
}

int StandinTarget::handleStats(mg_connection* connection, void* self)
{
    respond(connection, 200, static_cast<StandinTarget*>(self)->statsJson());
    return handled;
}

int StandinTarget::handleControl(mg_connection* connection, void* context)
{
    auto* self = static_cast<StandinTarget*>(context);
    json request = json::parse(readBody(connection), nullptr, false);
    if (request.is_discarded()) {
        respond(connection, 400, "{}");
        return handled;
    }
    if (request.contains("coldMs"))
        self->makeCold(std::chrono::milliseconds(request.at("coldMs").get<int>()));
    self->change([&](TargetBehaviour& behaviour) {
        behaviour.serviceTime = Duration(request.value("serviceUs", static_cast<std::int64_t>(behaviour.serviceTime.count())));
        behaviour.stragglerEvery = request.value("stragglerEvery", behaviour.stragglerEvery);
        behaviour.unansweredRequests = request.value("silent", behaviour.unansweredRequests);
        behaviour.truncatedReplies = request.value("cut", behaviour.truncatedReplies);
        behaviour.mismatchedReplies = request.value("crossed", behaviour.mismatchedReplies);
        behaviour.malformedReplies = request.value("garbage", behaviour.malformedReplies);
        behaviour.droppedReplies = request.value("drop", behaviour.droppedReplies);
        behaviour.leaving = request.value("leaving", behaviour.leaving);
        behaviour.rangeBegin = request.value("holdsBegin", behaviour.rangeBegin);
        behaviour.rangeEnd = request.value("holdsEnd", behaviour.rangeEnd);
        if (request.contains("snapshots"))
            behaviour.snapshots = request.at("snapshots").get<std::set<std::uint64_t>>();
    });
    respond(connection, 200, "{}");
    return handled;
}

std::uint32_t StandinTarget::maxOutstanding() const
{
    std::lock_guard lock(m_mutex);
    return m_maxOutstanding;
}

std::uint32_t StandinTarget::maxOutstandingCold() const
{
    std::lock_guard lock(m_mutex);
    return m_maxOutstandingCold;
}

std::uint64_t StandinTarget::requests() const
{
    std::lock_guard lock(m_mutex);
    return m_requests;
}

Instant StandinTarget::lastRequest() const
{
    std::lock_guard lock(m_mutex);
    return m_lastRequest;
}

std::uint64_t StandinTarget::runs(const std::string& text) const
{
    std::lock_guard lock(m_mutex);
    std::uint64_t sum = 0;
    for (const auto& [query, count] : m_runs) {
        if (query.starts_with(text + "@"))
            sum += count;
    }
    return sum;
}

std::string StandinTarget::statsJson() const
{
    std::lock_guard lock(m_mutex);
    std::uint64_t maxRuns = 0;
    for (const auto& [query, count] : m_runs)
        maxRuns = std::max(maxRuns, count);
    return json { { "name", m_behaviour.name }, { "requests", m_requests }, { "slots", m_behaviour.slots }, { "maxAtWork", m_maxOutstanding },
        { "maxAtWorkCold", m_maxOutstandingCold }, { "connections", m_connections }, { "cancels", m_cancels }, { "mostRunsOfOneQuery", maxRuns } }
        .dump();
}

} // namespace pimentopoint::standins
