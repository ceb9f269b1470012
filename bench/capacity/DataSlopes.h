/// \file
/// Cost slopes of the data path: frames, decisions, exchanges with targets, and tickets.
#pragma once

#include "../Measure.h"

namespace pimentopoint::bench {

/// Costs of sub-queries; the fits are against the number of sub-queries.
struct SubQueryMeasurements {
    LinearFit batchBytes;
    LinearFit replyBytes;
    LinearFit frontSeconds;
    LinearFit gatewaySeconds;
    double exchangeSeconds = 0;
    double maxExchangesPerSecond = 0; ///< Measured with the stand-ins on the same machine.
    double admissionBytes = 0; ///< Heap of a gateway per target.
    double routerBytes = 0; ///< Heap of a front's router for 3,100 targets.
    double frontAllocations = 0;
    double ticketBytes = 0;
};

// Each function prints its table, except measureTickets().
void measureWire(SubQueryMeasurements& measurements);
void measureFront(SubQueryMeasurements& measurements);
void measureGateway(SubQueryMeasurements& measurements);
void measureExchange(SubQueryMeasurements& measurements);
void measureTickets(SubQueryMeasurements& measurements);

} // namespace pimentopoint::bench
