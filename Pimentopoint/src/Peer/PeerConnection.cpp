#include "PeerConnection.h"

#include "../Core/SystemClock.h"

#include <array>
#include <atomic>
#include <boost/asio/bind_executor.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>

namespace pimentopoint {

namespace asio = boost::asio;
using boost::system::error_code;

namespace {

    constexpr Duration heartbeatTimeout = std::chrono::milliseconds(100);
    constexpr Duration closeTimeout = std::chrono::milliseconds(400);
    /// Limit on the frames in one write.
    constexpr std::size_t maxFramesPerWrite = 64;

    ConnectionId nextConnectionId()
    {
        static std::atomic<std::uint64_t> last { 0 };
        return ConnectionId(++last);
    }

} // namespace

PeerConnection::PeerConnection(asio::io_context& context, FrameHook onFrame, ClosedHook onClosed)
    : m_context(context)
    , m_strand(asio::make_strand(context))
    , m_socket(m_strand)
    , m_onFrame(std::move(onFrame))
    , m_onClosed(std::move(onClosed))
    , m_id(nextConnectionId())
    , m_heartbeatMonitor(heartbeatTimeout, closeTimeout)
{
}

void PeerConnection::configureSocket()
{
    error_code ignored;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ignored);
    m_connected = true;
}

void PeerConnection::startAccepted()
{
    asio::post(m_strand, [self = shared_from_this()] {
        self->configureSocket();
        self->readHeader();
    });
}

void PeerConnection::startConnect(const Endpoint& endpoint, Duration timeout)
{
    auto timer = std::make_shared<asio::steady_timer>(m_context, timeout);
    auto self = shared_from_this();
    timer->async_wait(asio::bind_executor(m_strand, [self, timer](error_code error) {
        if (!error && !self->m_connected)
            self->closeOnStrand();
    }));
    asio::ip::tcp::endpoint remote(asio::ip::make_address_v4(endpoint.address()), endpoint.port());
    m_socket.async_connect(remote, asio::bind_executor(m_strand, [self, timer](error_code error) {
        timer->cancel();
        if (error || self->m_closed)
            return self->closeOnStrand();
        self->configureSocket();
        self->readHeader();
        self->write();
    }));
}

void PeerConnection::send(std::string bytes, FrameTag tag)
{
    asio::post(m_strand, [self = shared_from_this(), bytes = std::move(bytes), tag]() mutable {
        if (self->m_closed) {
            self->m_onClosed(self, { tag });
            return;
        }
        self->m_queue.push_back({ std::move(bytes), tag });
        self->write();
    });
}

void PeerConnection::close()
{
    asio::post(m_strand, [self = shared_from_this()] { self->closeOnStrand(); });
}

void PeerConnection::checkHeartbeat(Instant now)
{
    asio::post(m_strand, [self = shared_from_this(), now] {
        if (self->m_closed || !self->m_connected)
            return;
        HeartbeatMonitor::Action action = self->m_heartbeatMonitor.tick(now);
        if (action == HeartbeatMonitor::Action::Close)
            self->closeOnStrand();
        if (action == HeartbeatMonitor::Action::SendHeartbeat) {
            self->m_queue.push_back({ encodeFrame(Heartbeat { ++self->m_lastHeartbeat }), FrameTag(0) });
            self->write();
        }
    });
}

void PeerConnection::readHeader()
{
    m_header.resize(frameLengthBytes);
    auto self = shared_from_this();
    asio::async_read(m_socket, asio::buffer(m_header), asio::bind_executor(m_strand, [self](error_code error, std::size_t) {
        if (error)
            return self->closeOnStrand();
        try {
            self->readBody(frameLength(self->m_header));
        } catch (const MalformedMessage&) {
            self->closeOnStrand();
        }
    }));
}

void PeerConnection::readBody(std::size_t length)
{
    m_body.resize(length);
    auto self = shared_from_this();
    asio::async_read(m_socket, asio::buffer(m_body), asio::bind_executor(m_strand, [self](error_code error, std::size_t) {
        if (error)
            return self->closeOnStrand();
        self->handleBody();
    }));
}

void PeerConnection::handleBody()
{
    m_heartbeatMonitor.recordReceived();
    try {
        Frame frame = Frame::parse(m_body);
        if (frame.type() == MessageType::Heartbeat)
            send(encodeFrame(HeartbeatAck { frame.decode<Heartbeat>().number }));
        else if (frame.type() != MessageType::HeartbeatAck)
            m_onFrame(shared_from_this(), frame);
    } catch (const MalformedMessage&) {
        return closeOnStrand();
    }
    if (!m_closed)
        readHeader();
}

void PeerConnection::write()
{
    if (!m_connected || m_closed || !m_writing.empty() || m_queue.empty())
        return;
    std::vector<asio::const_buffer> buffers;
    while (!m_queue.empty() && m_writing.size() < maxFramesPerWrite) {
        m_writing.push_back(std::move(m_queue.front()));
        m_queue.pop_front();
    }
    for (const OutgoingFrame& outgoing : m_writing)
        buffers.push_back(asio::buffer(outgoing.bytes));
    m_heartbeatMonitor.recordSent(SystemClock().now());
    auto self = shared_from_this();
    asio::async_write(m_socket, buffers, asio::bind_executor(m_strand, [self](error_code error, std::size_t) {
        self->m_writing.clear();
        if (error)
            return self->closeOnStrand();
        self->write();
    }));
}

void PeerConnection::closeOnStrand()
{
    if (m_closed)
        return;
    m_closed = true;
    error_code ignored;
    m_socket.close(ignored);
    std::vector<FrameTag> unsent;
    for (const OutgoingFrame& outgoing : m_queue)
        unsent.push_back(outgoing.tag);
    m_queue.clear();
    m_onClosed(shared_from_this(), unsent);
}

} // namespace pimentopoint
