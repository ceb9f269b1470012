#include "Ports.h"
#include "ProcessFleet.h"

#include <Pimentopoint/Operator>
#include <Pimentopoint/Peer>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <catch2/catch.hpp>
#include <mutex>
#include <optional>
#include <thread>
#include <vector>

using namespace pimentopoint;
using namespace pimentopoint::test;

namespace {

const MemberName gatewayName("ga");

Settings makeSettings(const MemberName& name, const Endpoint& tcp)
{
    return Settings::read("name: " + name.value() + "\ndataCentre: a\nlisten: {http: " + freeEndpoint().text() + ", tcp: " + tcp.text() + ", udp: " + freeEndpoint().text()
            + "}\nmembers: []\nplatform: " + freeEndpoint().text() + "\n",
        "test");
}

ControlPlane::Hooks ignoreAll()
{
    ControlPlane::Hooks hooks;
    hooks.documentsChanged = [](const DocumentStore::ActiveDocuments&) {};
    hooks.membersChanged = [](const std::vector<MemberRecord>&) {};
    hooks.servingChanged = [](bool) {};
    hooks.frameReceived = [](const PeerConnection::Pointer&, const Frame&) {};
    hooks.connectionLost = [](ConnectionId, const std::vector<FrameTag>&) {};
    hooks.connectionClosed = [](const PeerConnection::Pointer&) {};
    hooks.tick = [] {};
    hooks.superseded = [] {};
    return hooks;
}

/// A peer that is connected to another process over TCP only, and records the member records that it receives.
class Peer {
public:
    explicit Peer(const Endpoint& endpoint)
        : m_work(boost::asio::make_work_guard(m_context))
        , m_connection(std::make_shared<PeerConnection>(
              m_context, [this](const PeerConnection::Pointer&, const Frame& frame) { handleFrame(frame); }, [](const PeerConnection::Pointer&, const std::vector<FrameTag>&) {}))
    {
        m_connection->startConnect(endpoint, std::chrono::seconds(10));
        m_thread = std::thread([this] { m_context.run(); });
    }
    ~Peer()
    {
        m_context.stop();
        m_thread.join();
    }

    void requestMembers()
    {
        MemberRecord self(MemberName("fa"), MemberRole::Front, DataCentreName("a"), Incarnation(1));
        Endpoint endpoint = freeEndpoint();
        self.setEndpoints(endpoint, endpoint, endpoint);
        m_connection->send(encodeFrame(MembersRequest { self }));
    }
    std::size_t replies() const
    {
        std::lock_guard lock(m_mutex);
        return m_replies;
    }
    std::optional<MemberState> stateOf(const MemberName& name) const
    {
        std::lock_guard lock(m_mutex);
        for (const MemberRecord& record : m_records) {
            if (record.name() == name)
                return record.state();
        }
        return std::nullopt;
    }

private:
    void handleFrame(const Frame& frame)
    {
        if (frame.type() != MessageType::MembersReply)
            return;
        std::lock_guard lock(m_mutex);
        ++m_replies;
        for (const MemberRecord& record : frame.decode<MembersReply>().members)
            m_records.push_back(record);
    }

    boost::asio::io_context m_context;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> m_work;
    PeerConnection::Pointer m_connection;
    mutable std::mutex m_mutex;
    std::size_t m_replies = 0;
    std::vector<MemberRecord> m_records;
    std::thread m_thread;
};

} // namespace

TEST_CASE("A process that leaves tells its connected peers over TCP, and those that connect later")
{
    Endpoint tcp = freeEndpoint();
    ControlPlane gateway(makeSettings(gatewayName, tcp), MemberRole::Gateway, Incarnation(1), ignoreAll());
    gateway.start();
    Peer connected(tcp);
    connected.requestMembers();
    REQUIRE(eventually([&] { return connected.replies() == 1; }));
    CHECK_FALSE(connected.stateOf(gatewayName));

    gateway.leave();
    CHECK(eventually([&] { return connected.stateOf(gatewayName) == MemberState::Leaving; }));
    Peer late(tcp);
    CHECK(eventually([&] { return late.stateOf(gatewayName) == MemberState::Leaving; }));
    gateway.stop();
}
