#pragma once

#include "Endpoint.h"

#include <atomic>
#include <functional>
#include <string>

struct mg_connection;
struct mg_context;

namespace pimentopoint {

/// A request that was read whole.
struct HttpRequest {
    std::string method;
    std::string path;
    std::string query; ///< Behind the question mark.
    std::string contentType;
    std::string body;
};

/// What goes back.
struct HttpResponse {
    std::uint32_t status = 200;
    std::string body;
    std::string contentType = "application/json";
};

/// \class HttpServer
/// \ingroup Core
/// \brief Serves HTTP by CivetWeb: one hook answers every request that was read whole.
/// \details A body that is longer than allowed, or shorter than announced, never reaches the hook.
class HttpServer {
public:
    using Handler = std::function<HttpResponse(const HttpRequest&)>;

    /// \throws HttpServerFailure if the address cannot be bound
    HttpServer(const Endpoint& endpoint, unsigned threads, std::size_t maxBodyBytes, Handler hook);
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    /// From now on every response asks its caller to close the connection.
    void beginDrain() { m_draining = true; }
    /// \returns whether no request is being read or answered
    bool idle() const { return m_requests == 0; }
    /// \returns the number of open connections
    int connections() const { return m_connections; }
    /// Closes everything; call when idle.
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
