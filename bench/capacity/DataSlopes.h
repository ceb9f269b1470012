/// \file
/// Slopes of the data path: frames, decisions, exchanges, tickets.
#pragma once

#include "../Measure.h"

namespace pimentopoint::bench {

struct SubQueryFigures {
    Line batchBytes;
    Line replyBytes;
    Line frontSeconds;
    Line gatewaySeconds;
    double exchangeSeconds = 0;
    double mostExchangesPerSecond = 0; ///< Reached on this machine, the stand-ins beside.
    double laneBytes = 0;
    double boardBytes = 0;
    double frontAllocations = 0;
    double ticketBytes = 0;
};

/// Each prints its table.
void measureWire(SubQueryFigures& figures);
void measureFront(SubQueryFigures& figures);
void measureGateway(SubQueryFigures& figures);
void measureExchange(SubQueryFigures& figures);
void measureTickets(SubQueryFigures& figures);

} // namespace pimentopoint::bench
