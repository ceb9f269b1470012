#include "MemberSocket.h"

#include "../Core/Log.h"
#include "../Peer/MalformedMessage.h"
#include "Listen.h"

#include <algorithm>

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

MemberSocket::MemberSocket(asio::io_context& context, const Clock& clock, const Endpoint& endpoint, Membership& membership, Hooks hooks)
    : m_socket(bound(context, endpoint))
    , m_clock(clock)
    , m_membership(membership)
    , m_hooks(std::move(hooks))
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
                if (size && m_datagram.front() == noticeMark) {
                    for (const TargetNotice& notice : decodeNotices({ m_datagram.data(), size }))
                        m_hooks.notice(notice);
                } else {
                    Endpoint from(m_from.address().to_string(), m_from.port());
                    perform(m_membership.receive(std::string(m_datagram.data(), size), from, m_clock.now()));
                }
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
    if (!actions.changed.empty())
        m_hooks.changed();
}

void MemberSocket::tell(const std::vector<TargetNotice>& notices)
{
    // Bounds the datagrams of a large data centre; its hosts tell different ones, so that most hear of a pause in time.
    constexpr std::size_t mostTold = 24;
    std::vector<Endpoint> hosts;
    for (const MemberRecord& member : m_membership.members()) {
        if (member.usable() && member.dataCentre() == m_membership.self().dataCentre())
            hosts.push_back(member.udp());
    }
    std::string bytes = encodeNotices(notices);
    for (std::size_t i = 0; i < std::min(mostTold, hosts.size()); ++i) {
        const Endpoint& host = hosts[m_nextTold++ % hosts.size()];
        // A lost notice costs one late request elsewhere.
        boost::system::error_code ignored;
        m_socket.send_to(asio::buffer(bytes), { asio::ip::make_address_v4(host.address()), host.port() }, 0, ignored);
    }
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
