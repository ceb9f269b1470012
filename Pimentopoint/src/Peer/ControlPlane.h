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
/// \brief Runs the tasks common to all processes: membership, document distribution, platform reads and the serving gate.
/// \details Executes the actions that Membership, PlatformReadScheduler and ServingGate decide on. Several threads run the io_context;
/// blocking platform reads and the parsing of documents from members use a separate thread pool.
class ControlPlane {
public:
    struct Hooks {
        std::function<void(const DocumentStore::ActiveDocuments&)> documentsChanged; ///< The active documents changed.
        std::function<void(const std::vector<MemberRecord>&)> membersChanged; ///< Member records changed.
        std::function<void(bool)> servingChanged; ///< The serving gate opened or closed.
        std::function<void(const PeerConnection::Pointer&, const Frame&)> frameReceived; ///< Receives frames that ControlPlane does not handle itself.
        std::function<void(ConnectionId, const std::vector<FrameTag>&)> connectionLost; ///< An outgoing connection closed; the tags identify its unsent frames.
        std::function<void(const PeerConnection::Pointer&)> connectionClosed; ///< An accepted connection closed.
        std::function<void()> tick; ///< Called every 5 ms.
        std::function<void()> superseded; ///< A process with a later incarnation uses this member's name.
    };

    ControlPlane(const Settings& settings, MemberRole role, Incarnation incarnation, Hooks hooks);
    ~ControlPlane();
    ControlPlane(const ControlPlane&) = delete;
    ControlPlane& operator=(const ControlPlane&) = delete;

    void start();
    void stop();
    /// Notifies other members that this process is leaving.
    void leave();
    /// Called after a pause of the process: closes the serving gate until a member confirms that the active documents are current
    /// or the grace period of the gate has passed.
    void handlePause();
    /// Compares the document versions in a message from \a connection with the active ones and requests newer documents.
    void handlePeerVersions(const DocumentVersions& versions, const PeerConnection::Pointer& connection);

    boost::asio::io_context& context() { return m_context; }
    PeerLinks& links() { return m_links; }
    const DocumentStore& documents() const { return m_store; }
    /// \returns the record of \a name, or nothing if the member is unknown
    std::optional<MemberRecord> member(const MemberName& name) const;
    /// \returns the document versions, the state of the gate and the members, as members of a JSON object without its braces
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
    PlatformReadScheduler m_readScheduler;
    ServingGate m_gate;
    bool m_gateWasOpen = false;
    bool m_confirmOnAdoption = false; ///< A member replied with newer versions; the gate opens when they are adopted.
    Instant m_nextDocumentRequest {};
    Instant m_nextConflictLog {};
    std::mutex m_announceMutex; ///< Held while a hook is called with changed documents or members.
    std::atomic<bool> m_stopped { false };
    std::vector<std::thread> m_threads;
};

} // namespace pimentopoint
