#include "Ports.h"

#include <Pimentopoint/Net>
#include <boost/asio/write.hpp>
#include <catch2/catch.hpp>

using namespace pimentopoint;

namespace {

/// A server that answers a request with a text and then sends a block again and again, up to a number of bytes; then it stays silent.
class FloodingServer {
public:
    FloodingServer(boost::asio::io_context& context, const Endpoint& endpoint, std::string start, std::string block, std::size_t maxBytes)
        : m_acceptor(listenOn(context, endpoint))
        , m_socket(context)
        , m_start(std::move(start))
        , m_block(std::move(block))
        , m_bytesLeft(maxBytes)
    {
        m_acceptor.async_accept(m_socket, [this](const boost::system::error_code&) {
            m_socket.async_read_some(boost::asio::buffer(m_request), [this](const boost::system::error_code&, std::size_t) { send(m_start); });
        });
    }

    std::size_t bytesLeft() const { return m_bytesLeft; }

private:
    void send(const std::string& bytes)
    {
        boost::asio::async_write(m_socket, boost::asio::buffer(bytes), [this](const boost::system::error_code& error, std::size_t) {
            if (error || m_bytesLeft < m_block.size())
                return;
            m_bytesLeft -= m_block.size();
            send(m_block);
        });
    }

    boost::asio::ip::tcp::acceptor m_acceptor;
    boost::asio::ip::tcp::socket m_socket;
    std::array<char, 4096> m_request {};
    std::string m_start;
    std::string m_block;
    std::size_t m_bytesLeft;
};

} // namespace

// Guards against: a reply of the store or of another host that never ends is kept in memory until the read's timeout.
TEST_CASE("A reader rejects a reply as soon as it exceeds its limits")
{
    struct Case {
        const char* name;
        std::string start;
        std::string block;
        std::string cause;
    };
    const std::string body = "the body of the reply is longer than the limit, or states that it is";
    const std::string framing = "the chunk headers or the trailer of the reply are longer than the limit";
    const std::string heads = "the heads of the reply and of the interim replies before it are longer than the limit";
    const std::string head = "HTTP/1.1 200 OK\r\n";
    const std::string filler(std::size_t(64) * 1024, 'x');
    const Case cases[] = {
        { "a stated length that can't be allocated", head + "Content-Length: 4999999999999999999\r\n\r\nhello", filler, body },
        { "a stated length of 4 GB", head + "Content-Length: 4000000000\r\n\r\nhello", filler, body },
        { "a chunk header", head + "Transfer-Encoding: chunked\r\n\r\n5;", filler, framing },
        { "a trailer", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\nX-Checksum: ", filler, framing },
        { "a header field", head + "X-Field: ", filler, heads },
    };
    for (const Case& each : cases) {
        INFO(each.name);
        boost::asio::io_context context { 1 };
        Endpoint endpoint = test::freeEndpoint();
        constexpr std::size_t maxBytes = std::size_t(32) * 1024 * 1024;
        FloodingServer server(context, endpoint, each.start, each.block, maxBytes);
        auto reader = std::make_shared<HttpReader>(context, endpoint);
        std::optional<HttpReader::Result> result;
        reader->get("/", std::chrono::seconds(5), [&](HttpReader::Result received) { result = std::move(received); });
        for (int turn = 0; turn < 5000 && !result; ++turn)
            CHECK_NOTHROW(context.run_for(std::chrono::milliseconds(2)));
        REQUIRE(result);
        CHECK(result->status == 0);
        CHECK(result->cause == each.cause);
        // The rest fits into the buffers of the sockets.
        CHECK(server.bytesLeft() > maxBytes / 2);
    }
}

TEST_CASE("A reader accepts a listing of several megabytes, with a length or in chunks")
{
    const std::string body(std::size_t(4) * 1024 * 1024, 'x');
    const std::string replies[] = { "HTTP/1.1 200 OK\r\nContent-Length: 4194304\r\n\r\n" + body, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n400000\r\n" + body + "\r\n0\r\n\r\n" };
    for (const std::string& reply : replies) {
        boost::asio::io_context context { 1 };
        Endpoint endpoint = test::freeEndpoint();
        FloodingServer server(context, endpoint, reply, "x", 0);
        auto reader = std::make_shared<HttpReader>(context, endpoint);
        std::optional<HttpReader::Result> result;
        reader->get("/", std::chrono::seconds(10), [&](HttpReader::Result received) { result = std::move(received); });
        for (int turn = 0; turn < 5000 && !result; ++turn)
            context.run_for(std::chrono::milliseconds(2));
        REQUIRE(result);
        CHECK(result->status == 200);
        CHECK(result->body.size() == body.size());
    }
}
