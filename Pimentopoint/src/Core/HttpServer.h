#pragma once

#include "Endpoint.h"

#include <atomic>
#include <functional>
#include <string>

struct mg_connection;
struct mg_context;

namespace pimentopoint {

/// A request that has been read completely.
struct HttpRequest {
    std::string method;
    std::string path;
    std::string query; ///< Part of the URL after the question mark.
    std::string contentType;
    std::string body;
};

/// Response returned by the handler.
struct HttpResponse {
    std::uint32_t status = 200;
    std::string body;
    std::string contentType = "application/json";
};

/// \class HttpServer
/// \ingroup Core
/// \brief HTTP server based on CivetWeb that passes each complete request to one handler.
/// \details A request whose body exceeds the limit or is shorter than its Content-Length is rejected without calling the
/// handler. The handler runs on the worker threads, several requests at a time.
class HttpServer {
public:
    using Handler = std::function<HttpResponse(const HttpRequest&)>;

    /// \throws HttpServerFailure if the address cannot be bound
    HttpServer(const Endpoint& endpoint, unsigned threads, std::size_t maxBodyBytes, Handler handler);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// Makes every later response carry "Connection: close".
    void beginDrain() { m_draining = true; }
    /// \returns whether no request is being read or handled
    bool idle() const { return m_requests == 0; }
    /// \returns the number of open connections
    int connections() const { return m_connections; }
    /// Closes the listening socket and all connections. To be called when idle().
    void stop();

private:
    static int handle(mg_connection* connection, void* self);
    static int connectionOpened(const mg_connection* connection, void** data);
    static void connectionClosed(const mg_connection* connection);
    int serve(mg_connection* connection);
    void respond(mg_connection* connection, const HttpResponse& response, bool close);

    mg_context* m_context = nullptr;
    Endpoint m_endpoint;
    std::size_t m_maxBodyBytes;
    Handler m_handler;
    std::atomic<bool> m_draining { false };
    std::atomic<int> m_requests { 0 };
    std::atomic<int> m_connections { 0 };
};

} // namespace pimentopoint
