#include "Printing.h"

#include <Pimentopoint/Core>
#include <Pimentopoint/Peer>
#include <catch2/catch.hpp>

using namespace pimentopoint;
using Cause = MalformedMessage::Cause;

namespace {

SearchBatch sampleBatch()
{
    SearchBatch batch;
    batch.sender = Incarnation(7);
    batch.remaining = 59000;
    batch.urgency = Urgency::Urgent;
    batch.snapshot = SnapshotVersion(3);
    batch.text = "copper";
    batch.subQueries.push_back({ 1, TargetId(99), KeyRange(0, 10), { Incarnation(5), 1200 } });
    batch.subQueries.push_back({ 2, TargetId(98), KeyRange(10, 20), {} });
    return batch;
}

std::string payload(const std::string& frame)
{
    return frame.substr(frameLengthBytes);
}

Cause causeOf(const std::string& bytes)
{
    try {
        Frame::parse(bytes).decode<SearchBatch>();
    } catch (const MalformedMessage& malformed) {
        return malformed.cause();
    }
    FAIL("accepted");
    return Cause::Truncated;
}

} // namespace

TEST_CASE("A decoded message has the values that were encoded")
{
    SearchBatch decoded = Frame::parse(payload(encodeFrame(sampleBatch()))).decode<SearchBatch>();
    CHECK(decoded.text == "copper");
    CHECK(decoded.urgency == Urgency::Urgent);
    REQUIRE(decoded.subQueries.size() == 2);
    CHECK(decoded.subQueries[0].hint.serviceTime == 1200);
    CHECK(decoded.subQueries[1].range == KeyRange(10, 20));
}

TEST_CASE("Every truncation of a message is rejected with MalformedMessage")
{
    std::string bytes = payload(encodeFrame(sampleBatch()));
    for (std::size_t length = 0; length < bytes.size(); ++length)
        CHECK_THROWS_AS(Frame::parse(bytes.substr(0, length)).decode<SearchBatch>(), MalformedMessage);
}

TEST_CASE("A message with one changed byte is either decoded or rejected with MalformedMessage")
{
    std::string bytes = payload(encodeFrame(sampleBatch()));
    for (std::size_t i = 0; i < bytes.size(); ++i) {
        for (int value = 0; value < 256; value += 5) {
            std::string changed = bytes;
            changed[i] = static_cast<char>(value);
            try {
                Frame::parse(changed).decode<SearchBatch>();
            } catch (const MalformedMessage&) {
            }
        }
    }
    SUCCEED();
}

TEST_CASE("A frame of another protocol version or unknown type, too long or with trailing bytes is rejected")
{
    std::string bytes = payload(encodeFrame(sampleBatch()));
    std::string otherVersion = bytes;
    otherVersion[1] = 9;
    CHECK(causeOf(otherVersion) == Cause::UnsupportedProtocolVersion);
    std::string otherType = bytes;
    otherType[2] = 77;
    CHECK(causeOf(otherType) == Cause::UnknownType);
    CHECK(causeOf(bytes + "x") == Cause::TrailingBytes);
    CHECK_THROWS_AS(frameLength("\xff\xff\xff\xff"), MalformedMessage);
    // A list size that exceeds the remaining bytes is rejected before anything is allocated.
    std::string hugeList = payload(encodeFrame(CancelBatch { Incarnation(1), {} }));
    hugeList.back() = '\x7f';
    CHECK_THROWS_AS(Frame::parse(hugeList).decode<CancelBatch>(), MalformedMessage);
}

TEST_CASE("An unresponsive connection is sent a heartbeat and then closed; a received frame resets the timeout")
{
    ManualClock clock;
    HeartbeatMonitor monitor(Duration(100), Duration(400));
    CHECK(monitor.tick(clock.now()) == HeartbeatMonitor::Action::None);
    monitor.recordSent(clock.now());
    clock.advance(Duration(150));
    CHECK(monitor.tick(clock.now()) == HeartbeatMonitor::Action::SendHeartbeat);
    CHECK(monitor.tick(clock.now()) == HeartbeatMonitor::Action::None);
    monitor.recordReceived();
    clock.advance(Duration(1000));
    CHECK(monitor.tick(clock.now()) == HeartbeatMonitor::Action::None);
    monitor.recordSent(clock.now());
    clock.advance(Duration(400));
    CHECK(monitor.tick(clock.now()) == HeartbeatMonitor::Action::Close);
}
