#include "TargetConnection.h"

#include "HostHeaders.h"
#include "HttpText.h"
#include "ReadAvailable.h"
#include "SocketOptions.h"

#include <boost/asio/write.hpp>
#include <charconv>

namespace pimentopoint {

namespace asio = boost::asio;
namespace http = boost::beast::http;

namespace {

    /// A target that is up accepts within a round trip and its cost of a connection; a lost first packet is repeated after a second.
    constexpr Duration connectTimeout = std::chrono::milliseconds(400);
    /// Time after which sent bytes without acknowledgement end a connection.
    constexpr Duration silence = std::chrono::seconds(2);
    /// For which an idle connection is reused if the target does not state its timeout; HTTP servers commonly keep five seconds or more.
    constexpr Duration defaultKept = std::chrono::seconds(4);
    /// Part of the stated timeout that is used; the rest covers the way and the clock of the target.
    constexpr double keptUse = 0.8;
    /// Answers are records or documents of some kilobytes; more than this is not an answer.
    constexpr std::uint64_t mostBodyBytes = std::uint64_t(8) * 1024 * 1024;
    constexpr std::uint32_t mostHeaderBytes = std::uint32_t(32) * 1024;
    constexpr unsigned misdirected = 421;

    bool reported(const http::fields& fields, const std::string& name)
    {
        return !name.empty() && fields.find(name) != fields.end();
    }

} // namespace

TargetConnection::TargetConnection(asio::io_context& context, const Clock& clock, const HeaderNames& dialect, Endpoint endpoint, Hooks hooks)
    : m_socket(context)
    , m_timer(context)
    , m_clock(clock)
    , m_headerNames(dialect)
    , m_endpoint(std::move(endpoint))
    , m_hooks(std::move(hooks))
{
}

void TargetConnection::open(const TargetName& target)
{
    m_target = target;
    connect();
}

void TargetConnection::start(const CallActions::Attempt& send)
{
    m_attempt = send;
    m_target = send.target;
    m_requestWritten = false;
    m_anyBytesSent = false;
    m_parser.emplace();
    m_parser->body_limit(mostBodyBytes);
    m_parser->header_limit(mostHeaderBytes);
    m_parser->eager(true);
    if (m_attempt->request->method == "HEAD")
        m_parser->skip(true);
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
        // No descriptor is left. Ends in a later turn, so that start() never calls back.
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->failConnect("no socket could be opened"); });
        return;
    }
    setUpSocket(m_socket, silence, false);
    m_timer.expires_after(connectTimeout);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& cancelled) {
        if (!cancelled && !self->m_connected)
            self->failConnect("the connection was not accepted in time");
    });
    m_socket.async_connect(endpoint, [self = shared_from_this()](const boost::system::error_code& failed) {
        self->m_timer.cancel();
        if (self->m_closed)
            return;
        if (failed) {
            self->failConnect("the connection was refused");
            return;
        }
        self->m_connected = true;
        boost::system::error_code ignored;
        self->m_socket.non_blocking(true, ignored);
        self->read();
        if (self->m_attempt) {
            self->write();
            return;
        }
        self->m_reusableUntil = self->m_clock.now() + defaultKept;
        self->m_hooks.idle(self);
    });
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
    Duration left = m_attempt->deadline - m_clock.now();
    if (left <= Duration(1000)) {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->fail(TargetReply::ReplyOutcome::NotSent, "no time was left when the connection was ready"); });
        return;
    }
    m_output.clear();
    m_output.append(request.method).append(" ").append(request.requestTarget).append(" HTTP/1.1\r\n");
    for (const auto& [name, value] : request.headers)
        appendHeader(m_output, name, value);
    appendHeader(m_output, m_headerNames.deadline, std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(left).count()));
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
    // Nearly every request fits the socket's buffer.
    boost::system::error_code error;
    std::size_t size = m_socket.write_some(asio::buffer(m_output), error);
    m_anyBytesSent = size > 0;
    if (error && error != asio::error::would_block) {
        asio::post(m_socket.get_executor(), [self = shared_from_this(), id = m_attempt->id] { self->handleWritten(id, true); });
        return;
    }
    m_requestWritten = size == m_output.size();
    if (m_requestWritten)
        return;
    m_anyBytesSent = true;
    asio::async_write(m_socket, asio::buffer(m_output) + size,
        [self = shared_from_this(), id = m_attempt->id](const boost::system::error_code& failed, std::size_t) { self->handleWritten(id, bool(failed)); });
}

void TargetConnection::handleWritten(AttemptNumber id, bool failed)
{
    if (!m_attempt || m_attempt->id != id)
        return;
    if (failed)
        fail(TargetReply::ReplyOutcome::Lost, "the connection broke while the request was sent");
    else
        m_requestWritten = true;
}

