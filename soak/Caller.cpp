#include "Caller.h"

#include "../Pimentopoint/src/Net/HttpText.h"
#include "../platform/PlatformNames.h"

#include <boost/asio/write.hpp>
#include <boost/beast/http/read.hpp>

namespace pimentopoint {

namespace asio = boost::asio;
namespace http = boost::beast::http;

Caller::Caller(asio::io_context& context, Endpoint host)
    : m_socket(context)
    , m_timer(context)
    , m_host(std::move(host))
{
}

void Caller::sendRequest(const std::string& path, const std::string& id, bool fanOut, Duration timeout, CompletedHook completed)
{
    const HeaderNames& headerNames = platform::headerNames();
    ++m_requestNumber;
    m_completed = std::move(completed);
    m_observation = { id, fanOut, 0, "", 0, "", Duration(0) };
    m_sentAt = std::chrono::steady_clock::now();
    std::string milliseconds = std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count());
    m_request = "GET " + path + " HTTP/1.1\r\nHost: h.example\r\n" + headerNames.requestId + ": " + id + "\r\n" + headerNames.deadline + ": " + milliseconds + "\r\n\r\n";
    m_timer.expires_after(timeout);
    m_timer.async_wait([self = shared_from_this(), number = m_requestNumber](const boost::system::error_code& cancelled) {
        if (!cancelled && number == self->m_requestNumber && self->m_completed)
            self->complete(false);
    });
    if (m_connected)
        write();
    else
        connect();
}

void Caller::connect()
{
    m_buffer.clear();
    asio::ip::tcp::endpoint host(asio::ip::make_address_v4(m_host.address()), m_host.port());
    m_socket.async_connect(host, [self = shared_from_this(), number = m_requestNumber](const boost::system::error_code& error) {
        if (number != self->m_requestNumber || !self->m_completed)
            return;
        self->m_connected = !error;
        if (error)
            self->complete(false);
        else
            self->write();
    });
}

void Caller::write()
{
    asio::async_write(m_socket, asio::buffer(m_request), [self = shared_from_this(), number = m_requestNumber](const boost::system::error_code& error, std::size_t) {
        if (number != self->m_requestNumber || !self->m_completed)
            return;
        if (error)
            self->complete(false);
        else
            self->read();
    });
}

void Caller::read()
{
    m_parser.emplace();
    http::async_read(m_socket, m_buffer, *m_parser, [self = shared_from_this(), number = m_requestNumber](const boost::system::error_code& error, std::size_t) {
        if (number == self->m_requestNumber && self->m_completed)
            self->complete(!error);
    });
}

void Caller::complete(bool answered)
{
    m_timer.cancel();
    if (answered) {
        const HeaderNames& headerNames = platform::headerNames();
        const auto& message = m_parser->get();
        m_observation.status = message.result_int();
        m_observation.signatures = std::string(headerValue(message, m_observation.fanOut ? headerNames.subRequestSignatures : headerNames.signature));
        m_observation.missingShards = parseNumber(headerValue(message, headerNames.missingShards)).value_or(0);
        m_observation.body = message.body();
    }
    m_observation.latency = std::chrono::duration_cast<Duration>(std::chrono::steady_clock::now() - m_sentAt);
    if (!answered || !m_parser->keep_alive()) {
        boost::system::error_code ignored;
        m_socket.close(ignored);
        m_connected = false;
    }
    CompletedHook completed = std::exchange(m_completed, nullptr);
    completed(m_observation);
}

} // namespace pimentopoint
