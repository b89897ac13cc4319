#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace verbenawell::jobs {

struct FuzzOptions
{
  /// Adds jobs whose tasks run until the job is cancelled. Off, a seed draws
  /// the same run as before there were such jobs.
  bool hasLastingJobs_ = false;
  /// Prints what the daemons log.
  bool isTraced_ = false;
};

/// Runs jobs under faults drawn from the seed, then without any, and returns
/// the broken rules. Every accepted job has to end.
std::vector<std::string>
FuzzJobs(std::uint64_t aSeed, FuzzOptions aOptions = {});

} // namespace verbenawell::jobs
