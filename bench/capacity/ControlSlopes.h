/// \file
/// Cost slopes of control: membership, configuration documents, and reads of the platform.
#pragma once

#include "../Measure.h"

namespace pimentopoint::bench {

/// Costs of one member against the number of members.
struct MembershipMeasurements {
    LinearFit bytesPerSecond;
    LinearFit coreFraction;
    LinearFit heapBytes;
    LinearFit bytesPerRestart;
    LinearFit secondsUntilActive;
    LinearFit bytesPerVersionChange;
};

/// Costs of one configuration document against its number of targets.
struct DocumentMeasurements {
    LinearFit documentBytes;
    LinearFit readSeconds;
    LinearFit heapBytes;
    LinearFit transferBytes;
    LinearFit shareTableSeconds;
};

// Each function prints its table.
MembershipMeasurements measureMembership();
void measureBursts();
DocumentMeasurements measureDocuments();
/// \returns the reads per second of 750 processes after an outage
double measurePlatform();

} // namespace pimentopoint::bench
