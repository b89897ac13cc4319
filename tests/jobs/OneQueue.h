#pragma once

#include "SimulatedDeployment.h"

namespace verbenawell::jobs {

/// A configuration with one queue, at the address that simulated callers use.
inline Configuration
ConfigurationWithOneQueue()
{
  Configuration configuration;
  Queue& queue = configuration.queues_.emplace_back();
  queue.id_ = kQueue;
  queue.host_ = kCallerHost;
  queue.pathPrefix_ = kQueuePath;
  queue.service_ = kService;
  return configuration;
}

} // namespace verbenawell::jobs
