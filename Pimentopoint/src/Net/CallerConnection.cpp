#include "CallerConnection.h"

#include "HostHeaders.h"
#include "HttpText.h"
#include "ReadAvailable.h"
#include "SocketOptions.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <cstdio>

namespace pimentopoint {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

    /// Bytes read ahead of the request at work; beyond them the caller waits.
    constexpr std::size_t mostReadAhead = std::size_t(64) * 1024;
    /// A caller that takes no byte of its answer for this long is gone; several round trips and repeats of a lost packet.
    constexpr Duration writeTimeout = std::chrono::seconds(10);
    /// For which a connection is read after its last answer, so that the answer isn't destroyed by a reset.
    constexpr Duration lingerTime = std::chrono::seconds(1);
    constexpr Duration silence = std::chrono::seconds(10);
    /// Patience of callers that state none: the common timeout of HTTP clients.
    constexpr Duration defaultPatience = std::chrono::seconds(30);
    constexpr unsigned badRequest = 400;
    constexpr unsigned requestTimeout = 408;
    constexpr unsigned bodyTooLarge = 413;
    constexpr unsigned headerTooLarge = 431;

    std::string text(boost::beast::string_view value)
    {
        return std::string(value.data(), value.size());
    }

    Duration patienceOf(const std::string& value)
    {
        double milliseconds = 0;
        auto [end, failed] = std::from_chars(value.data(), value.data() + value.size(), milliseconds);
        constexpr double most = 1e9;
        if (failed != std::errc() || milliseconds < 0 || milliseconds > most)
            return defaultPatience;
        constexpr double microsecondsPerMillisecond = 1000;
        return Duration(static_cast<Duration::rep>(milliseconds * microsecondsPerMillisecond));
    }

} // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket socket, const Clock& clock, const HeaderNames& dialect, Hooks hooks)
    : m_socket(std::move(socket))
    , m_clock(clock)
    , m_headerNames(dialect)
    , m_hooks(std::move(hooks))
    , m_lastActivityAt(clock.now())
{
}

void CallerConnection::start()
{
    boost::system::error_code ignored;
    m_socket.non_blocking(true, ignored);
    setUpSocket(m_socket, silence, true);
    read();
}

void CallerConnection::read()
{
    if (m_reading || m_closed || m_input.size() > mostReadAhead)
        return;
    m_reading = true;
    m_socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code& error) {
        self->m_reading = false;
        if (!self->m_closed)
            self->handleReadable(error);
    });
}

void CallerConnection::handleReadable(const boost::system::error_code& waitError)
{
    boost::system::error_code error = waitError;
    std::string_view bytes = readAvailable(m_socket, error);
    if (error == asio::error::would_block) {
        read();
        return;
    }
    if (error) {
        handleDisconnect();
        return;
    }
    m_lastActivityAt = m_clock.now();
    if (!m_lingering) {
        m_input.append(bytes);
        parseInput();
    }
    read();
}

void CallerConnection::handleDisconnect()
{
    if (m_call) {
        CallId call = *m_call;
        m_call.reset();
        m_hooks.disconnected(call);
    }
    close();
}

void CallerConnection::resetParser()
{
    CallerLimits limits = m_hooks.limits();
    m_parser.emplace();
    m_parser->eager(true);
    m_parser->header_limit(static_cast<std::uint32_t>(limits.headerBytes));
    m_parser->body_limit(limits.bodyBytes);
    m_requestStartedAt = m_clock.now();
    m_continueSent = false;
}

