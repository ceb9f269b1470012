#include "Proxy.h"

#include <Pimentopoint/Net>
#include <boost/asio/write.hpp>
#include <vector>

namespace pimentopoint {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

    constexpr std::size_t readBytes = std::size_t(16) * 1024;
    constexpr Duration forwardDelay = std::chrono::milliseconds(60);

} // namespace

struct Proxy::Connection : std::enable_shared_from_this<Connection> {
    Connection(Proxy& owner, tcp::socket caller)
        : proxy(owner)
        , ends { std::move(caller), tcp::socket(owner.m_context) }
    {
    }

    void start()
    {
        tcp::endpoint server(asio::ip::make_address_v4(proxy.m_server.address()), proxy.m_server.port());
        ends[1].async_connect(server, [self = shared_from_this()](const boost::system::error_code& error) {
            if (error) {
                self->end();
                return;
            }
            self->pump(0);
            self->pump(1);
        });
    }

    /// Copies the bytes received at end \a from to the other end.
    void pump(std::size_t from)
    {
        ends[from].async_read_some(asio::buffer(bytes[from]), [self = shared_from_this(), from](const boost::system::error_code& error, std::size_t size) {
            if (error) {
                self->end();
                return;
            }
            self->forward(from, size);
        });
    }

    void forward(std::size_t from, std::size_t size)
    {
        Mode mode = proxy.m_mode;
        if (mode == Mode::Flood && from == 1) {
            flood("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;");
            return;
        }
        if (discards || mode == Mode::Discard || (mode == Mode::DiscardReplies && from == 1)) {
            pump(from);
            return;
        }
        auto write = [self = shared_from_this(), from, size] {
            asio::async_write(self->ends[1 - from], asio::buffer(self->bytes[from], size), [self, from](const boost::system::error_code& error, std::size_t) {
                if (error)
                    self->end();
                else
                    self->pump(from);
            });
        };
        if (mode != Mode::Delay) {
            write();
            return;
        }
        auto timer = std::make_shared<asio::steady_timer>(proxy.m_context, forwardDelay);
        timer->async_wait([timer, write](const boost::system::error_code&) { write(); });
    }

    /// Sends \a start to the caller, then bytes that continue it until the proxy forwards again or the caller closes.
    void flood(const std::string& start)
    {
        static const std::string block(readBytes, 'x');
        auto sent = std::make_shared<std::string>(start + block);
        asio::async_write(ends[0], asio::buffer(*sent), [self = shared_from_this(), sent](const boost::system::error_code& error, std::size_t) {
            if (error || self->proxy.m_mode != Mode::Flood)
                self->end();
            else
                self->flood({});
        });
    }

    void end()
    {
        boost::system::error_code ignored;
        for (tcp::socket& socket : ends)
            socket.close(ignored);
        proxy.m_connections.erase(shared_from_this());
    }

    void reset()
    {
        boost::system::error_code ignored;
        for (tcp::socket& socket : ends)
            socket.set_option(asio::socket_base::linger(true, 0), ignored);
        end();
    }

    Proxy& proxy;
    std::array<tcp::socket, 2> ends; ///< Index 0 is the caller's side, 1 the server's.
    std::array<std::array<char, readBytes>, 2> bytes {};
    bool discards = false;
};

Proxy::Proxy(asio::io_context& context, const Endpoint& listen, const Endpoint& server)
    : m_context(context)
    , m_server(server)
    , m_acceptor(listenOn(context, listen))
{
    accept();
}

void Proxy::accept()
{
    m_acceptor.async_accept([this](const boost::system::error_code& error, tcp::socket socket) {
        if (error)
            return;
        auto connection = std::make_shared<Connection>(*this, std::move(socket));
        m_connections.insert(connection);
        connection->start();
        accept();
    });
}

void Proxy::discardOnOpenConnections()
{
    for (const auto& connection : m_connections)
        connection->discards = true;
}

void Proxy::reset()
{
    std::vector<std::shared_ptr<Connection>> connections(m_connections.begin(), m_connections.end());
    for (const auto& connection : connections)
        connection->reset();
}

} // namespace pimentopoint
