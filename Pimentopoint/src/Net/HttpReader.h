#pragma once

#include "../Core/Clock.h"
#include "../Core/Endpoint.h"
#include "ReplyParser.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pimentopoint {

/// \class HttpReader
/// \ingroup Net
/// \brief Sends GET requests to one server, one at a time, over a connection that is reused until a request fails.
class HttpReader : public std::enable_shared_from_this<HttpReader> {
public:
    struct Result {
        unsigned status = 0; ///< HTTP status code; 0 if there is no reply.
        boost::beast::http::fields headers;
        std::string body;
        std::string cause; ///< Why there is no reply.
    };
    using Callback = std::function<void(Result)>;

    HttpReader(boost::asio::io_context& context, Endpoint server);

    /// Sets additional header lines, and the value of the Host header that replaces the server's address.
    void setHeaders(std::string lines, std::string host);
    /// Requests \a target; \a callback is called once, within about \a timeout, unless close() is called first.
    void get(const std::string& target, Duration timeout, Callback callback);
    /// Cancels the request in progress without calling back.
    void close();

private:
    void connect();
    void write();
    void read();
    void handleRead(const boost::system::error_code& error, std::size_t size);
    void finish(Result result, bool reusable);
    void fail(std::string cause);
    /// Runs \a handler; an exception that leaves it, for example from the callback, ends the connection only.
    void guard(const std::function<void()>& handler);

    boost::asio::io_context& m_context;
    Endpoint m_server;
    std::optional<boost::asio::ip::tcp::socket> m_socket;
    boost::asio::steady_timer m_timer;
    std::uint64_t m_generation = 0; ///< Changes with each request and its end, so that handlers of earlier requests are ignored.
    std::string m_headers;
    std::string m_host;
    std::string m_request;
    std::string m_chunk;
    std::optional<ReplyParser> m_parser;
    Callback m_callback;
};

} // namespace pimentopoint
