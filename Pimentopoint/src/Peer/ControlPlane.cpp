#include "ControlPlane.h"

#include "../Core/Log.h"
#include "Frame.h"

#include <boost/asio/post.hpp>

namespace pimentopoint {

namespace asio = boost::asio;
using asio::ip::udp;

namespace {

    constexpr Duration controlInterval = std::chrono::milliseconds(50);
    constexpr Duration tickInterval = std::chrono::milliseconds(5);
    constexpr Duration documentRequestInterval = std::chrono::milliseconds(50);
    constexpr Duration conflictLogInterval = std::chrono::seconds(10);
    constexpr std::size_t ioThreads = 3;
    /// One for the long-polling read of each document kind, and one for documents received from members meanwhile.
    constexpr std::size_t platformThreads = 3;

    MemberRecord selfRecord(const Settings& settings, MemberRole role, Incarnation incarnation)
    {
        MemberRecord record(settings.name(), role, settings.dataCentre(), incarnation);
        record.setEndpoints(settings.udp(), settings.tcp(), settings.http());
        return record;
    }

    udp::endpoint udpEndpoint(const Endpoint& endpoint)
    {
        return { asio::ip::make_address_v4(endpoint.address()), endpoint.port() };
    }

    const char* stateText(MemberState state)
    {
        constexpr std::array<const char*, 4> texts { "alive", "suspect", "leaving", "dead" };
        return texts.at(static_cast<std::size_t>(state));
    }

} // namespace

ControlPlane::ControlPlane(const Settings& settings, MemberRole role, Incarnation incarnation, Hooks hooks)
    : m_settings(settings)
    , m_hooks(std::move(hooks))
    , m_platformThreads(platformThreads)
    , m_socket(m_context, udpEndpoint(settings.udp()))
    , m_controlTimer(m_context)
    , m_tickTimer(m_context)
    , m_server(
          m_context, settings.tcp(), [this](const PeerConnection::Pointer& connection, const Frame& frame) { handleFrame(connection, frame); },
          [this](const PeerConnection::Pointer& connection, const std::vector<FrameTag>&) { m_hooks.connectionClosed(connection); })
    , m_links(
          m_context, [this](const PeerConnection::Pointer& connection, const Frame& frame) { handleFrame(connection, frame); },
          [this](ConnectionId connection, const std::vector<FrameTag>& unsent) { m_hooks.connectionLost(connection, unsent); })
    , m_platform(settings.platform())
    , m_membership(selfRecord(settings, role, incarnation), settings.seeds(), MembershipTiming(), incarnation.value())
    , m_readScheduler(PlatformTiming(), incarnation.value(), m_clock.now())
{
}

ControlPlane::~ControlPlane()
{
    stop();
}

void ControlPlane::start()
{
    {
        std::lock_guard lock(m_mutex);
        m_gate.close(m_clock.now());
        m_membership.revalidate(m_clock.now());
    }
    m_server.start();
    m_links.start();
    receiveDatagram();
    scheduleControl();
    scheduleTick();
    for (std::size_t i = 0; i < ioThreads; ++i)
        m_threads.emplace_back([this] { m_context.run(); });
}

void ControlPlane::stop()
{
    if (m_stopped.exchange(true))
        return;
    m_platform.cancel();
    m_context.stop();
    for (std::thread& thread : m_threads)
        thread.join();
    m_platformThreads.join();
}

void ControlPlane::receiveDatagram()
{
    m_socket.async_receive_from(asio::buffer(m_datagram), m_datagramSender, [this](const boost::system::error_code& error, std::size_t size) {
        if (error == asio::error::operation_aborted)
            return;
        if (!error) {
            Endpoint from(m_datagramSender.address().to_string(), m_datagramSender.port());
            MembershipActions actions;
            try {
                std::lock_guard lock(m_mutex);
                actions = m_membership.handleDatagram(std::string(m_datagram.data(), size), from, m_clock.now());
            } catch (const MalformedMessage& malformed) {
                Log::event(Severity::Warning, "malformed-datagram", { { "from", from.text() }, { "cause", malformed.what() } });
            }
            perform(std::move(actions));
        }
        receiveDatagram();
    });
}

void ControlPlane::scheduleControl()
{
    m_controlTimer.expires_after(controlInterval);
    m_controlTimer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        runControlCycle();
        scheduleControl();
    });
}

void ControlPlane::scheduleTick()
{
    m_tickTimer.expires_after(tickInterval);
    m_tickTimer.async_wait([this](const boost::system::error_code& error) {
        if (error)
            return;
        m_hooks.tick();
        scheduleTick();
    });
}

bool ControlPlane::isPlatformWatcher() const
{
    return PlatformReadScheduler::isWatcher(m_membership.self(), m_membership.members(), PlatformTiming().watchersPerDataCentre);
}

