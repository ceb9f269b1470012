#include "Listen.h"

namespace pimentopoint {

namespace asio = boost::asio;

asio::ip::tcp::acceptor listenOn(asio::io_context& context, const Endpoint& endpoint)
{
    // Callers open many connections at once; a full queue delays each of them by one second.
    constexpr int backlog = 1024;
    asio::ip::tcp::acceptor acceptor(context);
    try {
        acceptor.open(asio::ip::tcp::v4());
        acceptor.set_option(asio::socket_base::reuse_address(true));
        acceptor.bind({ asio::ip::make_address_v4(endpoint.address()), endpoint.port() });
        acceptor.listen(backlog);
    } catch (const boost::system::system_error& error) {
        throw ListenFailure(endpoint.text() + ": " + error.what());
    }
    return acceptor;
}

} // namespace pimentopoint
