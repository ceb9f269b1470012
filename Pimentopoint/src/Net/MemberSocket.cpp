#include "MemberSocket.h"

#include "../Core/Log.h"
#include "../Peer/MalformedMessage.h"
#include "Listen.h"

namespace pimentopoint {

namespace asio = boost::asio;

namespace {

    asio::ip::udp::socket bound(asio::io_context& context, const Endpoint& endpoint)
    {
        asio::ip::udp::socket socket(context);
        try {
            socket.open(asio::ip::udp::v4());
            socket.bind({ asio::ip::make_address_v4(endpoint.address()), endpoint.port() });
        } catch (const boost::system::system_error& error) {
            throw ListenFailure(endpoint.text() + " (UDP): " + error.what());
        }
        return socket;
    }

} // namespace

MemberSocket::MemberSocket(asio::io_context& context, const Clock& clock, const Endpoint& endpoint, Membership& membership, std::function<void()> changed)
    : m_socket(bound(context, endpoint))
    , m_clock(clock)
    , m_membership(membership)
    , m_changed(std::move(changed))
{
    boost::system::error_code ignored;
    m_socket.non_blocking(true, ignored);
    receive();
}

void MemberSocket::receive()
{
    m_socket.async_receive_from(asio::buffer(m_datagram), m_from, [this](const boost::system::error_code& error, std::size_t size) {
        if (!m_socket.is_open())
            return;
        if (!error) {
            try {
                Endpoint from(m_from.address().to_string(), m_from.port());
                perform(m_membership.handleDatagram(std::string(m_datagram.data(), size), from, m_clock.now()));
            } catch (const MalformedMessage& malformed) {
                Log::event(Severity::Warning, "malformed-datagram", { { "from", m_from.address().to_string() }, { "cause", malformed.what() } });
            }
        }
        receive();
    });
}

void MemberSocket::perform(const MembershipActions& actions)
{
    for (const auto& datagram : actions.datagrams) {
        // A datagram that can't leave is like one that is lost: the next probe covers it.
        boost::system::error_code ignored;
        m_socket.send_to(asio::buffer(datagram.bytes), { asio::ip::make_address_v4(datagram.destination.address()), datagram.destination.port() }, 0, ignored);
    }
    if (!actions.changedMembers.empty())
        m_changed();
}

void MemberSocket::tick()
{
    perform(m_membership.tick(m_clock.now()));
}

void MemberSocket::leave()
{
    perform(m_membership.leave(m_clock.now()));
}

void MemberSocket::close()
{
    boost::system::error_code ignored;
    m_socket.close(ignored);
}

} // namespace pimentopoint
