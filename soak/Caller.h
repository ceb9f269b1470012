/// \file
/// HTTP client of the soak. It runs on the thread of its io_context and depends on Core and Boost.Beast.
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

/// Result of one request as its caller sees it.
struct CallerObservation {
    std::string id;
    bool fanOut = false;
    unsigned status = 0; ///< 0 if the connection ended or the request timed out.
    std::string signatures; ///< Of the target; of the sub-requests, separated by commas, for a fan-out.
    std::size_t missingShards = 0;
    std::string body;
    Duration latency { 0 };
};

/// \class Caller
/// \brief Sends requests to one host, one at a time, over a persistent connection; reconnects after the host closes it.
class Caller : public std::enable_shared_from_this<Caller> {
public:
    using CompletedHook = std::function<void(CallerObservation)>;

    Caller(boost::asio::io_context& context, Endpoint host);

    bool busy() const { return m_completed != nullptr; }
    /// Sends a GET request with the deadline \a timeout and calls \a completed exactly once, at the latest shortly after \a timeout.
    void sendRequest(const std::string& path, const std::string& id, bool fanOut, Duration timeout, CompletedHook completed);

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