void TargetConnection::read()
{
    m_socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code& error) {
        if (!self->m_closed)
            self->handleReadable(error);
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
        // The target closes an idle connection, or sends what belongs to no request.
        close();
        return;
    }
    if (error == asio::error::eof) {
        parse({}, true);
        return;
    }
    if (error) {
        fail(TargetReply::ReplyOutcome::Lost, "the connection was reset");
        return;
    }
    parse(bytes, false);
    if (!m_closed)
        read();
}

void TargetConnection::parse(std::string_view bytes, bool ended)
{
    boost::system::error_code error;
    if (ended) {
        m_parser->put_eof(error);
        if (error || !m_parser->is_done())
            fail(TargetReply::ReplyOutcome::Lost, "the answer ended early");
        else
            handleAnswer(false);
        return;
    }
    m_input.append(bytes);
    while (!m_input.empty() && !m_parser->is_done()) {
        std::size_t used = m_parser->put(asio::buffer(m_input), error);
        m_input.erase(0, used);
        if (error == http::error::need_more)
            return;
        if (error) {
            fail(TargetReply::ReplyOutcome::Lost, "the bytes are no answer");
            return;
        }
        if (!used)
            break;
    }
    if (m_parser->is_done()) {
        constexpr unsigned firstFinal = 200;
        if (m_parser->get().result_int() < firstFinal) {
            if (m_attempt->delegation)
                m_hooks.acknowledged(m_attempt->id);
            m_parser.emplace();
            m_parser->eager(true);
            m_parser->body_limit(mostBodyBytes);
            parse({}, false);
            return;
        }
        handleAnswer(m_input.empty() && m_requestWritten && m_parser->keep_alive() && !m_parser->need_eof());
    }
}

Instant TargetConnection::keepAliveExpiry() const
{
    Duration kept = defaultKept;
    std::string value(m_parser->get()[http::field::keep_alive]);
    std::size_t at = value.find("timeout=");
    if (at != std::string::npos) {
        long seconds = 0;
        const char* first = value.data() + at + std::string_view("timeout=").size();
        auto [end, failed] = std::from_chars(first, value.data() + value.size(), seconds);
        if (failed == std::errc())
            kept = std::chrono::duration_cast<Duration>(std::chrono::seconds(seconds) * keptUse);
    }
    return m_clock.now() + kept;
}

bool TargetConnection::parseAggregate(TargetReply& reply) const
{
    constexpr unsigned unavailable = 503;
    const auto& message = m_parser->get();
    // A host says 503 only of what it did not run.
    reply.notRun = reply.status == unavailable;
    reply.processingTime = Duration(static_cast<Duration::rep>(parseNumber(headerValue(message, host_headers::took)).value_or(0)));
    reply.subRequestSignatures = std::string(headerValue(message, m_headerNames.subRequestSignatures));
    reply.signature = reply.subRequestSignatures;
    auto missing = parseNumber(headerValue(message, m_headerNames.missingShards));
    reply.missingShards = static_cast<unsigned>(missing.value_or(0));
    return missing.has_value();
}

void TargetConnection::handleAnswer(bool reusable)
{
    const auto& message = m_parser->get();
    TargetReply reply;
    reply.outcome = TargetReply::ReplyOutcome::Answered;
    reply.status = message.result_int();
    reply.notRun = reported(message, m_headerNames.notRun) || reply.status == misdirected;
    reply.addressReused = reply.status == misdirected;
    auto stamp = message.find(m_headerNames.signature);
    if (stamp != message.end())
        reply.signature = std::string(stamp->value());
    bool complete = !m_attempt->delegation || parseAggregate(reply);
    auto id = message.find(m_headerNames.requestId);
    if (id != message.end() && id->value() != m_attempt->request->id) {
        fail(TargetReply::ReplyOutcome::Lost, "the answer belongs to another request");
        return;
    }
    bool success = reply.status >= 200 && reply.status < 300;
    if (success && (reply.signature.empty() || !complete)) {
        fail(TargetReply::ReplyOutcome::Lost, "the answer has no signature");
        return;
    }
    if (success && message.find(http::field::content_encoding) != message.end()) {
        fail(TargetReply::ReplyOutcome::Lost, "the answer's body is encoded");
        return;
    }
    if (m_attempt->needsHeaders)
        reply.headers = endToEndHeaders(message, {});
    m_reusableUntil = keepAliveExpiry();
    reply.body = std::move(m_parser->get().body());
    finish(std::move(reply), reusable);
}

void TargetConnection::fail(TargetReply::ReplyOutcome end, const char* cause)
{
    if (!m_attempt)
        return;
    TargetReply reply;
    reply.outcome = end == TargetReply::ReplyOutcome::Lost && !m_anyBytesSent ? TargetReply::ReplyOutcome::NotSent : end;
    reply.cause = cause;
    finish(std::move(reply), false);
}

void TargetConnection::finish(TargetReply reply, bool reusable)
{
    AttemptNumber id = m_attempt->id;
    m_attempt.reset();
    m_parser.reset();
    m_input.clear();
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
