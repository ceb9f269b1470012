#pragma once

#include <Pimentopoint/Core>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pimentopoint {

/// What a caller of the soak saw of one request.
struct CallerSight {
    std::string id;
    bool fanOut = false;
    unsigned status = 0; ///< 0: the connection ended, or the caller gave up.
    std::string stamps; ///< Of the target, or of the parts.
    std::size_t missing = 0;
    std::string body;
    Duration took { 0 };
};

/// \class Caller
/// \brief A client that asks one host over a connection that it keeps until the host closes it or dies.
class Caller : public std::enable_shared_from_this<Caller> {
public:
    using Done = std::function<void(CallerSight)>;

    Caller(boost::asio::io_context& context, Endpoint host);

    bool busy() const { return m_done != nullptr; }
    /// Asks and calls \a done once, within \a patience and a little.
    void ask(const std::string& path, const std::string& id, bool fanOut, Duration patience, Done done);

private:
    void connect();
    void write();
    void read();
    void finish(bool answered);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    Endpoint m_host;
    bool m_connected = false;
    std::uint64_t m_turn = 0;
    CallerSight m_sight;
    std::chrono::steady_clock::time_point m_askedAt;
    std::string m_request;
    Done m_done;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
};

} // namespace pimentopoint
