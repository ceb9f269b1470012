#include "Callers.h"

#include <Pimentopoint/Target>
#include <curl/curl.h>

namespace pimentopoint::bench {

namespace {

    constexpr long fetchTimeoutMilliseconds = 2000;
    constexpr long callerTimeoutMilliseconds = 10000;
    constexpr int pollMilliseconds = 100;

    std::size_t append(char* data, std::size_t size, std::size_t count, void* body)
    {
        static_cast<std::string*>(body)->append(data, size * count);
        return size * count;
    }

    curl_slist* jsonHeaders()
    {
        return curl_slist_append(nullptr, "Content-Type: application/json");
    }

    void prepare(CURL* easy, const std::string& url, long timeoutMilliseconds, std::string& body)
    {
        curl_easy_setopt(easy, CURLOPT_URL, url.c_str());
        curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
        curl_easy_setopt(easy, CURLOPT_NOPROXY, "*");
        curl_easy_setopt(easy, CURLOPT_TIMEOUT_MS, timeoutMilliseconds);
        curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, append);
        curl_easy_setopt(easy, CURLOPT_WRITEDATA, &body);
    }

    void prepareJson(CURL* easy, curl_slist* headers, const std::string& request)
    {
        curl_easy_setopt(easy, CURLOPT_HTTPHEADER, headers);
        curl_easy_setopt(easy, CURLOPT_COPYPOSTFIELDS, request.c_str());
    }

    QueryOutcome parseOutcome(const std::string& body)
    {
        if (body.starts_with("{\"status\":\"answer\""))
            return QueryOutcome::Complete;
        if (body.starts_with("{\"status\":\"partial\""))
            return QueryOutcome::Partial;
        if (body.starts_with("{\"status\":\"not-run\""))
            return QueryOutcome::Refused;
        return body.empty() ? QueryOutcome::NoReply : QueryOutcome::Unknown;
    }

    double parseCoverage(const std::string& body)
    {
        const std::string key = "\"fraction\":";
        std::size_t position = body.find(key);
        return position == std::string::npos ? 0 : std::stod(body.substr(position + key.size()));
    }

} // namespace

std::string fetch(const Endpoint& endpoint, const std::string& path)
{
    std::unique_ptr<CURL, decltype(&curl_easy_cleanup)> easy(curl_easy_init(), curl_easy_cleanup);
    std::string body;
    prepare(easy.get(), "http://" + endpoint.text() + path, fetchTimeoutMilliseconds, body);
    return curl_easy_perform(easy.get()) == CURLE_OK ? body : "";
}

FrontCaller::FrontCaller(const Endpoint& front, const std::string& searchFront)
    : m_easy(curl_easy_init())
    , m_headers(jsonHeaders())
    , m_url("http://" + front.text() + "/v1/search/" + searchFront)
{
}

FrontCaller::~FrontCaller()
{
    curl_easy_cleanup(m_easy);
    curl_slist_free_all(m_headers);
}

QueryResult FrontCaller::sendQuery(std::uint64_t number)
{
    std::string body;
    prepare(m_easy, m_url, callerTimeoutMilliseconds, body);
    prepareJson(m_easy, m_headers, "{\"query\":\"pan " + std::to_string(number) + "\"}");
    if (curl_easy_perform(m_easy) != CURLE_OK)
        return {};
    return { parseOutcome(body), parseCoverage(body) };
}

DirectCaller::DirectCaller(const Configuration& configuration, const ShardGroup& group, Duration deadline)
    : m_configuration(configuration)
    , m_group(group)
    , m_deadline(deadline)
    , m_multi(curl_multi_init())
    , m_headers(jsonHeaders())
{
    for (std::size_t i = 0; i < group.shards().size(); ++i)
        m_easies.push_back(curl_easy_init());
}

DirectCaller::~DirectCaller()
{
    for (CURL* easy : m_easies)
        curl_easy_cleanup(easy);
    curl_multi_cleanup(m_multi);
    curl_slist_free_all(m_headers);
}

QueryResult DirectCaller::sendQuery(std::uint64_t number)
{
    std::vector<std::string> bodies(m_easies.size());
    for (std::size_t i = 0; i < m_easies.size(); ++i)
        startSubQuery(i, number, bodies[i]);
    int running = 1;
    while (running) {
        curl_multi_perform(m_multi, &running);
        if (running)
            curl_multi_poll(m_multi, nullptr, 0, pollMilliseconds, nullptr);
    }
    double answered = 0;
    for (std::size_t i = 0; i < m_easies.size(); ++i) {
        answered += bodies[i].find("\"covered\":[[") != std::string::npos;
        curl_multi_remove_handle(m_multi, m_easies[i]);
    }
    double coverage = answered / static_cast<double>(m_easies.size());
    return { coverage < 1 ? QueryOutcome::Partial : QueryOutcome::Complete, coverage };
}

void DirectCaller::startSubQuery(std::size_t index, std::uint64_t number, std::string& body)
{
    constexpr unsigned shardBits = 16;
    const Shard& shard = m_group.shards()[index];
    const Target& target = *m_configuration.target(shard.replicas()[number % shard.replicas().size()]);
    Dispatch dispatch { AttemptId(Incarnation(1), number << shardBits | index), target.id(), target.endpoint(), shard.range(), m_group.snapshot(), m_deadline, m_deadline, "pan" };
    CURL* easy = m_easies[index];
    prepare(easy, "http://" + target.endpoint().text() + "/v1/search", static_cast<long>(m_deadline / std::chrono::milliseconds(1)), body);
    prepareJson(easy, m_headers, searchBody(dispatch));
    curl_multi_add_handle(m_multi, easy);
}

} // namespace pimentopoint::bench
