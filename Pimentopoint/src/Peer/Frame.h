/// \file
/// Encoding of messages: protocol version (2 bytes), type (1 byte) and payload; over TCP preceded by the length (4 bytes).
#pragma once

#include "../Core/util/Constants.h"
#include "Messages.h"

#include <string>
#include <string_view>

namespace pimentopoint {

/// \class Frame
/// \ingroup Peer
/// \brief A received message whose payload is not yet decoded.
class Frame {
public:
    /// \throws MalformedMessage if the protocol version or type is not supported, or the header is incomplete
    static Frame parse(std::string_view bytes);

    MessageType type() const { return m_type; }

    /// \returns the payload decoded as \c Message
    /// \throws MalformedMessage if the type differs or the payload is not exactly one message
    template <typename Message>
    Message decode() const
    {
        if (m_type != Message::type)
            throw MalformedMessage(MalformedMessage::Cause::UnknownType, "message type differs from the expected one");
        Message message;
        WireReader reader(m_payload);
        reader(message);
        if (reader.remaining())
            throw MalformedMessage(MalformedMessage::Cause::TrailingBytes, "unexpected bytes after the end of the message");
        return message;
    }

private:
    Frame(MessageType type, std::string_view payload)
        : m_type(type)
        , m_payload(payload)
    {
    }

    MessageType m_type;
    std::string m_payload;
};

/// Size of the length field before a message over TCP (bytes).
constexpr std::size_t frameLengthBytes = 4;

/// \returns the frame length in the first frameLengthBytes of \a header, which are in network byte order
/// \throws MalformedMessage if it exceeds maxFrameBytes
std::size_t frameLength(std::string_view header);

namespace internal {
    void appendMessageHeader(std::string& bytes, MessageType type);
    void setFrameLength(std::string& bytes);
} // namespace internal

/// \returns \a message encoded as one datagram
template <typename Message>
std::string encodeDatagram(const Message& message)
{
    std::string bytes;
    internal::appendMessageHeader(bytes, Message::type);
    WireWriter writer(bytes);
    writer(message);
    return bytes;
}

/// \returns \a message encoded as one frame of a TCP stream
template <typename Message>
std::string encodeFrame(const Message& message)
{
    std::string bytes(frameLengthBytes, '\0');
    internal::appendMessageHeader(bytes, Message::type);
    WireWriter writer(bytes);
    writer(message);
    internal::setFrameLength(bytes);
    return bytes;
}

} // namespace pimentopoint
