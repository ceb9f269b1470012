#include "SocketOptions.h"

#include <algorithm>
#include <netinet/tcp.h>

namespace pimentopoint {

namespace asio = boost::asio;

void setUpSocket(asio::ip::tcp::socket& socket, Duration timeout, bool probe)
{
    using UserTimeout = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_USER_TIMEOUT>;
    using KeepIdle = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPIDLE>;
    using KeepInterval = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPINTVL>;
    using KeepCount = asio::detail::socket_option::integer<IPPROTO_TCP, TCP_KEEPCNT>;
    // These calls fail if the peer has disconnected; the next read or write reports that.
    boost::system::error_code ignored;
    socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    socket.set_option(UserTimeout(static_cast<int>(std::chrono::duration_cast<std::chrono::milliseconds>(timeout).count())), ignored);
    if (!probe)
        return;
    constexpr int probes = 2;
    auto seconds = static_cast<int>(std::chrono::duration_cast<std::chrono::seconds>(timeout).count());
    socket.set_option(asio::socket_base::keep_alive(true), ignored);
    socket.set_option(KeepIdle(std::max(1, seconds / 2)), ignored);
    socket.set_option(KeepInterval(1), ignored);
    socket.set_option(KeepCount(probes), ignored);
}

} // namespace pimentopoint
