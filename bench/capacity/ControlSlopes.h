/// \file
/// Slopes of control: membership, documents, reads of the platform.
#pragma once

#include "../Measure.h"

namespace pimentopoint::bench {

struct MembershipMeasurements {
    LinearFit bytesPerSecond;
    LinearFit coreFraction;
    LinearFit heapBytes;
    LinearFit bytesPerRestart;
    LinearFit secondsUntilActive;
    LinearFit bytesPerVersionChange;
};

struct DocumentMeasurements {
    LinearFit documentBytes;
    LinearFit readSeconds;
    LinearFit heapBytes;
    LinearFit transferBytes;
    LinearFit shareTableSeconds;
};

/// Each prints its table.
MembershipMeasurements measureMembership();
void measureBursts();
DocumentMeasurements measureDocuments();
/// \returns reads a second of 750 processes, after an outage
double measurePlatform();

} // namespace pimentopoint::bench
