/// \file
/// Constants shared by all modules, each with its unit.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace pimentopoint {

/// End of the key space, one past the largest key of an index.
constexpr std::uint64_t keySpaceEnd = std::uint64_t(1) << 32;
/// Largest document accepted from the platform (bytes).
constexpr std::size_t maxDocumentBytes = 1 << 20;
/// Largest body accepted from a caller (bytes).
constexpr std::size_t maxRequestBytes = 64 << 10;
/// Largest body accepted from a target (bytes).
constexpr std::size_t maxTargetReplyBytes = 4 << 20;
/// Largest frame between processes over TCP (bytes, without header).
constexpr std::size_t maxFrameBytes = 16 << 20;
/// Largest datagram between processes over UDP (bytes).
constexpr std::size_t maxDatagramBytes = 1400;
/// Largest nesting depth accepted in a document (levels).
constexpr int maxDocumentDepth = 16;
/// Largest number of YAML nodes accepted in a document.
constexpr std::size_t maxDocumentNodes = 400000;
/// Version of the protocol between processes; peers with another version are rejected.
constexpr std::uint16_t protocolVersion = 2;
/// Longest deadline that a caller may request.
constexpr std::chrono::microseconds maxDeadline = std::chrono::seconds(10);
/// Time between two successive ticks of an event loop above which the process is assumed to have been paused.
constexpr std::chrono::microseconds pauseThreshold = std::chrono::milliseconds(400);

} // namespace pimentopoint