void CallerConnection::parseInput()
{
    while (!m_call && !m_writing && !m_lingering && !m_input.empty()) {
        if (!m_parser)
            resetParser();
        boost::system::error_code error;
        std::size_t used = m_parser->put(asio::buffer(m_input), error);
        m_input.erase(0, used);
        if (error && error != http::error::need_more) {
            unsigned status = error == http::error::header_limit ? headerTooLarge : error == http::error::body_limit ? bodyTooLarge
                                                                                                                     : badRequest;
            reject(status, "the request can't be read");
            return;
        }
        if (m_parser->is_done()) {
            dispatch();
            continue;
        }
        if (m_parser->is_header_done() && !m_continueSent && !m_parser->get()[http::field::expect].empty()) {
            m_continueSent = true;
            // The caller waits for these few bytes; the socket's buffer is empty here.
            boost::system::error_code ignored;
            asio::write(m_socket, asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")), ignored);
        }
        if (error || !used)
            return;
    }
}

bool CallerConnection::parseDelegation(const http::fields& message, CallerRequest& request) const
{
    auto version = parseNumber(headerValue(message, host_headers::version));
    auto spent = parseNumber(headerValue(message, host_headers::spent));
    if (!version || !spent)
        return false;
    auto shards = parseNumbers(headerValue(message, host_headers::shards));
    if (!shards)
        return false;
    request.delegation = Delegation { ConfigurationVersion(*version), Duration(static_cast<Duration::rep>(*spent)), std::move(*shards) };
    return true;
}

void CallerConnection::dispatch()
{
    const auto& message = m_parser->get();
    auto request = std::make_shared<CallerRequest>();
    request->id = m_headerNames.requestId.empty() ? std::string() : text(message[m_headerNames.requestId]);
    request->method = text(message.method_string());
    request->requestTarget = text(message.target());
    request->host = text(message[http::field::host]);
    request->timeout = m_headerNames.deadline.empty() ? defaultPatience : patienceOf(text(message[m_headerNames.deadline]));
    request->arrivedAt = m_clock.now();
    request->headers = endToEndHeaders(message, { m_headerNames.deadline, m_headerNames.targetName, host_headers::version, host_headers::spent, host_headers::shards });
    m_requestReceivedAt = request->arrivedAt;
    bool complete = !m_hooks.acceptsDelegations || parseDelegation(message, *request);
    m_keepAlive = message.keep_alive();
    m_headRequest = request->method == "HEAD";
    request->body = std::move(m_parser->get().body());
    m_parser.reset();
    bool named = m_headerNames.requestId.empty() || !request->id.empty();
    if (!named || request->requestTarget.empty() || request->requestTarget.front() != '/') {
        reject(badRequest, "the request has no id or no path");
        return;
    }
    if (!complete) {
        reject(badRequest, "a request of another host lacks a version or a time");
        return;
    }
    // The answer may come before the hook returns.
    m_call = CallId(0);
    CallId call = m_hooks.request(shared_from_this(), std::move(request));
    if (!m_call)
        return;
    m_call = call;
    if (m_hooks.acceptsDelegations)
        acknowledge();
}

void CallerConnection::acknowledge()
{
    // A few bytes; where they do not fit, the other host takes this one for busy, rightly.
    boost::system::error_code ignored;
    m_socket.write_some(asio::buffer(std::string_view("HTTP/1.1 102 Processing\r\n\r\n")), ignored);
}

void CallerConnection::reject(unsigned status, const char* reason)
{
    m_keepAlive = false;
    CallerAnswer rejection;
    rejection.status = status;
    rejection.reason = reason;
    answer(rejection);
}

void CallerConnection::answer(const CallerAnswer& answer)
{
    m_call.reset();
    if (m_closed)
        return;
    m_keepAlive = m_keepAlive && !m_hooks.draining();
    m_output.clear();
    m_output.append("HTTP/1.1 ").append(std::to_string(answer.status)).append(" ").append(reasonPhrase(answer.status)).append("\r\n");
    for (const auto& [name, value] : answer.headers)
        appendHeader(m_output, name, value);
    if (answer.isFanOut) {
        appendHeader(m_output, m_headerNames.subRequestSignatures, answer.subRequestSignatures);
        appendHeader(m_output, m_headerNames.missingShards, std::to_string(answer.missingShards));
    }
    if (m_hooks.acceptsDelegations)
        appendHeader(m_output, host_headers::took, std::to_string((m_clock.now() - m_requestReceivedAt).count()));
    if (answer.retryAfter > Duration(0)) {
        char seconds[32];
        std::snprintf(seconds, sizeof seconds, "%.3f", std::chrono::duration<double>(answer.retryAfter).count());
        appendHeader(m_output, "Retry-After", seconds);
    }
    constexpr unsigned noContent = 204;
    constexpr unsigned notModified = 304;
    if (answer.status != noContent && answer.status != notModified && !(m_headRequest && answer.body.empty()))
        appendHeader(m_output, "Content-Length", std::to_string(answer.body.size()));
    if (!m_keepAlive)
        appendHeader(m_output, "Connection", "close");
    m_output.append("\r\n");
    if (!m_headRequest)
        m_output.append(answer.body);
    write();
}

void CallerConnection::write()
{
    m_writing = true;
    m_lastActivityAt = m_clock.now();
    // Nearly every answer fits the socket's buffer; completes in a later turn, so that answer() never reads the next request.
    boost::system::error_code error;
    std::size_t size = m_socket.write_some(asio::buffer(m_output), error);
    if (error == asio::error::would_block)
        error = {};
    if (error || size == m_output.size()) {
        asio::post(m_socket.get_executor(), [self = shared_from_this(), error] { self->handleWritten(error); });
        return;
    }
    asio::async_write(m_socket, asio::buffer(m_output) + size, [self = shared_from_this()](const boost::system::error_code& failed, std::size_t) { self->handleWritten(failed); });
}

void CallerConnection::handleWritten(const boost::system::error_code& error)
{
    m_writing = false;
    if (m_closed)
        return;
    if (error) {
        close();
        return;
    }
    m_lastActivityAt = m_clock.now();
    if (!m_keepAlive) {
        beginLinger();
        return;
    }
    parseInput();
    read();
}

void CallerConnection::beginLinger()
{
    boost::system::error_code ignored;
    m_lingering = true;
    m_input.clear();
    m_input.shrink_to_fit();
    m_socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    read();
}

void CallerConnection::enforceTimeouts(Instant now)
{
    if (m_closed || m_call)
        return;
    CallerLimits limits = m_hooks.limits();
    if (m_lingering) {
        if (now - m_lastActivityAt > lingerTime)
            close();
    } else if (m_writing) {
        if (now - m_lastActivityAt > writeTimeout)
            close();
    } else if (m_parser && !m_parser->is_header_done()) {
        if (now - m_requestStartedAt > limits.headerTimeout)
            reject(requestTimeout, "the header took too long");
    } else if (now - m_lastActivityAt > limits.idleTimeout) {
        close();
    }
}

bool CallerConnection::closeIfIdle()
{
    if (m_closed || m_call || m_writing || m_lingering || m_parser || !m_input.empty())
        return false;
    close();
    return true;
}

void CallerConnection::close()
{
    if (m_closed)
        return;
    m_closed = true;
    boost::system::error_code ignored;
    m_socket.close(ignored);
    m_hooks.closed(shared_from_this());
}

} // namespace pimentopoint
