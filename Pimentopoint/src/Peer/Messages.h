/// \file
/// Messages between processes; docs/PROTOCOLS.md describes their encoding.
#pragma once

#include "../Core/AttemptId.h"
#include "../Core/Clock.h"
#include "../Core/Ids.h"
#include "../Core/KeyRange.h"
#include "../Core/Outcome.h"
#include "../Operator/SearchFront.h"
#include "DocumentVersions.h"
#include "MemberRecord.h"
#include "WireArchive.h"

#include <string>
#include <vector>

namespace pimentopoint {

/// Type byte of a message.
enum class MessageType : std::uint8_t {
    SearchBatch = 1,
    ReplyBatch = 2,
    CancelBatch = 3,
    DocumentRequest = 4,
    DocumentReply = 5,
    MembersRequest = 6,
    MembersReply = 7,
    TicketedRequest = 8,
    TicketedReply = 9,
    Heartbeat = 10,
    HeartbeatAck = 11,
    Probe = 20,
    ProbeAck = 21,
    IndirectProbe = 22,
    Notice = 23,
    CrashNotice = 24,
    QuarantineNotice = 25,
};

/// Evidence that a target is warm: its incarnation and expected service time (microseconds).
struct WarmthHint {
    Incarnation incarnation;
    std::uint32_t serviceTime = 0;

    template <typename Archive>
    void serialize(Archive& archive) { archive(incarnation, serviceTime); }
};

/// One sub-query of a query: a key range to search at one target.
struct SubQuery {
    std::uint64_t attempt = 0;
    TargetId target;
    KeyRange range;
    WarmthHint hint;

    template <typename Archive>
    void serialize(Archive& archive) { archive(attempt, target, range, hint); }
};

/// Sub-queries of one query that are sent to one gateway.
struct SearchBatch {
    static constexpr MessageType type = MessageType::SearchBatch;
    DocumentVersions versions;
    Incarnation sender;
    std::uint64_t remaining = 0; ///< Time left to the deadline (microseconds).
    Urgency urgency = Urgency::Ordinary;
    bool idempotent = true;
    SnapshotVersion snapshot;
    std::string text;
    std::vector<SubQuery> subQueries;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(versions, sender, remaining, idempotent, snapshot, text, subQueries);
        serializeEnumeration(archive, urgency, Urgency::Urgent);
    }
};

/// Outcome of one sub-query.
struct SubReply {
    std::uint64_t attempt = 0;
    Outcome outcome = Outcome::NotRun;
    NotRunReason notRunReason = NotRunReason::None;
    UnknownReason unknownReason = UnknownReason::None;
    bool reachedTarget = false; ///< Whether the sub-query reached the target.
    SnapshotVersion snapshot; ///< Snapshot version that the target served.
    std::vector<KeyRange> covered; ///< Key ranges for which the hits are complete.
    std::string hits; ///< JSON array of the hits.
    std::uint32_t queued = 0; ///< Sub-queries queued for the target at the gateway.
    bool cold = false; ///< Whether the gateway treats the target as cold.
    WarmthHint warmth; ///< Evidence that the target is warm; empty while it is cold.

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(attempt, reachedTarget, snapshot, covered, hits, queued, cold, warmth);
        serializeEnumeration(archive, outcome, Outcome::Unknown);
        serializeEnumeration(archive, notRunReason, NotRunReason::Cancelled);
        serializeEnumeration(archive, unknownReason, UnknownReason::InvalidReply);
    }
};

/// Replies to sub-queries of one front incarnation.
struct ReplyBatch {
    static constexpr MessageType type = MessageType::ReplyBatch;
    DocumentVersions versions;
    Incarnation sender; ///< Incarnation of the front that sent the attempts.
    std::vector<SubReply> replies;

    template <typename Archive>
    void serialize(Archive& archive) { archive(versions, sender, replies); }
};

/// Attempts whose replies the front no longer needs.
struct CancelBatch {
    static constexpr MessageType type = MessageType::CancelBatch;
    Incarnation sender;
    std::vector<std::uint64_t> attempts;

    template <typename Archive>
    void serialize(Archive& archive) { archive(sender, attempts); }
};

/// Kind of a published document.
enum class DocumentKind : std::uint8_t {
    Configuration,
    Hosts,
};

/// Requests a document later than \c knownVersion; \c knownDigests identifies the pieces that the sender already has.
struct DocumentRequest {
    static constexpr MessageType type = MessageType::DocumentRequest;
    DocumentKind kind = DocumentKind::Configuration;
    std::uint64_t knownVersion = 0;
    std::vector<Digest> knownDigests;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(knownVersion, knownDigests);
        serializeEnumeration(archive, kind, DocumentKind::Hosts);
    }
};

/// A document as a list of pieces; for a piece that the requester already has, only the digest is sent.
struct DocumentReply {
    static constexpr MessageType type = MessageType::DocumentReply;
    struct Piece {
        Digest digest;
        std::string text;

        template <typename Archive>
        void serialize(Archive& archive) { archive(digest, text); }
    };

