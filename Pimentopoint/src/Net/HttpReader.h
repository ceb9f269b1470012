#pragma once

#include "../Core/Clock.h"
#include "../Core/Endpoint.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pimentopoint {

/// \class HttpReader
/// \ingroup Net
/// \brief Reads by GET from one server, one read at a time, over a connection that is kept while nothing is wrong with it.
class HttpReader : public std::enable_shared_from_this<HttpReader> {
public:
    struct Result {
        unsigned status = 0; ///< 0: no answer.
        std::string body;
        std::string cause; ///< Why there is no answer.
    };
    using Callback = std::function<void(Result)>;

    HttpReader(boost::asio::io_context& context, Endpoint server);

    /// Sets further header lines, and the host that is asked for instead of the server's address.
    void setHeaders(std::string lines, std::string host);
    /// Reads \a target; \a done is called once, within about \a timeout.
    void get(const std::string& target, Duration timeout, Callback done);
    /// Ends the read in progress without calling back.
    void close();

private:
    using Parser = boost::beast::http::response_parser<boost::beast::http::string_body>;

    void connect();
    void write();
    void read();
    void handleRead(const boost::system::error_code& error, std::size_t size);
    void finish(Result result, bool reusable);
    void fail(std::string cause);

    boost::asio::io_context& m_context;
    Endpoint m_server;
    std::optional<boost::asio::ip::tcp::socket> m_socket;
    boost::asio::steady_timer m_timer;
    std::uint64_t m_generation = 0; ///< Of reads, so that what an earlier one left behind is not taken for the present one.
    std::string m_headers;
    std::string m_host;
    std::string m_request;
    std::string m_chunk;
    std::string m_input;
    std::optional<Parser> m_parser;
    Callback m_callback;
};

} // namespace pimentopoint