void ControlPlane::runControlCycle()
{
    MembershipActions actions;
    std::vector<PlatformRead> reads;
    {
        std::lock_guard lock(m_mutex);
        Instant now = m_clock.now();
        actions = m_membership.tick(now);
        reads = m_readScheduler.startDueReads(now, isPlatformWatcher());
        m_gate.tick(now, m_store.version(DocumentKind::Configuration) != 0);
    }
    perform(std::move(actions));
    updateGate();
    for (const PlatformRead& read : reads)
        asio::post(m_platformThreads, [this, read] { readPlatform(read); });
}

void ControlPlane::readPlatform(const PlatformRead& read)
{
    PlatformClient::Reply reply = m_platform.read(read, m_store.version(read.kind));
    if (m_stopped)
        return;
    {
        std::lock_guard lock(m_mutex);
        m_readScheduler.recordResult(read.kind, reply.result, m_clock.now(), isPlatformWatcher());
    }
    if (reply.result == PlatformReadScheduler::Result::Newer)
        handleOfferResult(read.kind, m_store.offer(read.kind, reply.text), "platform");
}

void ControlPlane::handleOfferResult(DocumentKind kind, const OfferResult& result, const char* source)
{
    const char* document = kind == DocumentKind::Configuration ? "configuration" : "hosts";
    if (result.adoption == Adoption::Adopted) {
        Log::event(Severity::Info, "document-adopted", { { "document", document }, { "version", m_store.version(kind) }, { "source", source } });
        announceDocuments();
    } else if (result.adoption == Adoption::Conflict || result.adoption == Adoption::Rejected) {
        Log::event(Severity::Error, result.adoption == Adoption::Conflict ? "document-conflict" : "document-refused",
            { { "document", document }, { "source", source }, { "cause", result.detail } });
    }
}

void ControlPlane::announceDocuments()
{
    {
        std::lock_guard announce(m_announceMutex);
        m_hooks.documentsChanged(m_store.activeDocuments());
    }
    MembershipActions actions;
    {
        std::lock_guard lock(m_mutex);
        actions = m_membership.setVersions(m_store.versions(), m_clock.now());
        if (m_confirmOnAdoption) {
            m_gate.confirm(m_store.version(DocumentKind::Configuration) != 0);
            m_confirmOnAdoption = false;
        }
    }
    perform(std::move(actions));
    updateGate();
}

void ControlPlane::updateGate()
{
    bool open = false;
    {
        std::lock_guard lock(m_mutex);
        open = m_gate.isOpen();
        if (open == m_gateWasOpen)
            return;
        m_gateWasOpen = open;
    }
    Log::event(Severity::Info, open ? "serving" : "not-serving");
    m_hooks.servingChanged(open);
}

void ControlPlane::handlePause()
{
    Log::event(Severity::Warning, "process-paused");
    MembershipActions actions;
    {
        std::lock_guard lock(m_mutex);
        m_gate.close(m_clock.now());
        m_gateWasOpen = false;
        m_confirmOnAdoption = false;
        actions = m_membership.revalidate(m_clock.now());
    }
    asio::post(m_context, [this, actions = std::move(actions)]() mutable { perform(std::move(actions)); });
}

void ControlPlane::perform(MembershipActions actions)
{
    for (const MembershipActions::Datagram& datagram : actions.datagrams) {
        boost::system::error_code ignored;
        m_socket.send_to(asio::buffer(datagram.bytes), udpEndpoint(datagram.destination), 0, ignored);
    }
    if (actions.requestDocumentsFrom) {
        Endpoint endpoint = actions.requestDocumentsFrom->tcp();
        requestDocuments([this, endpoint](std::string frame) { m_links.send(endpoint, std::move(frame)); });
    }
    if (actions.requestMembersFrom) {
        MembersRequest request { m_membership.self() };
        m_links.send(actions.requestMembersFrom->tcp(), encodeFrame(request));
    }
    if (actions.confirmed) {
        {
            std::lock_guard lock(m_mutex);
            if (actions.requestDocumentsFrom)
                m_confirmOnAdoption = true;
            else
                m_gate.confirm(m_store.version(DocumentKind::Configuration) != 0);
        }
        updateGate();
    }
    if (!actions.changedMembers.empty()) {
        // Of two threads that announce changes, the later one announces the later list.
        std::lock_guard announce(m_announceMutex);
        m_hooks.membersChanged(members());
    }
    for (const DataCentreName& dataCentre : actions.unreachableDataCentres)
        Log::event(Severity::Warning, "data-centre-unreachable", { { "unreachable", dataCentre }, { "cause", "none of its members replies" } });
    for (const DataCentreName& dataCentre : actions.reachableDataCentres)
        Log::event(Severity::Info, "data-centre-reachable", { { "reachable", dataCentre } });
    for (const MemberRecord& record : actions.changedMembers)
        Log::event(Severity::Info, "member-changed", { { "member", record.name() }, { "state", stateText(record.state()) }, { "incarnation", record.incarnation() } });
    if (actions.documentConflict && m_clock.now() >= m_nextConflictLog) {
        m_nextConflictLog = m_clock.now() + conflictLogInterval;
        Log::event(Severity::Error, "document-conflict", { { "source", "member" } });
    }
    if (actions.superseded) {
        Log::event(Severity::Error, "superseded");
        m_hooks.superseded();
    }
}

