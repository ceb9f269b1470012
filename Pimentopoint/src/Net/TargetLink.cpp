#include "TargetLink.h"

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

TargetLink::TargetLink(asio::io_context& context, const Clock& clock, const HeaderDialect& dialect, Endpoint endpoint, Hooks hooks)
    : m_socket(context)
    , m_timer(context)
    , m_clock(clock)
    , m_dialect(dialect)
    , m_endpoint(std::move(endpoint))
    , m_hooks(std::move(hooks))
{
}

void TargetLink::open(const TargetName& target)
{
    m_target = target;
    connect();
}

void TargetLink::start(const CallActions::Send& send)
{
    m_send = send;
    m_target = send.target;
    m_written = false;
    m_anySent = false;
    m_parser.emplace();
    m_parser->body_limit(mostBodyBytes);
    m_parser->header_limit(mostHeaderBytes);
    m_parser->eager(true);
    if (m_send->request->method == "HEAD")
        m_parser->skip(true);
    if (m_connected)
        write();
    else
        connect();
}

void TargetLink::connect()
{
    asio::ip::tcp::endpoint endpoint(asio::ip::make_address_v4(m_endpoint.address()), m_endpoint.port());
    boost::system::error_code error;
    m_socket.open(endpoint.protocol(), error);
    if (error) {
        // No descriptor is left. Ends in a later turn, so that start() never calls back.
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->giveUp("no socket could be opened"); });
        return;
    }
    setUpSocket(m_socket, silence, false);
    m_timer.expires_after(connectTimeout);
    m_timer.async_wait([self = shared_from_this()](const boost::system::error_code& cancelled) {
        if (!cancelled && !self->m_connected)
            self->giveUp("the connection was not accepted in time");
    });
    m_socket.async_connect(endpoint, [self = shared_from_this()](const boost::system::error_code& failed) {
        self->m_timer.cancel();
        if (self->m_closed)
            return;
        if (failed) {
            self->giveUp("the connection was refused");
            return;
        }
        self->m_connected = true;
        boost::system::error_code ignored;
        self->m_socket.non_blocking(true, ignored);
        self->read();
        if (self->m_send) {
            self->write();
            return;
        }
        self->m_freshUntil = self->m_clock.now() + defaultKept;
        self->m_hooks.free(self);
    });
}

void TargetLink::giveUp(const char* cause)
{
    if (m_send)
        fail(TargetReply::End::NotSent, cause);
    else
        close();
}

void TargetLink::write()
{
    const CallerRequest& request = *m_send->request;
    Duration left = m_send->deadline - m_clock.now();
    if (left <= Duration(1000)) {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->fail(TargetReply::End::NotSent, "no time was left when the connection was ready"); });
        return;
    }
    m_out.clear();
    m_out.append(request.method).append(" ").append(request.target).append(" HTTP/1.1\r\n");
    for (const auto& [name, value] : request.headers)
        appendHeader(m_out, name, value);
    appendHeader(m_out, m_dialect.deadline, std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(left).count()));
    appendHeader(m_out, m_dialect.targetName, m_send->target.value());
    if (m_send->delegation) {
        appendHeader(m_out, host_headers::version, std::to_string(m_send->delegation->version.value()));
        appendHeader(m_out, host_headers::spent, std::to_string(m_send->delegation->spent.count()));
        if (!m_send->delegation->shards.empty())
            appendHeader(m_out, host_headers::shards, joinNumbers(m_send->delegation->shards));
    }
    if (!request.body.empty() || (request.method != "GET" && request.method != "HEAD"))
        appendHeader(m_out, "Content-Length", std::to_string(request.body.size()));
    m_out.append("\r\n").append(request.body);
    // Nearly every request fits the socket's buffer.
    boost::system::error_code error;
    std::size_t size = m_socket.write_some(asio::buffer(m_out), error);
    m_anySent = size > 0;
    if (error && error != asio::error::would_block) {
        asio::post(m_socket.get_executor(), [self = shared_from_this(), id = m_send->send] { self->written(id, true); });
        return;
    }
    m_written = size == m_out.size();
    if (m_written)
        return;
    m_anySent = true;
    asio::async_write(m_socket, asio::buffer(m_out) + size,
        [self = shared_from_this(), id = m_send->send](const boost::system::error_code& failed, std::size_t) { self->written(id, bool(failed)); });
}

void TargetLink::written(SendId id, bool failed)
{
    if (!m_send || m_send->send != id)
        return;
    if (failed)
        fail(TargetReply::End::Lost, "the connection broke while the request was sent");
    else
        m_written = true;
}

