#include "SocketOptions.h"

#include <algorithm>
#include <netinet/tcp.h>

namespace pimentopoint {

namespace asio = boost::asio;

void setUpSocket(asio::ip::tcp::socket& socket, Duration silence, bool probe)
{
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    using KeepIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using KeepInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using KeepCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    // A peer that has gone makes these fail; the next read or write reports it.
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(UserTimeout(static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(silence).count())), ignored);
    if (!probe)
        return;
    constexpr int probes = 2;
    auto seconds = static_cast<int>(std::chrono::duration_cast<std::chrono::seconds>(silence).count());
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(KeepIdle(std::max(1, seconds / 2)), ignored);
    socket.set_option(KeepInterval(1), ignored);
    socket.set_option(KeepCount(probes), ignored);
}

} // namespace pimentopoint
