/// \file
/// A request to a target and its result.
#pragma once

#include "../Core/AttemptId.h"
#include "../Core/Clock.h"
#include "../Core/Endpoint.h"
#include "../Core/Ids.h"
#include "../Core/KeyRange.h"

#include <string>
#include <vector>

namespace pimentopoint {

/// A target's reply whose form has been checked.
struct SearchReply {
    AttemptId attempt;
    Incarnation incarnation;
    SnapshotVersion snapshot;
    std::vector<KeyRange> covered;
    std::string hits; ///< A JSON array.
};

/// Outcome of an exchange with a target.
enum class ExchangeOutcome {
    Replied, ///< The reply is complete and valid.
    RefusedShed, ///< The target reports that it did not run the request: it is overloaded.
    RefusedSnapshot, ///< The target reports that it did not run the request: it no longer has the snapshot.
    RefusedLeaving, ///< The target reports that it did not run the request: it is leaving.
    NotConnected, ///< No byte of the request's body was sent.
    ConnectionLost, ///< The connection ended or became unresponsive after bytes may have been sent.
    TimedOut, ///< The deadline passed after bytes may have been sent.
    InvalidReply, ///< The reply was truncated, belonged to another attempt, was too large or could not be decoded.
};

/// Result of an exchange as the transport reports it.
struct ExchangeResult {
    AttemptId attempt;
    TargetId target;
    ExchangeOutcome outcome = ExchangeOutcome::NotConnected;
    bool newConnection = false; ///< Whether a connection was opened for the exchange.
    SearchReply reply;
};

/// A sub-query to be sent to a target.
struct Dispatch {
    AttemptId attempt;
    TargetId target;
    Endpoint endpoint;
    KeyRange range;
    SnapshotVersion snapshot;
    Duration remaining { 0 }; ///< Time left to the deadline.
    Duration replyTimeout { 0 }; ///< Time without a reply after which the connection is closed.
    std::string text;
};

} // namespace pimentopoint
