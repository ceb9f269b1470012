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
struct CallerObservation {
    std::string id;
    bool fanOut = false;
    unsigned status = 0; ///< 0: the connection ended, or the caller gave up.
    std::string signatures; ///< Of the target, or of the parts.
    std::size_t missingShards = 0;
    std::string body;
    Duration latency { 0 };
};

/// \class Caller
/// \brief A client that asks one host over a connection that it keeps until the host closes it or dies.
class Caller : public std::enable_shared_from_this<Caller> {
public:
    using CompletedHook = std::function<void(CallerObservation)>;

    Caller(boost::asio::io_context& context, Endpoint host);

    bool busy() const { return m_completed != nullptr; }
    /// Asks and calls \a done once, within \a patience and a little.
    void sendRequest(const std::string& path, const std::string& id, bool fanOut, Duration patience, CompletedHook done);

private:
    void connect();
    void write();
    void read();
    void complete(bool answered);

    boost::asio::ip::tcp::socket m_socket;
    boost::asio::steady_timer m_timer;
    Endpoint m_host;
    bool m_connected = false;
    std::uint64_t m_requestNumber = 0;
    CallerObservation m_observation;
    std::chrono::steady_clock::time_point m_sentAt;
    std::string m_request;
    CompletedHook m_completed;
    boost::beast::flat_buffer m_buffer;
    std::optional<boost::beast::http::response_parser<boost::beast::http::string_body>> m_parser;
};

} // namespace pimentopoint