    DocumentKind kind = DocumentKind::Configuration;
    std::uint64_t version = 0;
    Digest digest;
    std::vector<Piece> pieces;

    template <typename Archive>
    void serialize(Archive& archive)
    {
        archive(version, digest, pieces);
        serializeEnumeration(archive, kind, DocumentKind::Hosts);
    }
};

/// Requests the records of all members.
struct MembersRequest {
    static constexpr MessageType type = MessageType::MembersRequest;
    MemberRecord self;

    template <typename Archive>
    void serialize(Archive& archive) { archive(self); }
};

/// Records of all members known to the sender.
struct MembersReply {
    static constexpr MessageType type = MessageType::MembersReply;
    std::vector<MemberRecord> members;

    template <typename Archive>
    void serialize(Archive& archive) { archive(members); }
};

/// A request with a ticket, forwarded to the front that issued the ticket.
struct TicketedRequest {
    static constexpr MessageType type = MessageType::TicketedRequest;
    std::uint64_t correlationId = 0; ///< Assigned by the sender and returned in the reply.
    std::string ticket;
    SearchFrontName searchFront;
    std::string text;
    std::uint64_t remaining = 0; ///< Time left to the deadline (microseconds).

    template <typename Archive>
    void serialize(Archive& archive) { archive(correlationId, ticket, searchFront, text, remaining); }
};

/// Reply to a TicketedRequest, in the form that the caller receives.
struct TicketedReply {
    static constexpr MessageType type = MessageType::TicketedReply;
    std::uint64_t correlationId = 0;
    std::uint32_t status = 0;
    std::string body;

    template <typename Archive>
    void serialize(Archive& archive) { archive(correlationId, status, body); }
};

/// Requests a HeartbeatAck, to check that the connection still works.
struct Heartbeat {
    static constexpr MessageType type = MessageType::Heartbeat;
    std::uint64_t number = 0;
    template <typename Archive>
    void serialize(Archive& archive) { archive(number); }
};

/// Reply to a Heartbeat.
struct HeartbeatAck {
    static constexpr MessageType type = MessageType::HeartbeatAck;
    std::uint64_t number = 0;
    template <typename Archive>
    void serialize(Archive& archive) { archive(number); }
};

/// Contained in every datagram: the record of its sender, the versions of its active documents and recent records of members.
struct Gossip {
    MemberRecord sender;
    DocumentVersions versions;
    std::vector<MemberRecord> records;

    template <typename Archive>
    void serialize(Archive& archive) { archive(sender, versions, records); }
};

/// Requests a ProbeAck, to check that a member responds.
struct Probe {
    static constexpr MessageType type = MessageType::Probe;
    std::uint64_t sequence = 0;
    Gossip gossip;
    template <typename Archive>
    void serialize(Archive& archive) { archive(sequence, gossip); }
};

/// Reply to a Probe.
struct ProbeAck {
    static constexpr MessageType type = MessageType::ProbeAck;
    std::uint64_t sequence = 0;
    Gossip gossip;
    template <typename Archive>
    void serialize(Archive& archive) { archive(sequence, gossip); }
};

/// Requests a member to probe another one on behalf of the sender.
struct IndirectProbe {
    static constexpr MessageType type = MessageType::IndirectProbe;
    std::uint64_t sequence = 0;
    Endpoint subject;
    Gossip gossip;
    template <typename Archive>
    void serialize(Archive& archive) { archive(sequence, subject, gossip); }
};

/// Gossip that needs no reply.
struct Notice {
    static constexpr MessageType type = MessageType::Notice;
    Gossip gossip;
    template <typename Archive>
    void serialize(Archive& archive) { archive(gossip); }
};

/// Reports that targets crashed while they ran a request, or that one replied to it.
struct CrashNotice {
    static constexpr MessageType type = MessageType::CrashNotice;
    RequestFingerprint request;
    std::uint64_t reporter = 0; ///< Hash of the name of the host that has seen the crashes.
    std::uint32_t crashes = 0; ///< Number of crashes, each of an attempt sent after the crash before it; 0: a target replied.
    std::uint64_t startedAgo = 0; ///< Time since the first of these attempts was sent (microseconds).
    std::uint64_t endedAgo = 0; ///< Time since the latest crash (microseconds).
    template <typename Archive>
    void serialize(Archive& archive) { archive(request, reporter, crashes, startedAgo, endedAgo); }
};

/// A quarantined request in a QuarantineNotice.
struct QuarantineRecord {
    RequestFingerprint request;
    std::uint64_t remaining = 0; ///< Time for which it stays quarantined (microseconds).
    std::uint32_t quarantines = 1; ///< Number of times that it was quarantined in a row.
    template <typename Archive>
    void serialize(Archive& archive) { archive(request, remaining, quarantines); }
};

/// Requests that no host sends to targets for now.
struct QuarantineNotice {
    static constexpr MessageType type = MessageType::QuarantineNotice;
    std::vector<QuarantineRecord> requests;
    template <typename Archive>
    void serialize(Archive& archive) { archive(requests); }
};

} // namespace pimentopoint
