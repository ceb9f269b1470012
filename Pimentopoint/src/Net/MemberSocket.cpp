#include "MemberSocket.h"

#include "../Core/Log.h"
#include "../Peer/Frame.h"
#include "../Peer/MalformedMessage.h"
#include "HandlerGuard.h"
#include "Listen.h"

namespace pimentopoint {

namespace asio = boost::asio;

namespace {

    asio::ip::udp::socket boundSocket(asio::io_context& context, const Endpoint& endpoint)
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
    : m_socket(boundSocket(context, endpoint))
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
    m_socket.async_receive_from(asio::buffer(m_datagram), m_sender, [this](const boost::system::error_code& error, std::size_t size) {
        if (!m_socket.is_open())
            return;
        if (!error)
            runGuarded([&] { handleDatagram(std::string(m_datagram.data(), size)); }, [this](const std::exception& failure) { logHandlerException("member socket", m_sender.address().to_string(), failure); });
        receive();
    });
}

void MemberSocket::handleDatagram(const std::string& datagram)
{
    try {
        Frame frame = Frame::parse(datagram);
        if (frame.type() == MessageType::CrashNotice) {
            m_hooks.crash(frame.decode<CrashNotice>());
            return;
        }
        if (frame.type() == MessageType::QuarantineNotice) {
            m_hooks.quarantine(frame.decode<QuarantineNotice>());
            return;
        }
        Endpoint from(m_sender.address().to_string(), m_sender.port());
        perform(m_membership.handleDatagram(datagram, from, m_clock.now()));
    } catch (const MalformedMessage& malformed) {
        Log::event(Severity::Warning, "malformed-datagram", { { "from", m_sender.address().to_string() }, { "cause", malformed.what() } });
    }
}

void MemberSocket::perform(const MembershipActions& actions)
{
    for (const auto& datagram : actions.datagrams)
        send(datagram.destination, datagram.bytes);
    for (const DataCentreName& dataCentre : actions.unreachableDataCentres)
        Log::event(Severity::Warning, "data-centre-unreachable", { { "unreachable", dataCentre }, { "cause", "none of its members replies" } });
    for (const DataCentreName& dataCentre : actions.reachableDataCentres)
        Log::event(Severity::Info, "data-centre-reachable", { { "reachable", dataCentre } });
    if (!actions.changedMembers.empty())
        m_hooks.changed();
    if (actions.requestMembersFrom)
        m_hooks.requestList(*actions.requestMembersFrom);
}

void MemberSocket::send(const Endpoint& destination, const std::string& datagram)
{
    // A datagram that can't be sent is treated as a lost one: what is sent at intervals makes up for it.
    boost::system::error_code ignored;
    m_socket.send_to(asio::buffer(datagram), { asio::ip::make_address_v4(destination.address()), destination.port() }, 0, ignored);
}

void MemberSocket::merge(const std::vector<MemberRecord>& records)
{
    perform(m_membership.merge(records, m_clock.now()));
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
