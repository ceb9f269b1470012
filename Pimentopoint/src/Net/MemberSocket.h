#pragma once

#include "../Peer/Membership.h"
#include "../Serve/TargetNotice.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>

namespace pimentopoint {

/// \class MemberSocket
/// \ingroup Net
/// \brief Carries the datagrams of a Membership.
class MemberSocket {
public:
    struct Hooks {
        std::function<void()> changed; ///< Of some member's record.
        std::function<void(const TargetNotice&)> notice; ///< Of another host.
    };

    /// \throws ListenFailure
    MemberSocket(boost::asio::io_context& context, const Clock& clock, const Endpoint& endpoint, Membership& membership, Hooks hooks);

    void tick();
    void leave();
    /// Tells the hosts of the own data centre, or a number of them in turn if they are many.
    void tell(const std::vector<TargetNotice>& notices);
    void close();

private:
    void receive();
    void perform(const MembershipActions& actions);

    boost::asio::ip::udp::socket m_socket;
    const Clock& m_clock;
    Membership& m_membership;
    Hooks m_hooks;
    std::array<char, 2048> m_datagram {}; ///< Longer ones are none of ours.
    boost::asio::ip::udp::endpoint m_from;
    std::size_t m_nextTold = 0;
};

} // namespace pimentopoint
