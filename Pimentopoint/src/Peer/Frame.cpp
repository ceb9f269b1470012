#include "Frame.h"

namespace pimentopoint {

namespace {

    constexpr std::size_t messageHeaderBytes = 3;

    bool isKnownType(std::uint8_t type)
    {
        bool overTcp = type >= static_cast<std::uint8_t>(MessageType::SearchBatch) && type <= static_cast<std::uint8_t>(MessageType::HeartbeatAck);
        bool overUdp = type >= static_cast<std::uint8_t>(MessageType::Probe) && type <= static_cast<std::uint8_t>(MessageType::QuarantineNotice);
        return overTcp || overUdp;
    }

    std::uint8_t byteAt(std::string_view bytes, std::size_t index)
    {
        return static_cast<std::uint8_t>(bytes[index]);
    }

} // namespace

Frame Frame::parse(std::string_view bytes)
{
    if (bytes.size() < messageHeaderBytes)
        throw MalformedMessage(MalformedMessage::Cause::Truncated, "message of " + std::to_string(bytes.size()) + " bytes is shorter than its header of " + std::to_string(messageHeaderBytes));
    unsigned version = byteAt(bytes, 0) << 8U | byteAt(bytes, 1);
    if (version != protocolVersion)
        throw MalformedMessage(MalformedMessage::Cause::UnsupportedProtocolVersion, "protocol version is " + std::to_string(version) + ", supported is " + std::to_string(protocolVersion));
    std::uint8_t type = byteAt(bytes, 2);
    if (!isKnownType(type))
        throw MalformedMessage(MalformedMessage::Cause::UnknownType, "unknown message type " + std::to_string(type));
    return { static_cast<MessageType>(type), bytes.substr(messageHeaderBytes) };
}

std::size_t frameLength(std::string_view header)
{
    std::size_t length = 0;
    for (std::size_t i = 0; i < frameLengthBytes; ++i)
        length = length << 8U | byteAt(header, i);
    if (length > maxFrameBytes)
        throw MalformedMessage(MalformedMessage::Cause::TooLong, "frame of " + std::to_string(length) + " bytes, allowed are up to " + std::to_string(maxFrameBytes));
    return length;
}

namespace internal {

    void appendMessageHeader(std::string& bytes, MessageType type)
    {
        bytes.push_back(static_cast<char>(protocolVersion >> 8U));
        bytes.push_back(static_cast<char>(protocolVersion & 0xffU));
        bytes.push_back(static_cast<char>(type));
    }

    void setFrameLength(std::string& bytes)
    {
        std::size_t length = bytes.size() - frameLengthBytes;
        if (length > maxFrameBytes)
            throw MalformedMessage(MalformedMessage::Cause::TooLong, "frame of " + std::to_string(length) + " bytes, allowed are up to " + std::to_string(maxFrameBytes));
        for (std::size_t i = 0; i < frameLengthBytes; ++i)
            bytes[i] = static_cast<char>(length >> (8 * (frameLengthBytes - 1 - i)));
    }

} // namespace internal

} // namespace pimentopoint
