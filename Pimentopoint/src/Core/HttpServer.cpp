#include "HttpServer.h"

#include "Clock.h"
#include "HttpServerFailure.h"
#include "Log.h"

#include <algorithm>
#include <arpa/inet.h>
#include <civetweb.h>
#include <condition_variable>
#include <cstring>
#include <mutex>
#include <stop_token>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>

namespace pimentopoint {

namespace {

    constexpr const char* requestTimeoutMilliseconds = "5000";
    constexpr const char* keepAliveTimeoutMilliseconds = "2000";
    /// Interval between the connections that wake the accept thread during stop(); short compared with the time allowed to stop.
    constexpr Duration wakeInterval = std::chrono::milliseconds(20);

    /// Connects to \a endpoint and closes the connection; errors are ignored.
    void connectOnce(const Endpoint& endpoint)
    {
        int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
        if (socket < 0)
            return;
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port());
        inet_pton(AF_INET, endpoint.address().c_str(), &address.sin_addr);
        static_cast<void>(connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address));
        close(socket);
    }

    /// Counts a request as active from the end of its headers to the last byte of its response.
    class ActiveRequest {
    public:
        explicit ActiveRequest(std::atomic<int>& count)
            : m_count(count)
        {
            ++m_count;
        }
        ~ActiveRequest() { --m_count; }
        ActiveRequest(const ActiveRequest&) = delete;
        ActiveRequest& operator=(const ActiveRequest&) = delete;

    private:
        std::atomic<int>& m_count;
    };

    const char* reasonPhrase(std::uint32_t status)
    {
        constexpr std::uint32_t firstError = 400;
        return status < firstError ? "OK" : "Error";
    }

    std::string errorBody(const char* detail)
    {
        return std::string("{\"status\":\"not-run\",\"reason\":\"bad-request\",\"detail\":\"") + detail + "\"}";
    }

    /// \returns whether all \a size bytes of the body were received
    bool readBody(mg_connection* connection, std::size_t size, std::string& body)
    {
        body.resize(size);
        std::size_t offset = 0;
        while (offset < size) {
            int count = mg_read(connection, body.data() + offset, size - offset);
            if (count <= 0)
                return false;
            offset += static_cast<std::size_t>(count);
        }
        return true;
    }

} // namespace

HttpServer::HttpServer(const Endpoint& endpoint, unsigned threads, std::size_t maxBodyBytes, Handler handler)
    : m_endpoint(endpoint)
    , m_maxBodyBytes(maxBodyBytes)
    , m_handler(std::move(handler))
{
    std::string port = endpoint.text();
    std::string threadCount = std::to_string(threads);
    const char* options[] = { "listening_ports", port.c_str(), "num_threads", threadCount.c_str(), "enable_keep_alive", "yes",
        "request_timeout_ms", requestTimeoutMilliseconds, "keep_alive_timeout_ms", keepAliveTimeoutMilliseconds, "tcp_nodelay", "1",
        "listen_backlog", "512", "connection_queue", "256", nullptr };
    mg_callbacks callbacks {};
    callbacks.init_connection = connectionOpened;
    callbacks.connection_closed = connectionClosed;
    callbacks.log_message = [](const mg_connection*, const char*) { return 1; };
    m_context = mg_start(&callbacks, this, options);
    if (!m_context)
        throw HttpServerFailure("cannot listen on " + port);
    mg_set_request_handler(m_context, "**", handle, this);
}

HttpServer::~HttpServer()
{
    stop();
}

void HttpServer::stop()
{
    if (!m_context)
        return;
    // CivetWeb's accept thread checks for a stop request only every two seconds or when a connection arrives.
    std::jthread waker([this](const std::stop_token& token) {
        std::mutex mutex;
        std::condition_variable_any ended;
        std::unique_lock lock(mutex);
        while (!ended.wait_for(lock, token, wakeInterval, [&token] { return token.stop_requested(); }))
            connectOnce(m_endpoint);
    });
    mg_stop(m_context);
    m_context = nullptr;
}

int HttpServer::connectionOpened(const mg_connection* connection, void**)
{
    ++static_cast<HttpServer*>(mg_get_user_data(mg_get_context(connection)))->m_connections;
    return 0;
}

void HttpServer::connectionClosed(const mg_connection* connection)
{
    --static_cast<HttpServer*>(mg_get_user_data(mg_get_context(connection)))->m_connections;
}

int HttpServer::handle(mg_connection* connection, void* self)
{
    return static_cast<HttpServer*>(self)->serve(connection);
}

int HttpServer::serve(mg_connection* connection)
{
    ActiveRequest active(m_requests);
    const mg_request_info* info = mg_get_request_info(connection);
    HttpRequest request;
    request.method = info->request_method;
    request.path = info->local_uri ? info->local_uri : "";
    request.query = info->query_string ? info->query_string : "";
    const char* contentType = mg_get_header(connection, "Content-Type");
    request.contentType = contentType ? contentType : "";
    constexpr int statusHandled = 200;
    bool lengthMissing = info->content_length < 0;
    bool hasNoBody = lengthMissing && request.method == "GET";
    if (lengthMissing && !hasNoBody) {
        respond(connection, { 411, errorBody("Content-Length is missing") }, true);
        return statusHandled;
    }
    if (info->content_length > static_cast<long long>(m_maxBodyBytes)) {
        respond(connection, { 413, errorBody("the body is too large") }, true);
        return statusHandled;
    }
    if (!hasNoBody && !readBody(connection, static_cast<std::size_t>(info->content_length), request.body)) {
        respond(connection, { 400, errorBody("the body is shorter than its Content-Length") }, true);
        return statusHandled;
    }
    HttpResponse response;
    try {
        response = m_handler(request);
    } catch (const std::exception& failure) {
        Log::event(Severity::Error, "http-failure", { { "cause", failure.what() } });
        response = { 500, "{\"status\":\"unknown\",\"reason\":\"internal\"}" };
    }
    respond(connection, response, m_draining);
    return statusHandled;
}

void HttpServer::respond(mg_connection* connection, const HttpResponse& response, bool close)
{
    if (close)
        mg_disable_connection_keep_alive(connection);
    std::string head = "HTTP/1.1 " + std::to_string(response.status) + " " + reasonPhrase(response.status)
        + "\r\nContent-Type: " + response.contentType + "\r\nContent-Length: " + std::to_string(response.body.size())
        + "\r\nConnection: " + (close ? "close" : "keep-alive") + "\r\n\r\n";
    std::string message = head + response.body;
    mg_write(connection, message.data(), message.size());
}

} // namespace pimentopoint
