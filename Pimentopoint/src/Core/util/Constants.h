/// \file
/// Constants shared by all modules, each with its unit.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace pimentopoint {

/// One past the largest key of an index (keys).
constexpr std::uint64_t keySpaceEnd = std::uint64_t(1) << 32;
/// Largest document that the platform may hold (bytes).
constexpr std::size_t maxDocumentBytes = 1 << 20;
/// Largest body accepted from a caller (bytes).
constexpr std::size_t maxRequestBytes = 64 << 10;
/// Largest body accepted from a target (bytes).
constexpr std::size_t maxTargetReplyBytes = 4 << 20;
/// Largest frame between processes over TCP (bytes, header excluded).
constexpr std::size_t maxFrameBytes = 16 << 20;
/// Largest datagram between processes over UDP (bytes).
constexpr std::size_t maxDatagramBytes = 1400;
/// Deepest nesting accepted in a document (levels).
constexpr int maxDocumentDepth = 16;
/// Most nodes accepted in a document.
constexpr std::size_t maxDocumentNodes = 400000;
/// Version of the protocol between processes; peers of another version are refused.
constexpr std::uint16_t protocolVersion = 2;
/// Longest deadline that a caller may ask for.
constexpr std::chrono::microseconds maxDeadline = std::chrono::seconds(10);
/// Step between two events of one loop that is taken for a pause of the process.
constexpr std::chrono::microseconds pauseThreshold = std::chrono::milliseconds(400);

} // namespace pimentopoint
