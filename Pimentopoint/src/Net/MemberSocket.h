#pragma once

#include "../Peer/Membership.h"

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <functional>
#include <vector>

namespace pimentopoint {

/// \class MemberSocket
/// \ingroup Net
/// \brief Sends and receives the datagrams of a Membership over UDP and carries out its other actions.
class MemberSocket {
public:
    struct Hooks {
        std::function<void()> changed; ///< Member records changed.
        std::function<void(const MemberRecord&)> requestList; ///< The member list of this member is to be requested.
        std::function<void(const CrashNotice&)> crash = [](const CrashNotice&) {}; ///< Another host reports a crash or a reply.
        std::function<void(const QuarantineNotice&)> quarantine = [](const QuarantineNotice&) {}; ///< Another host names quarantined requests.
    };

    /// \throws ListenFailure if \a endpoint can't be bound
    MemberSocket(boost::asio::io_context& context, const Clock& clock, const Endpoint& endpoint, Membership& membership, Hooks hooks);

    void tick();
    /// Applies the member list of another host.
    void merge(const std::vector<MemberRecord>& records);
    void leave();
    void send(const Endpoint& destination, const std::string& datagram);
    void close();

private:
    void receive();
    void handleDatagram(const std::string& datagram);
    void perform(const MembershipActions& actions);

    boost::asio::ip::udp::socket m_socket;
    const Clock& m_clock;
    Membership& m_membership;
    Hooks m_hooks;
    std::array<char, 2048> m_datagram {}; ///< Large enough for every datagram that hosts send.
    boost::asio::ip::udp::endpoint m_sender;
};

} // namespace pimentopoint
