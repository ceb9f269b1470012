#include "CallerConnection.h"

#include "../Core/Log.h"
#include "HandlerGuard.h"
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

    /// Maximum number of bytes read ahead of the request being run; beyond it, reading stops until that request is answered.
    constexpr std::size_t maxReadAhead = std::size_t(64) * 1024;
    /// Buffers of larger answers are freed once they are written.
    constexpr std::size_t maxRetainedOutput = std::size_t(64) * 1024;
    /// A caller that accepts no byte of its answer for this long is assumed to be disconnected; covers several round trips and retransmissions of a lost packet.
    constexpr Duration writeTimeout = std::chrono::seconds(10);
    /// Time for which a connection is read after its last answer, so that a reset does not discard the answer.
    constexpr Duration lingerTime = std::chrono::seconds(1);
    /// A connection is closed if sent bytes stay unacknowledged for this long.
    constexpr Duration acknowledgementTimeout = std::chrono::seconds(10);
    /// Time for which a caller waits if it states none: the common timeout of HTTP clients.
    constexpr Duration defaultWait = std::chrono::seconds(30);
    constexpr unsigned badRequest = 400;
    constexpr unsigned requestTimeout = 408;
    constexpr unsigned bodyTooLarge = 413;
    constexpr unsigned headerTooLarge = 431;

    std::string text(boost::beast::string_view value)
    {
        return std::string(value.data(), value.size());
    }

    Duration parseWait(const std::string& value)
    {
        double milliseconds = 0;
        auto [end, failed] = std::from_chars(value.data(), value.data() + value.size(), milliseconds);
        constexpr double maxMilliseconds = 1e9;
        // Written so that it holds for no value that is not a number.
        bool valid = failed == std::errc() && milliseconds >= 0 && milliseconds <= maxMilliseconds;
        if (!valid)
            return defaultWait;
        constexpr double microsecondsPerMillisecond = 1000;
        return Duration(static_cast<Duration::rep>(milliseconds * microsecondsPerMillisecond));
    }

} // namespace

CallerConnection::CallerConnection(asio::ip::tcp::socket socket, const Clock& clock, const HeaderNames& headerNames, Hooks hooks)
    : m_socket(std::move(socket))
    , m_clock(clock)
    , m_headerNames(headerNames)
    , m_hooks(std::move(hooks))
    , m_lastActivityAt(clock.now())
{
    if (m_hooks.answerMemory)
        m_charge.emplace(*m_hooks.answerMemory, [this] { releaseAnswer(); });
}

void CallerConnection::start()
{
    boost::system::error_code ignored;
    m_socket.non_blocking(true, ignored);
    setUpSocket(m_socket, acknowledgementTimeout, true);
    read();
}

void CallerConnection::read()
{
    if (m_reading || m_closed || m_input.size() > maxReadAhead)
        return;
    m_reading = true;
    m_socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code& error) {
        self->m_reading = false;
        if (!self->m_closed)
            self->guard([&] { self->handleReadable(error); });
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
        std::size_t consumed = m_parser->put(asio::buffer(m_input), error);
        m_input.erase(0, consumed);
        if (error && error != http::error::need_more) {
            unsigned status = error == http::error::header_limit ? headerTooLarge : error == http::error::body_limit ? bodyTooLarge
                                                                                                                     : badRequest;
            reject(status, "the request must be valid HTTP within the size limits");
            return;
        }
        if (m_parser->is_done()) {
            dispatch();
            continue;
        }
        if (m_parser->is_header_done() && !m_continueSent && !m_parser->get()[http::field::expect].empty()) {
            m_continueSent = true;
            // The caller waits for these few bytes, which fit: the socket's send buffer is empty here.
            boost::system::error_code ignored;
            asio::write(m_socket, asio::buffer(std::string_view("HTTP/1.1 100 Continue\r\n\r\n")), ignored);
        }
        if (error || !consumed)
            return;
    }
}

bool CallerConnection::parseDelegation(const http::fields& message, CallerRequest& request) const
{
    auto version = parseNumber(headerValue(message, host_headers::version));
    auto elapsed = parseMicroseconds(headerValue(message, host_headers::spent));
    if (!version || !elapsed)
        return false;
    auto shards = parseNumbers(headerValue(message, host_headers::shards));
    if (!shards)
        return false;
    request.delegation = Delegation { ConfigurationVersion(*version), *elapsed, std::move(*shards) };
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
    request->timeout = m_headerNames.deadline.empty() ? defaultWait : parseWait(text(message[m_headerNames.deadline]));
    request->arrivedAt = m_clock.now();
    request->headers = endToEndHeaders(message, { m_headerNames.deadline, m_headerNames.targetName, host_headers::version, host_headers::spent, host_headers::shards });
    m_requestReceivedAt = request->arrivedAt;
    bool validDelegation = !m_hooks.acceptsDelegations || parseDelegation(message, *request);
    m_keepAlive = message.keep_alive();
    m_headRequest = request->method == "HEAD";
    request->body = std::move(m_parser->get().body());
    m_parser.reset();
    bool hasId = m_headerNames.requestId.empty() || !request->id.empty();
    if (!hasId || request->requestTarget.empty() || request->requestTarget.front() != '/') {
        reject(badRequest, "the request must have an id and an absolute path");
        return;
    }
    if (!validDelegation) {
        reject(badRequest, "a delegated request must have a valid version, time spent and list of shards");
        return;
    }
    // The hook may answer the request before it returns.
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
    // If these few bytes don't fit into the send buffer, they are dropped; the delegating host then assumes that this host is overloaded, which is right.
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
    // Nearly every answer fits into the socket's send buffer. The completion is posted, so that answer() never parses the next request.
    boost::system::error_code error;
    std::size_t size = m_socket.write_some(asio::buffer(m_output), error);
    if (error == asio::error::would_block)
        error = {};
    if (error || size == m_output.size()) {
        asio::post(m_socket.get_executor(), [self = shared_from_this(), error] { self->guard([&] { self->handleWritten(error); }); });
        return;
    }
    if (m_charge && !m_charge->set(m_output.capacity())) {
        releaseAnswer();
        return;
    }
    asio::async_write(m_socket, asio::buffer(m_output) + size, [self = shared_from_this()](const boost::system::error_code& failed, std::size_t) { self->guard([&] { self->handleWritten(failed); }); });
}

void CallerConnection::releaseAnswer()
{
    Log::event(Severity::Warning, "answer-dropped", { { "bytes", std::uint64_t(m_output.size()) }, { "cause", "the answers that callers have not accepted need more memory than they may use, and this one needs the most" } });
    close();
}

void CallerConnection::handleWritten(const boost::system::error_code& error)
{
    m_writing = false;
    if (m_charge)
        m_charge->clear();
    if (m_output.capacity() > maxRetainedOutput)
        m_output = {};
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
            reject(requestTimeout, "the header must arrive within the header timeout");
    } else if (now - m_lastActivityAt > limits.idleTimeout) {
        close();
    }
}

void CallerConnection::guard(const std::function<void()>& handler)
{
    runGuarded(handler, [this](const std::exception& error) {
        logHandlerException("caller connection", "", error);
        auto self = shared_from_this();
        std::optional<CallId> call = std::exchange(m_call, std::nullopt);
        close();
        if (call)
            m_hooks.disconnected(*call);
    });
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
