/// \file
/// Free ports on loopback.
#pragma once

#include <Pimentopoint/Core>
#include <arpa/inet.h>
#include <sys/socket.h>
#include <unistd.h>

namespace pimentopoint::test {

/// \returns an endpoint on 127.0.0.1 that was free a moment ago
inline Endpoint freeEndpoint()
{
    int socket = ::socket(AF_INET, SOCK_STREAM, 0);
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    bind(socket, reinterpret_cast<sockaddr*>(&address), sizeof address);
    socklen_t length = sizeof address;
    getsockname(socket, reinterpret_cast<sockaddr*>(&address), &length);
    close(socket);
    return { "127.0.0.1", ntohs(address.sin_port) };
}

} // namespace pimentopoint::test
