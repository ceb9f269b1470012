/// \file
/// Encoding of messages: protocol version, type byte, payload; over TCP behind a length.
#pragma once

#include "../Core/util/Constants.h"
#include "Messages.h"

#include <string>
#include <string_view>

namespace pimentopoint {

/// \class Frame
/// \ingroup Peer
/// \brief A received message before its payload is decoded.
class Frame {
public:
    /// \throws MalformedMessage for another protocol version, an unknown type or too few bytes
    static Frame parse(std::string_view bytes);

    MessageType type() const { return m_type; }

    /// \returns the payload decoded as \c Message
    /// \throws MalformedMessage if it is not exactly one
    template <typename Message>
    Message decode() const
    {
        if (m_type != Message::type)
            throw MalformedMessage(MalformedMessage::Cause::UnknownType, "another message type was expected");
        Message message;
        WireReader reader(m_payload);
        reader(message);
        if (reader.remaining())
            throw MalformedMessage(MalformedMessage::Cause::TrailingBytes, "bytes follow the message");
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

/// Bytes of the length in front of a message over TCP.
constexpr std::size_t frameLengthBytes = 4;

/// \returns the length that the first frameLengthBytes of \a header give, in network order
/// \throws MalformedMessage if it exceeds maxFrameBytes
std::size_t frameLength(std::string_view header);

namespace internal {
    void appendMessageHeader(std::string& bytes, MessageType type);
    void setFrameLength(std::string& bytes);
} // namespace internal

/// \returns \a message as one datagram
template <typename Message>
std::string encodeDatagram(const Message& message)
{
    std::string bytes;
    internal::appendMessageHeader(bytes, Message::type);
    WireWriter writer(bytes);
    writer(message);
    return bytes;
}

/// \returns \a message as one frame of a TCP stream
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
