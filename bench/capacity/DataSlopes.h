/// \file
/// Slopes of the data path: frames, decisions, exchanges, tickets.
#pragma once

#include "../Measure.h"

namespace pimentopoint::bench {

struct SubQueryMeasurements {
    LinearFit batchBytes;
    LinearFit replyBytes;
    LinearFit frontSeconds;
    LinearFit gatewaySeconds;
    double exchangeSeconds = 0;
    double maxExchangesPerSecond = 0; ///< Reached on this machine, the stand-ins beside.
    double admissionBytes = 0;
    double routerBytes = 0;
    double frontAllocations = 0;
    double ticketBytes = 0;
};

/// Each prints its table.
void measureWire(SubQueryMeasurements& figures);
void measureFront(SubQueryMeasurements& figures);
void measureGateway(SubQueryMeasurements& figures);
void measureExchange(SubQueryMeasurements& figures);
void measureTickets(SubQueryMeasurements& figures);

} // namespace pimentopoint::bench