void ControlPlane::requestDocuments(const std::function<void(std::string)>& send)
{
    {
        std::lock_guard lock(m_mutex);
        if (m_clock.now() < m_nextDocumentRequest)
            return;
        m_nextDocumentRequest = m_clock.now() + documentRequestInterval;
    }
    send(encodeFrame(m_store.request(DocumentKind::Configuration)));
    send(encodeFrame(m_store.request(DocumentKind::Hosts)));
}

void ControlPlane::handlePeerVersions(const DocumentVersions& versions, const PeerConnection::Pointer& connection)
{
    if (versions.newerThan(m_store.versions()))
        requestDocuments([&connection](std::string frame) { connection->send(std::move(frame)); });
}

void ControlPlane::handleFrame(const PeerConnection::Pointer& connection, const Frame& frame)
{
    switch (frame.type()) {
    case MessageType::DocumentRequest:
        connection->send(encodeFrame(m_store.reply(frame.decode<DocumentRequest>())));
        return;
    case MessageType::DocumentReply:
        handleDocumentReply(frame.decode<DocumentReply>());
        return;
    case MessageType::MembersRequest: {
        MembersRequest request = frame.decode<MembersRequest>();
        connection->send(encodeFrame(MembersReply { members() }));
        std::unique_lock lock(m_mutex);
        MembershipActions actions = m_membership.handleIntroduction(request.self, m_clock.now());
        lock.unlock();
        perform(std::move(actions));
        return;
    }
    case MessageType::MembersReply: {
        MembersReply reply = frame.decode<MembersReply>();
        std::unique_lock lock(m_mutex);
        MembershipActions actions = m_membership.merge(reply.members, m_clock.now());
        lock.unlock();
        perform(std::move(actions));
        return;
    }
    default:
        m_hooks.frameReceived(connection, frame);
    }
}

void ControlPlane::handleDocumentReply(const DocumentReply& reply)
{
    if (reply.pieces.empty())
        return;
    asio::post(m_platformThreads, [this, reply] { handleOfferResult(reply.kind, m_store.accept(reply), "member"); });
}

void ControlPlane::leave()
{
    MembershipActions actions;
    MemberRecord self;
    {
        std::lock_guard lock(m_mutex);
        actions = m_membership.leave(m_clock.now());
        self = m_membership.self();
    }
    perform(std::move(actions));
    // Peers with an open connection may send at any moment, and a datagram may be lost or reach them late by way of other members.
    m_server.announce(encodeFrame(MembersReply { { self } }));
}

std::vector<MemberRecord> ControlPlane::members() const
{
    std::lock_guard lock(m_mutex);
    return m_membership.members();
}

std::optional<MemberRecord> ControlPlane::member(const MemberName& name) const
{
    std::lock_guard lock(m_mutex);
    const MemberRecord* record = m_membership.member(name);
    return record ? std::optional(*record) : std::nullopt;
}

std::string ControlPlane::statusJson() const
{
    DocumentVersions versions = m_store.versions();
    std::lock_guard lock(m_mutex);
    std::string text = "\"name\":" + quoteJson(m_settings.name().value()) + ",\"dataCentre\":" + quoteJson(m_settings.dataCentre().value())
        + ",\"incarnation\":" + std::to_string(m_membership.self().incarnation().value()) + ",\"serving\":" + (m_gate.isOpen() ? "true" : "false")
        + ",\"configuration\":" + std::to_string(versions.configuration().value()) + ",\"hosts\":" + std::to_string(versions.hosts().value())
        + ",\"members\":[";
    const char* separator = "";
    for (const MemberRecord& record : m_membership.members()) {
        text += separator + ("{\"name\":" + quoteJson(record.name().value())) + ",\"role\":\"" + (record.role() == MemberRole::Front ? "front" : "gateway")
            + "\",\"dataCentre\":" + quoteJson(record.dataCentre().value()) + ",\"state\":\"" + stateText(record.state()) + "\",\"incarnation\":"
            + std::to_string(record.incarnation().value()) + "}";
        separator = ",";
    }
    return text + "]";
}

} // namespace pimentopoint
