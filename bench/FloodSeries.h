#pragma once

#include "FloodRun.h"

#include <string>

namespace verbenawell::bench {

/// Prints goodput and p99 latency over time of the requests outside the flood:
/// by service under the owner's policy, and for all services together under
/// FIFO queues.
void
PrintFloodSeries(const std::string& aFlood,
                 const RunResult& aOwner,
                 const RunResult& aFifo);

} // namespace verbenawell::bench