void TargetLink::read()
{
    m_socket.async_wait(asio::ip::tcp::socket::wait_read, [self = shared_from_this()](const boost::system::error_code& error) {
        if (!self->m_closed)
            self->received(error);
    });
}

void TargetLink::received(const boost::system::error_code& waitError)
{
    boost::system::error_code error = waitError;
    std::string_view bytes = readAvailable(m_socket, error);
    if (error == asio::error::would_block) {
        read();
        return;
    }
    if (!m_send) {
        // The target closes an idle connection, or sends what belongs to no request.
        close();
        return;
    }
    if (error == asio::error::eof) {
        parse({}, true);
        return;
    }
    if (error) {
        fail(TargetReply::End::Lost, "the connection was reset");
        return;
    }
    parse(bytes, false);
    if (!m_closed)
        read();
}

void TargetLink::parse(std::string_view bytes, bool ended)
{
    boost::system::error_code error;
    if (ended) {
        m_parser->put_eof(error);
        if (error || !m_parser->is_done())
            fail(TargetReply::End::Lost, "the answer ended early");
        else
            answered(false);
        return;
    }
    m_in.append(bytes);
    while (!m_in.empty() && !m_parser->is_done()) {
        std::size_t used = m_parser->put(asio::buffer(m_in), error);
        m_in.erase(0, used);
        if (error == http::error::need_more)
            return;
        if (error) {
            fail(TargetReply::End::Lost, "the bytes are no answer");
            return;
        }
        if (!used)
            break;
    }
    if (m_parser->is_done()) {
        constexpr unsigned firstFinal = 200;
        if (m_parser->get().result_int() < firstFinal) {
            if (m_send->delegation)
                m_hooks.begun(m_send->send);
            m_parser.emplace();
            m_parser->eager(true);
            m_parser->body_limit(mostBodyBytes);
            parse({}, false);
            return;
        }
        answered(m_in.empty() && m_written && m_parser->keep_alive() && !m_parser->need_eof());
    }
}

Instant TargetLink::keptUntil() const
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

bool TargetLink::readAggregate(TargetReply& reply) const
{
    constexpr unsigned unavailable = 503;
    const auto& message = m_parser->get();
    // A host says 503 only of what it did not run.
    reply.notRun = reply.status == unavailable;
    reply.took = Duration(static_cast<Duration::rep>(parseNumber(headerValue(message, host_headers::took)).value_or(0)));
    reply.partStamps = std::string(headerValue(message, m_dialect.partStamps));
    reply.stamp = reply.partStamps;
    auto missing = parseNumber(headerValue(message, m_dialect.missingParts));
    reply.missingParts = static_cast<unsigned>(missing.value_or(0));
    return missing.has_value();
}

void TargetLink::answered(bool reusable)
{
    const auto& message = m_parser->get();
    TargetReply reply;
    reply.end = TargetReply::End::Answered;
    reply.status = message.result_int();
    reply.notRun = reported(message, m_dialect.notRun) || reply.status == misdirected;
    reply.otherTarget = reply.status == misdirected;
    auto stamp = message.find(m_dialect.stamp);
    if (stamp != message.end())
        reply.stamp = std::string(stamp->value());
    bool complete = !m_send->delegation || readAggregate(reply);
    auto id = message.find(m_dialect.requestId);
    if (id != message.end() && id->value() != m_send->request->id) {
        fail(TargetReply::End::Lost, "the answer belongs to another request");
        return;
    }
    bool success = reply.status >= 200 && reply.status < 300;
    if (success && (reply.stamp.empty() || !complete)) {
        fail(TargetReply::End::Lost, "the answer has no signature");
        return;
    }
    if (success && message.find(http::field::content_encoding) != message.end()) {
        fail(TargetReply::End::Lost, "the answer's body is encoded");
        return;
    }
    if (m_send->wantsHeaders)
        reply.headers = endToEndHeaders(message, {});
    m_freshUntil = keptUntil();
    reply.body = std::move(m_parser->get().body());
    settle(std::move(reply), reusable);
}

void TargetLink::fail(TargetReply::End end, const char* cause)
{
    if (!m_send)
        return;
    TargetReply reply;
    reply.end = end == TargetReply::End::Lost && !m_anySent ? TargetReply::End::NotSent : end;
    reply.cause = cause;
    settle(std::move(reply), false);
}

void TargetLink::settle(TargetReply reply, bool reusable)
{
    SendId id = m_send->send;
    m_send.reset();
    m_parser.reset();
    m_in.clear();
    auto self = shared_from_this();
    if (reusable)
        m_hooks.free(self);
    else
        close();
    m_hooks.ended(id, std::move(reply));
}

void TargetLink::abort()
{
    m_send.reset();
    close();
}

void TargetLink::close()
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
