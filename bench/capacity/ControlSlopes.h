/// \file
/// Slopes of control: membership, documents, reads of the platform.
#pragma once

#include "../Measure.h"

namespace pimentopoint::bench {

struct MembershipFigures {
    Line bytesPerSecond;
    Line coreShare;
    Line heapBytes;
    Line bytesPerEvent;
    Line secondsInForce;
    Line versionBytes;
};

struct DocumentFigures {
    Line documentBytes;
    Line readSeconds;
    Line heapBytes;
    Line transferBytes;
    Line shareSeconds;
};

/// Each prints its table.
MembershipFigures measureMembership();
void measureBursts();
DocumentFigures measureDocuments();
/// \returns reads a second of 750 processes, after an outage
double measurePlatform();

} // namespace pimentopoint::bench
