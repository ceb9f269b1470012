#include "HttpReader.h"

#include "HandlerGuard.h"
#include "SocketOptions.h"

#include <boost/asio/write.hpp>

namespace pimentopoint {

namespace asio = boost::asio;

namespace {

    /// A connection is closed if sent bytes stay unacknowledged for this long.
    constexpr Duration acknowledgementTimeout = std::chrono::seconds(2);
    /// Far above the size of a page of the store: about one megabyte, plus half of that for base64 and JSON.
    constexpr std::uint64_t maxBodyBytes = std::uint64_t(16) * 1024 * 1024;
    constexpr std::uint32_t maxHeaderBytes = std::uint32_t(32) * 1024;
    constexpr std::size_t readBytes = std::size_t(16) * 1024;

} // namespace

HttpReader::HttpReader(asio::io_context& context, Endpoint server)
    : m_context(context)
    , m_server(std::move(server))
    , m_timer(context)
{
}

void HttpReader::setHeaders(std::string lines, std::string host)
{
    m_headers = std::move(lines);
    m_host = std::move(host);
}

void HttpReader::get(const std::string& target, Duration timeout, Callback callback)
{
    ++m_generation;
    m_callback = std::move(callback);
    m_request = "GET " + target + " HTTP/1.1\r\nHost: " + (m_host.empty() ? m_server.text() : m_host) + "\r\n" + m_headers + "\r\n";
    m_parser.emplace(ReplyParser::Limits { maxHeaderBytes, maxBodyBytes }, true);
    m_timer.expires_after(timeout);
    m_timer.async_wait([self = shared_from_this(), generation = m_generation](const boost::system::error_code& cancelled) {
        if (!cancelled && generation == self->m_generation)
            self->guard([&self] { self->fail("no reply within the timeout"); });
    });
    if (m_socket)
        write();
    else
        connect();
}

void HttpReader::connect()
{
    m_socket.emplace(m_context);
    boost::system::error_code error;
    m_socket->open(asio::ip::tcp::v4(), error);
    if (!error)
        setUpSocket(*m_socket, acknowledgementTimeout, true);
    asio::ip::tcp::endpoint endpoint(asio::ip::make_address_v4(m_server.address()), m_server.port());
    m_socket->async_connect(endpoint, [self = shared_from_this(), generation = m_generation](const boost::system::error_code& failed) {
        if (generation != self->m_generation || !self->m_callback)
            return;
        self->guard([&] { failed ? self->fail(failed.message()) : self->write(); });
    });
}

void HttpReader::write()
{
    asio::async_write(*m_socket, asio::buffer(m_request), [self = shared_from_this(), generation = m_generation](const boost::system::error_code& failed, std::size_t) {
        if (generation != self->m_generation || !self->m_callback)
            return;
        self->guard([&] { failed ? self->fail(failed.message()) : self->read(); });
    });
}

void HttpReader::read()
{
    m_chunk.resize(readBytes);
    m_socket->async_read_some(asio::buffer(m_chunk), [self = shared_from_this(), generation = m_generation](const boost::system::error_code& failed, std::size_t size) {
        if (generation == self->m_generation && self->m_callback)
            self->guard([&] { self->handleRead(failed, size); });
    });
}

void HttpReader::handleRead(const boost::system::error_code& failed, std::size_t size)
{
    if (failed) {
        fail(failed.message());
        return;
    }
    ReplyParser::Progress progress = m_parser->put({ m_chunk.data(), size });
    while (progress == ReplyParser::Progress::Interim)
        progress = m_parser->put({});
    if (progress == ReplyParser::Progress::Incomplete) {
        read();
        return;
    }
    if (progress == ReplyParser::Progress::Invalid) {
        fail(m_parser->cause());
        return;
    }
    Result result;
    result.status = m_parser->reply().result_int();
    result.headers = m_parser->reply().base();
    result.body = m_parser->takeBody();
    bool reusable = m_parser->reusable();
    finish(std::move(result), reusable);
}

void HttpReader::finish(Result result, bool reusable)
{
    ++m_generation;
    m_timer.cancel();
    m_parser.reset();
    m_chunk = {};
    if (!reusable)
        m_socket.reset();
    Callback callback = std::move(m_callback);
    m_callback = nullptr;
    callback(std::move(result));
}

void HttpReader::fail(std::string cause)
{
    Result result;
    result.cause = std::move(cause);
    finish(std::move(result), false);
}

void HttpReader::guard(const std::function<void()>& handler)
{
    runGuarded(handler, [this](const std::exception& error) {
        logHandlerException("reader", m_server.text(), error);
        // The callback has been called already, unless the exception came before the reply was complete.
        if (m_callback)
            fail(error.what());
        else
            close();
    });
}

void HttpReader::close()
{
    ++m_generation;
    m_callback = nullptr;
    m_timer.cancel();
    m_socket.reset();
}

} // namespace pimentopoint
