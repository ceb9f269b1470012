#pragma once

#include "../Core/Clock.h"
#include "../Serve/RoutePolicy.h"
#include "../Serve/TargetReply.h"
#include "HeaderDialect.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace pimentopoint {

/// \class CallerLink
/// \ingroup Net
/// \brief One connection of a caller: reads requests, one at a time, and writes their answers in order.
/// \details Keeps reading while a request is at work, so that a caller who leaves is noticed.
class CallerLink : public std::enable_shared_from_this<CallerLink> {
public:
    struct Hooks {
        /// A request was read whole. \returns its number
        std::function<CallId(const std::shared_ptr<CallerLink>&, std::shared_ptr<const CallerRequest>)> request;
        std::function<void(CallId)> left; ///< The caller of a request at work closed its connection.
        std::function<void(const std::shared_ptr<CallerLink>&)> closed;
        std::function<CallerLimits()> limits;
        std::function<bool()> draining; ///< Whether answers ask the caller to close the connection.
        bool fromHosts = false; ///< Whether the callers are hosts whose fan-outs are run here.
    };

    CallerLink(boost::asio::ip::tcp::socket socket, const Clock& clock, const HeaderDialect& dialect, Hooks hooks);

    void start();
    void answer(const CallerAnswer& answer);
    /// Closes the connection if it was idle or stuck for too long.
    void check(Instant now);
    /// Closes the connection if no request is being read or answered; \returns whether it did
    bool closeIfIdle();
    bool atWork() const { return m_call.has_value() || m_writing; }
    void close();

private:
    using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

    void read();
    void received(const boost::system::error_code& error);
    void ended();
    void advance();
    void renewParser();
    void dispatch();
    /// \returns whether \a message says what is needed to run it for another host
    bool readDelegation(const boost::beast::http::fields& message, CallerRequest& request) const;
    /// Tells the other host that its request has begun.
    void acknowledge();
    void reject(unsigned status, const char* reason);
    void write();
    void written(const boost::system::error_code& error);
    void beginLinger();

    boost::asio::ip::tcp::socket m_socket;
    const Clock& m_clock;
    const HeaderDialect& m_dialect;
    Hooks m_hooks;
    std::string m_in;
    std::optional<Parser> m_parser;
    std::string m_out;
    std::optional<CallId> m_call;
    bool m_headRequest = false;
    bool m_keepAlive = true;
    bool m_reading = false;
    bool m_writing = false;
    bool m_lingering = false;
    bool m_closed = false;
    bool m_continueSent = false;
    Instant m_activeAt; ///< Of the latest byte read or written.
    Instant m_requestReadAt {};
    Instant m_requestSince {}; ///< Of the first byte of the request being read.
};

} // namespace pimentopoint
