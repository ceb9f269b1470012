#pragma once

#include "../Peer/Membership.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>

namespace pimentopoint {

/// \class MemberSocket
/// \ingroup Net
/// \brief Sends and receives the datagrams of a Membership over UDP.
class MemberSocket {
public:
    /// \throws ListenFailure if \a endpoint can't be bound
    MemberSocket(boost::asio::io_context& context, const Clock& clock, const Endpoint& endpoint, Membership& membership, std::function<void()> onChanged);

    void tick();
    void leave();
    void close();

private:
    void receive();
    void perform(const MembershipActions& actions);

    boost::asio::ip::udp::socket m_socket;
    const Clock& m_clock;
    Membership& m_membership;
    std::function<void()> m_onChanged;
    std::array<char, 2048> m_datagram {}; ///< Large enough for every datagram that hosts send.
    boost::asio::ip::udp::endpoint m_sender;
};

} // namespace pimentopoint
