#include "TargetConnection.h"

#include "HandlerGuard.h"
#include "HostHeaders.h"
#include "HttpText.h"
#include "ReadAvailable.h"
#include "SocketOptions.h"

#include <algorithm>
#include <boost/asio/write.hpp>
#include <charconv>

namespace pimentopoint {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

    /// A running target accepts within a round trip plus its own time to set up a connection; a lost first packet is retransmitted only after a second.
    constexpr Duration connectTimeout = std::chrono::milliseconds(400);
    /// A connection is closed if sent bytes stay unacknowledged for this long.
    constexpr Duration acknowledgementTimeout = std::chrono::seconds(2);
    /// Time for which an idle connection is reused if the target does not state its timeout; HTTP servers commonly keep connections for five seconds or more.
    constexpr Duration defaultKeepAlive = std::chrono::seconds(4);
    /// Fraction of the stated timeout that is used; the rest covers the network delay and deviations of the target's clock.
    constexpr double keepAliveFraction = 0.8;
    /// Longer timeouts that targets state are not relied on.
    constexpr long maxKeepAliveSeconds = 3600;
    /// Replies are records or documents of a few kilobytes; a body above this limit is not a valid reply.
    constexpr std::uint64_t maxBodyBytes = std::uint64_t(8) * 1024 * 1024;
    constexpr std::uint32_t maxHeaderBytes = std::uint32_t(32) * 1024;
    /// Status with which a target refuses a request that is meant for another target.
    constexpr unsigned misdirected = 421;
    constexpr unsigned unavailable = 503;
    constexpr const char* releasedCause = "the replies in progress need more memory than they may use, and this one needs the most";

    bool hasHeader(const http::fields& fields, const std::string& name)
    {
        return !name.empty() && fields.find(name) != fields.end();
    }

} // namespace

TargetConnection::TargetConnection(asio::io_context& context, const Clock& clock, const HeaderNames& headerNames, MemoryBudget& memory, Endpoint endpoint, Hooks hooks)
    : m_socket(context)
    , m_timer(context)
    , m_clock(clock)
    , m_headerNames(headerNames)
    , m_endpoint(std::move(endpoint))
    , m_hooks(std::move(hooks))
    , m_charge(memory, [this] { releaseReply(); })
{
}

void TargetConnection::open(const TargetName& target)
{
    m_target = target;
    connect();
}

void TargetConnection::start(const CallActions::Attempt& attempt)
{
    m_attempt = attempt;
    m_target = attempt.target;
    m_requestWritten = false;
    m_anyBytesSent = false;
    m_parser.emplace(ReplyParser::Limits { maxHeaderBytes, maxBodyBytes }, m_attempt->request->method != "HEAD");
    if (m_connected)
        write();
    else
        connect();
}

void TargetConnection::connect()
{
    asio::ip::tcp::endpoint endpoint(asio::ip::make_address_v4(m_endpoint.address()), m_endpoint.port());
    boost::system::error_code error;
    m_socket.open(endpoint.protocol(), error);
    if (error) {
        // No file descriptor is available. The failure is posted, so that start() never calls a hook.
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->guard([&self] { self->failConnect("opening a socket failed"); }); });
        return;
    }
    setUpSocket(m_socket, acknowledgementTimeout, false);
    m_timer.expires_after(connectTimeout);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& cancelled) {
        if (!cancelled && !self->m_connected)
            self->guard([&self] { self->failConnect("the connection was not accepted within the connect timeout"); });
    });
    m_socket.async_connect(endpoint, [self = shared_from_this()](const boost::system::error_code& failed) {
        self->m_timer.cancel();
        if (!self->m_closed)
            self->guard([&] { self->handleConnected(failed); });
    });
}

void TargetConnection::handleConnected(const boost::system::error_code& error)
{
    if (error) {
        failConnect("connecting to the target failed");
        return;
    }
    m_connected = true;
    boost::system::error_code ignored;
    m_socket.non_blocking(true, ignored);
    read();
    if (m_attempt) {
        write();
        return;
    }
    m_reusableUntil = m_clock.now() + defaultKeepAlive;
    m_hooks.idle(shared_from_this());
}

void TargetConnection::failConnect(const char* cause)
{
    if (m_attempt)
        fail(TargetReply::ReplyOutcome::NotSent, cause);
    else
        close();
}

