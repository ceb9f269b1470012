/// \file
/// One request to a target and what became of it.
#pragma once

#include "../Core/AttemptId.h"
#include "../Core/Clock.h"
#include "../Core/Endpoint.h"
#include "../Core/Ids.h"
#include "../Core/KeyRange.h"

#include <string>
#include <vector>

namespace pimentopoint {

/// What a target sent back, after all checks of its form.
struct TargetReply {
    AttemptId attempt;
    Incarnation incarnation;
    SnapshotVersion snapshot;
    std::vector<KeyRange> covered;
    std::string hits; ///< A JSON array.
};

/// How an exchange with a target ended.
enum class ExchangeOutcome {
    Replied, ///< The reply is whole and valid.
    RefusedShed, ///< The target states that it did not run it: too much to do.
    RefusedSnapshot, ///< The target states that it did not run it: it no longer has the snapshot.
    RefusedLeaving, ///< The target states that it did not run it: it is leaving.
    NotConnected, ///< No byte left.
    ConnectionLost, ///< The connection ended or went silent after bytes may have left.
    TimedOut, ///< The deadline passed after bytes may have left.
    InvalidReply, ///< The reply was cut, foreign, too large or undecodable.
};

/// The end of an exchange as the transport reports it.
struct ExchangeResult {
    AttemptId attempt;
    TargetId target;
    ExchangeOutcome outcome = ExchangeOutcome::NotConnected;
    bool newConnection = false; ///< Whether a connection was opened for it.
    TargetReply reply;
};

/// Order to send a sub-query to a target.
struct Dispatch {
    AttemptId attempt;
    TargetId target;
    Endpoint endpoint;
    KeyRange range;
    SnapshotVersion snapshot;
    Duration remaining { 0 }; ///< Time left to the deadline.
    Duration replyTimeout { 0 }; ///< Time without a reply after which the connection is given up.
    std::string text;
};

} // namespace pimentopoint
