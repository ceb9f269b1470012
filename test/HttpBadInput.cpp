// Malformed requests over a real socket: each is rejected with an error, no request is run, and the server keeps serving.
#include "Ports.h"

#include <atomic>
#include <catch2/catch.hpp>
#include <poll.h>

using namespace pimentopoint;
using namespace pimentopoint::test;
using Catch::Matchers::Contains;

namespace {

std::string exchange(const Endpoint& endpoint, const std::string& bytes, bool closeWriting)
{
    int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port());
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    REQUIRE(connect(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0);
    send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (closeWriting)
        shutdown(socket, SHUT_WR);
    std::string reply;
    char buffer[4096];
    pollfd entry { socket, POLLIN, 0 };
    while (poll(&entry, 1, 8000) > 0) {
        ssize_t count = recv(socket, buffer, sizeof buffer, 0);
        if (count <= 0)
            break;
        reply.append(buffer, static_cast<std::size_t>(count));
        if (reply.find("\r\n\r\n") != std::string::npos && reply.ends_with("}"))
            break;
    }
    close(socket);
    return reply;
}

} // namespace

TEST_CASE("An incomplete or malformed request never reaches the hook, and the server keeps serving")
{
    struct Row {
        const char* name;
        std::string bytes;
        bool closeWriting;
        const char* expected;
    };
    const auto row = GENERATE(
        Row { "truncated body", "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 100\r\n\r\n{\"query\":", true, "shorter than its Content-Length" },
        Row { "oversized body", "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 99999999\r\n\r\n", false, "too large" },
        Row { "no length", "POST /x HTTP/1.1\r\nHost: a\r\n\r\n", true, "Content-Length is missing" },
        Row { "not HTTP", "\x01\x02\x03 rubbish\r\n\r\n", true, "" }, Row { "negative length", "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: -5\r\n\r\n", true, "" },
        Row { "endless header", "GET /x HTTP/1.1\r\nHost: " + std::string(100000, 'a'), true, "" });
    INFO(row.name);
    std::atomic<int> served { 0 };
    Endpoint endpoint = freeEndpoint();
    HttpServer server(endpoint, 4, 1000, [&](const HttpRequest&) {
        ++served;
        return HttpResponse { 200, "{\"ok\":1}" };
    });
    std::string reply = exchange(endpoint, row.bytes, row.closeWriting);
    CHECK_THAT(reply, Contains(row.expected));
    CHECK(served == 0);
    CHECK_THAT(exchange(endpoint, "GET /y HTTP/1.1\r\nHost: a\r\n\r\n", false), Contains("\"ok\":1"));
    CHECK(served == 1);
}

TEST_CASE("Open connections are counted, and the count returns to zero after they close")
{
    Endpoint endpoint = freeEndpoint();
    HttpServer server(endpoint, 4, 1000, [](const HttpRequest&) { return HttpResponse {}; });
    CHECK(server.connections() == 0);
    exchange(endpoint, "GET /y HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", true);
    for (int i = 0; i < 500 && server.connections(); ++i)
        poll(nullptr, 0, 10);
    CHECK(server.connections() == 0);
    CHECK(server.idle());
}