void TargetConnection::write()
{
    const CallerRequest& request = *m_attempt->request;
    Duration remaining = m_attempt->deadline - m_clock.now();
    if (remaining <= Duration(1000)) {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            self->guard([&self] { self->fail(TargetReply::ReplyOutcome::NotSent, "at most 1 ms was left to the deadline when the connection was ready"); });
        });
        return;
    }
    m_output.clear();
    m_output.append(request.method).append(" ").append(request.requestTarget).append(" HTTP/1.1\r\n");
    for (const auto& [name, value] : request.headers)
        appendHeader(m_output, name, value);
    appendHeader(m_output, m_headerNames.deadline, std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count()));
    appendHeader(m_output, m_headerNames.targetName, m_attempt->target.value());
    if (m_attempt->delegation) {
        appendHeader(m_output, host_headers::version, std::to_string(m_attempt->delegation->version.value()));
        appendHeader(m_output, host_headers::spent, std::to_string(m_attempt->delegation->elapsed.count()));
        if (!m_attempt->delegation->shards.empty())
            appendHeader(m_output, host_headers::shards, joinNumbers(m_attempt->delegation->shards));
    }
    if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD"))
        appendHeader(m_output, "Content-Length", std::to_string(request.body.size()));
    m_output.append("\r\n").append(request.body);
    // Nearly every request fits into the socket's send buffer.
    boost::system::error_code error;
    std::size_t size = m_socket.write_some(asio::buffer(m_output), error);
    m_anyBytesSent = size > 0;
    if (error && error != asio::error::would_block) {
        asio::post(m_socket.get_executor(), [self = shared_from_this(), id = m_attempt->id] { self->guard([&] { self->handleWritten(id, true); }); });
        return;
    }
    m_requestWritten = size == m_output.size();
    if (m_requestWritten)
        return;
    m_anyBytesSent = true;
    asio::async_write(m_socket, asio::buffer(m_output) + size,
        [self = shared_from_this(), id = m_attempt->id](const boost::system::error_code& failed, std::size_t) { self->guard([&] { self->handleWritten(id, bool(failed)); }); });
}

void TargetConnection::handleWritten(AttemptNumber id, bool failed)
{
    if (!m_attempt || m_attempt->id != id)
        return;
    if (failed)
        fail(TargetReply::ReplyOutcome::Lost, "the connection failed while the request was being sent", true);
    else
        m_requestWritten = true;
}

void TargetConnection::read()
{
    m_socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code& error) {
        if (!self->m_closed)
            self->guard([&] { self->handleReadable(error); });
    });
}

void TargetConnection::handleReadable(const boost::system::error_code& waitError)
{
    boost::system::error_code error = waitError;
    std::string_view bytes = readAvailable(m_socket, error);
    if (error == asio::error::would_block) {
        read();
        return;
    }
    if (!m_attempt) {
        // The target closed an idle connection, or sent bytes that belong to no request.
        close();
        return;
    }
    if (!m_parser) {
        // The reply was released; the end of the exchange has been posted.
        return;
    }
    if (error == asio::error::eof) {
        handleEnd();
        return;
    }
    if (error) {
        fail(TargetReply::ReplyOutcome::Lost, "the connection failed before the reply was complete", true);
        return;
    }
    parse(bytes);
    if (!m_closed)
        read();
}

void TargetConnection::parse(std::string_view bytes)
{
    ReplyParser::Progress progress = m_parser->put(bytes);
    for (; progress == ReplyParser::Progress::Interim; progress = m_parser->put({})) {
        if (m_attempt->delegation)
            m_hooks.acknowledged(m_attempt->id);
    }
    if (progress == ReplyParser::Progress::Invalid)
        fail(TargetReply::ReplyOutcome::Lost, m_parser->cause());
    else if (progress == ReplyParser::Progress::Complete)
        handleReply(m_requestWritten && m_parser->reusable());
    else if (!m_charge.set(m_parser->heldBytes()))
        fail(TargetReply::ReplyOutcome::Lost, releasedCause);
}

void TargetConnection::releaseReply()
{
    m_parser.reset();
    asio::post(m_socket.get_executor(), [self = shared_from_this()] {
        if (!self->m_parser)
            self->guard([&self] { self->fail(TargetReply::ReplyOutcome::Lost, releasedCause); });
    });
}

void TargetConnection::handleEnd()
{
    if (m_parser->putEnd() == ReplyParser::Progress::Complete)
        handleReply(false);
    else
        fail(TargetReply::ReplyOutcome::Lost, m_parser->cause(), true);
}

