#include "StandinPlatform.h"

#include <charconv>

namespace pimentopoint::standins {

namespace {

    std::uint64_t numericParameter(const std::string& query, const std::string& name)
    {
        std::size_t position = query.find(name + "=");
        if (position == std::string::npos)
            return 0;
        std::uint64_t value = 0;
        const char* begin = query.data() + position + name.size() + 1;
        std::from_chars(begin, query.data() + query.size(), value);
        return value;
    }

} // namespace

StandinPlatform::StandinPlatform(const Endpoint& endpoint, unsigned threads)
    : m_http(std::make_unique<HttpServer>(endpoint, threads, maxDocumentBytes + 1, [this](const HttpRequest& request) { return handleRequest(request); }))
{
}

StandinPlatform::~StandinPlatform()
{
    {
        std::lock_guard lock(m_mutex);
        m_stopping = true;
        m_changed.notify_all();
    }
    m_http->stop();
}

void StandinPlatform::publish(const std::string& name, std::uint64_t version, const std::string& text)
{
    std::lock_guard lock(m_mutex);
    document(name) = { version, text };
    m_changed.notify_all();
}

void StandinPlatform::setOutage(bool outage)
{
    std::lock_guard lock(m_mutex);
    m_outage = outage;
    m_changed.notify_all();
}

std::uint64_t StandinPlatform::reads() const
{
    std::lock_guard lock(m_mutex);
    return m_reads;
}

HttpResponse StandinPlatform::read(const std::string& name, const HttpRequest& request)
{
    std::uint64_t aboveVersion = numericParameter(request.query, "above");
    auto end = std::chrono::steady_clock::now() + std::chrono::milliseconds(numericParameter(request.query, "wait"));
    std::unique_lock lock(m_mutex);
    ++m_reads;
    m_changed.wait_until(lock, end, [&] { return m_outage || m_stopping || document(name).version > aboveVersion; });
    if (m_outage)
        return { 503, "{}" };
    const Document& found = document(name);
    if (found.version > aboveVersion)
        return { 200, found.text, "application/yaml" };
    return { 304, "" };
}

HttpResponse StandinPlatform::handleRequest(const HttpRequest& request)
{
    std::string name = request.path == "/v1/hosts" ? "hosts" : "configuration";
    if (request.path == "/control/outage") {
        setOutage(numericParameter(request.query, "on") == 1);
        return { 200, "{}" };
    }
    if (request.path == "/v1/stats")
        return { 200, "{\"reads\":" + std::to_string(reads()) + "}" };
    if (request.path != "/v1/hosts" && request.path != "/v1/configuration")
        return { 404, "{}" };
    if (request.method == "PUT") {
        publish(name, numericParameter(request.query, "version"), request.body);
        return { 200, "{}" };
    }
    return read(name, request);
}

} // namespace pimentopoint::standins
