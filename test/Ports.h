/// \file
/// Free ports on loopback.
#pragma once

#include <Pimentopoint/Core>
#include <arpa/inet.h>
#include <atomic>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace pimentopoint::test {

/// Lowest port for tests. All test ports lie below the kernel's range for outgoing connections, so that no such connection
/// occupies a port that a process binds later.
constexpr std::uint16_t firstTestPort = 12000;
constexpr std::uint16_t testPortCount = 20000;

/// \returns whether a socket of \a type can be bound to \a port
inline bool canBind(int type, std::uint16_t port)
{
    int socket = ::socket(AF_INET, type, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    address.sin_port = htons(port);
    bool isBound = bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    close(socket);
    return isBound;
}

/// \returns an endpoint on 127.0.0.1 that is free for TCP and UDP and was not returned before in this process
inline Endpoint freeEndpoint()
{
    // Test processes that run at the same time start at distant ports.
    constexpr unsigned step = 397;
    static std::atomic<unsigned> next { static_cast<unsigned>(getpid()) * step };
    for (unsigned checked = 0; checked < testPortCount; ++checked) {
        auto port = static_cast<std::uint16_t>(firstTestPort + next++ % testPortCount);
        if (canBind(SOCK_STREAM, port) && canBind(SOCK_DGRAM, port))
            return { "127.0.0.1", port };
    }
    throw std::runtime_error("no port in the range for tests is free");
}

} // namespace pimentopoint::test