Instant TargetConnection::keepAliveExpiry() const
{
    Duration keepAlive = defaultKeepAlive;
    std::string value(m_parser->reply()[http::field::keep_alive]);
    std::size_t at = value.find("timeout=");
    if (at != std::string::npos) {
        long seconds = 0;
        const char* first = value.data() + at + std::string_view("timeout=").size();
        auto [end, failed] = std::from_chars(first, value.data() + value.size(), seconds);
        if (failed == std::errc())
            keepAlive = std::chrono::duration_cast<Duration>(std::chrono::seconds(std::clamp(seconds, 0L, maxKeepAliveSeconds)) * keepAliveFraction);
    }
    return m_clock.now() + keepAlive;
}

bool TargetConnection::parseAggregate(TargetReply& reply) const
{
    const auto& message = m_parser->reply();
    // A host replies with 503 only to requests that it did not run.
    reply.notRun = reply.status == unavailable;
    reply.processingTime = parseMicroseconds(headerValue(message, host_headers::took)).value_or(Duration(0));
    reply.subRequestSignatures = std::string(headerValue(message, m_headerNames.subRequestSignatures));
    reply.signature = reply.subRequestSignatures;
    auto missing = parseNumber(headerValue(message, m_headerNames.missingShards));
    reply.missingShards = static_cast<unsigned>(missing.value_or(0));
    return missing.has_value();
}

void TargetConnection::handleReply(bool reusable)
{
    const auto& message = m_parser->reply();
    TargetReply reply;
    reply.outcome = TargetReply::ReplyOutcome::Answered;
    reply.status = message.result_int();
    reply.notRun = hasHeader(message, m_headerNames.notRun) || reply.status == misdirected;
    reply.addressReused = reply.status == misdirected;
    reply.leaving = headerValue(message, m_headerNames.leaving) == "1";
    if (reply.status == unavailable)
        reply.retryAfter = parseRetryAfter(headerValue(message, "Retry-After"));
    reply.rateLimit = parseRate(headerValue(message, m_headerNames.rateLimit));
    auto signature = message.find(m_headerNames.signature);
    if (signature != message.end())
        reply.signature = std::string(signature->value());
    bool complete = !m_attempt->delegation || parseAggregate(reply);
    auto id = message.find(m_headerNames.requestId);
    if (id != message.end() && id->value() != m_attempt->request->id) {
        fail(TargetReply::ReplyOutcome::Lost, "the reply must echo the id of this request");
        return;
    }
    bool success = reply.status >= 200 && reply.status < 300;
    if (success && (reply.signature.empty() || !complete)) {
        fail(TargetReply::ReplyOutcome::Lost, "the reply must have a signature and, to a delegated request, the number of missing shards");
        return;
    }
    if (success && message.find(http::field::content_encoding) != message.end()) {
        fail(TargetReply::ReplyOutcome::Lost, "the reply must have no content encoding");
        return;
    }
    if (m_attempt->needsHeaders)
        reply.headers = endToEndHeaders(message, {});
    m_reusableUntil = keepAliveExpiry();
    reply.body = m_parser->takeBody();
    finish(std::move(reply), reusable);
}

void TargetConnection::fail(TargetReply::ReplyOutcome outcome, const char* cause, bool connectionFailed)
{
    if (!m_attempt)
        return;
    TargetReply reply;
    reply.outcome = outcome == TargetReply::ReplyOutcome::Lost && !m_anyBytesSent ? TargetReply::ReplyOutcome::NotSent : outcome;
    reply.connectionFailed = connectionFailed && reply.outcome == TargetReply::ReplyOutcome::Lost;
    reply.cause = cause;
    finish(std::move(reply), false);
}

void TargetConnection::guard(const std::function<void()>& handler)
{
    runGuarded(handler, [this](const std::exception& error) {
        logHandlerException("target connection", m_endpoint.text(), error);
        auto self = shared_from_this();
        close();
        fail(TargetReply::ReplyOutcome::Lost, "an exception ended the connection");
    });
}

void TargetConnection::finish(TargetReply reply, bool reusable)
{
    AttemptNumber id = m_attempt->id;
    m_attempt.reset();
    m_parser.reset();
    m_charge.clear();
    auto self = shared_from_this();
    if (reusable)
        m_hooks.idle(self);
    else
        close();
    m_hooks.completed(id, std::move(reply));
}

void TargetConnection::abort()
{
    m_attempt.reset();
    m_parser.reset();
    m_charge.clear();
    close();
}

void TargetConnection::close()
{
    if (m_closed)
        return;
    m_closed = true;
    boost::system::error_code ignored;
    m_timer.cancel();
    m_socket.close(ignored);
    m_hooks.closed(shared_from_this());
}

} // namespace pimentopoint
