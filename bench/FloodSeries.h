#pragma once

#include "FloodRun.h"

#include <string>

namespace verbenawell::bench {

/// Prints goodput and p99 of other work by service through a flood, and of all
/// services together with FIFO queues.
void
PrintFloodSeries(const std::string& aFlood,
                 const RunResult& aOwner,
                 const RunResult& aFifo);

} // namespace verbenawell::bench
