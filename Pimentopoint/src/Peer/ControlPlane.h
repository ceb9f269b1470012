#pragma once

#include "../Core/SystemClock.h"
#include "../Operator/Settings.h"
#include "../Platform/PlatformClient.h"
#include "../Platform/PlatformReadScheduler.h"
#include "DocumentStore.h"
#include "Membership.h"
#include "PeerLinks.h"
#include "PeerServer.h"
#include "ServingGate.h"

#include <array>
#include <atomic>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/thread_pool.hpp>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace pimentopoint {

/// \class ControlPlane
/// \ingroup Peer
/// \brief What every process of the system does besides its work: membership, documents, the platform, its gate.
/// \details Carries out the actions of Membership, PlatformWatch and ServingGate with sockets and threads.
class ControlPlane {
public:
    struct Hooks {
        std::function<void(const DocumentStore::ActiveDocuments&)> documentsChanged; ///< Something new is in force.
        std::function<void(const std::vector<MemberRecord>&)> membersChanged; ///< The members changed.
        std::function<void(bool)> servingChanged; ///< The gate opened or closed.
        std::function<void(const PeerConnection::Pointer&, const Frame&)> frameReceived; ///< A frame that is not control.
        std::function<void(ConnectionId, const std::vector<FrameTag>&)> connectionLost; ///< An outgoing connection ended.
        std::function<void(const PeerConnection::Pointer&)> connectionClosed; ///< An accepted connection ended.
        std::function<void()> tick; ///< Every few milliseconds.
        std::function<void()> superseded; ///< A later process bears our name.
    };

    ControlPlane(const Settings& settings, MemberRole role, Incarnation incarnation, Hooks hooks);
    ~ControlPlane();
    ControlPlane(const ControlPlane&) = delete;
    ControlPlane& operator=(const ControlPlane&) = delete;

    void start();
    void stop();
    /// Tells members that this process leaves.
    void leave();
    /// The process stood still: closes the gate until a member confirms what is in force.
    void handlePause();
    /// Takes note of the versions on a message that came over \a connection; asks for what is newer there.
    void handlePeerVersions(const DocumentVersions& versions, const PeerConnection::Pointer& connection);

    boost::asio::io_context& context() { return m_context; }
    PeerLinks& links() { return m_links; }
    const DocumentStore& documents() const { return m_store; }
    /// \returns the record of \a name, if known
    std::optional<MemberRecord> member(const MemberName& name) const;
    /// \returns members, versions and the state of the gate as JSON
    std::string statusJson() const;

private:
    void receiveDatagram();
    void scheduleControl();
    void scheduleTick();
    void runControlCycle();
    void perform(MembershipActions actions);
    void handleFrame(const PeerConnection::Pointer& connection, const Frame& frame);
    void handleDocumentReply(const DocumentReply& reply);
    void requestDocuments(const std::function<void(std::string)>& send);
    void readPlatform(const PlatformRead& read);
    void handleOfferResult(DocumentKind kind, const OfferResult& result, const char* source);
    void announceDocuments();
    void updateGate();
    bool isPlatformWatcher() const;
    std::vector<MemberRecord> members() const;

    Settings m_settings;
    Hooks m_hooks;
    SystemClock m_clock;
    boost::asio::io_context m_context;
    boost::asio::thread_pool m_platformThreads;
    boost::asio::ip::udp::socket m_socket;
    std::array<char, 2048> m_datagram {};
    boost::asio::ip::udp::endpoint m_datagramSender;
    boost::asio::steady_timer m_controlTimer;
    boost::asio::steady_timer m_tickTimer;
    PeerServer m_server;
    PeerLinks m_links;
    PlatformClient m_platform;
    DocumentStore m_store;
    mutable std::mutex m_mutex;
    Membership m_membership;
    PlatformReadScheduler m_watch;
    ServingGate m_gate;
    bool m_gateWasOpen = false;
    bool m_confirmOnAdoption = false;
    Instant m_nextDocumentRequest {};
    Instant m_nextConflictLog {};
    std::mutex m_announceMutex;
    std::atomic<bool> m_stopped { false };
    std::vector<std::thread> m_threads;
};

} // namespace pimentopoint
