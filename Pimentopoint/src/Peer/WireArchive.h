/// \file
/// cereal archives of the protocol between processes. Integers are base-128 varints, and every size is bounded.
#pragma once

#include "MalformedMessage.h"

#include <cereal/cereal.hpp>
#include <cereal/types/vector.hpp>
#include <string>
#include <string_view>
#include <type_traits>

namespace pimentopoint {

/// \class WireWriter
/// \ingroup Peer
/// \brief Appends encoded values to a string of bytes.
class WireWriter : public cereal::OutputArchive<WireWriter, cereal::AllowEmptyClassElision> {
public:
    explicit WireWriter(std::string& bytes)
        : cereal::OutputArchive<WireWriter, cereal::AllowEmptyClassElision>(this)
        , m_bytes(bytes)
    {
    }

    void writeVarint(std::uint64_t value)
    {
        constexpr std::uint64_t continuation = 0x80;
        while (value >= continuation) {
            m_bytes.push_back(static_cast<char>(value | continuation));
            value >>= 7;
        }
        m_bytes.push_back(static_cast<char>(value));
    }
    void writeBytes(std::string_view bytes) { m_bytes.append(bytes); }

private:
    std::string& m_bytes;
};

/// \class WireReader
/// \ingroup Peer
/// \brief Decodes values from bytes that it does not own.
/// \throws MalformedMessage when the bytes end early or a size exceeds the remaining bytes
class WireReader : public cereal::InputArchive<WireReader, cereal::AllowEmptyClassElision> {
public:
    explicit WireReader(std::string_view bytes)
        : cereal::InputArchive<WireReader, cereal::AllowEmptyClassElision>(this)
        , m_bytes(bytes)
    {
    }

    std::uint64_t readVarint()
    {
        constexpr int maxShift = 63;
        std::uint64_t value = 0;
        for (int shift = 0; shift <= maxShift; shift += 7) {
            if (m_bytes.empty())
                throw MalformedMessage(MalformedMessage::Cause::Truncated, "message is truncated inside an integer");
            auto byte = static_cast<unsigned char>(m_bytes.front());
            m_bytes.remove_prefix(1);
            value |= static_cast<std::uint64_t>(byte & 0x7f) << shift;
            if (!(byte & 0x80))
                return value;
        }
        throw MalformedMessage(MalformedMessage::Cause::InvalidValue, "integer must not exceed 64 bits");
    }

    /// \returns the number of elements of a list; more elements than remaining bytes are rejected, as each takes at least one byte
    std::uint64_t readSize()
    {
        constexpr std::uint64_t maxElements = 100000;
        std::uint64_t size = readVarint();
        if (size > m_bytes.size() || size > maxElements)
            throw MalformedMessage(MalformedMessage::Cause::Truncated, "list of " + std::to_string(size) + " elements exceeds the remaining " + std::to_string(m_bytes.size()) + " bytes or the limit of " + std::to_string(maxElements));
        return size;
    }

    std::string_view readBytes()
    {
        std::uint64_t size = readVarint();
        if (size > m_bytes.size())
            throw MalformedMessage(MalformedMessage::Cause::Truncated, "message is truncated inside a string");
        std::string_view bytes = m_bytes.substr(0, size);
        m_bytes.remove_prefix(size);
        return bytes;
    }

    std::size_t remaining() const { return m_bytes.size(); }

private:
    std::string_view m_bytes;
};

template <typename Number>
std::enable_if_t<std::is_arithmetic_v<Number>> CEREAL_SAVE_FUNCTION_NAME(WireWriter& writer, const Number& number)
{
    static_assert(std::is_integral_v<Number> && (std::is_unsigned_v<Number> || std::is_same_v<Number, bool>));
    writer.writeVarint(number);
}

template <typename Number>
std::enable_if_t<std::is_arithmetic_v<Number>> CEREAL_LOAD_FUNCTION_NAME(WireReader& reader, Number& number)
{
    static_assert(std::is_integral_v<Number> && (std::is_unsigned_v<Number> || std::is_same_v<Number, bool>));
    std::uint64_t value = reader.readVarint();
    number = static_cast<Number>(value);
    if (static_cast<std::uint64_t>(number) != value)
        throw MalformedMessage(MalformedMessage::Cause::InvalidValue, "integer is out of range for its type");
}

inline void CEREAL_SAVE_FUNCTION_NAME(WireWriter& writer, const std::string& text)
{
    writer.writeVarint(text.size());
    writer.writeBytes(text);
}

inline void CEREAL_LOAD_FUNCTION_NAME(WireReader& reader, std::string& text)
{
    text = std::string(reader.readBytes());
}

template <typename Size>
void CEREAL_SAVE_FUNCTION_NAME(WireWriter& writer, const cereal::SizeTag<Size>& tag)
{
    writer.writeVarint(tag.size);
}

template <typename Size>
void CEREAL_LOAD_FUNCTION_NAME(WireReader& reader, cereal::SizeTag<Size>& tag)
{
    tag.size = reader.readSize();
}

/// \brief Serializes an enumeration value and rejects values above \a last.
template <typename Archive, typename Enumeration>
void serializeEnumeration(Archive& archive, Enumeration& value, Enumeration last)
{
    auto number = static_cast<std::uint8_t>(value);
    archive(number);
    if (number > static_cast<std::uint8_t>(last))
        throw MalformedMessage(MalformedMessage::Cause::InvalidValue, "enumeration value is " + std::to_string(number) + ", allowed are up to " + std::to_string(static_cast<std::uint8_t>(last)));
    value = static_cast<Enumeration>(number);
}

} // namespace pimentopoint

CEREAL_SETUP_ARCHIVE_TRAITS(pimentopoint::WireReader, pimentopoint::WireWriter)
