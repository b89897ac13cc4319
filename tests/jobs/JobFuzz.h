#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace verbenawell::jobs {

struct FuzzOptions
{
  /// Adds jobs whose tasks run until the job is cancelled. Without the option,
  /// each seed produces the same run as before such jobs were added.
  bool hasLongRunningJobs_ = false;
  /// Replaces the load and the faults by the ones of `Disruptions`, and checks
  /// continuously that the runs of cancelled jobs stop in time.
  bool hasDisruptions_ = false;
  /// Number of shards; with more than one, each seed produces another run.
  int shards_ = 1;
  /// Number of workers of each shard.
  int workersPerShard_ = 6;
  /// Prints the log lines of the daemons.
  bool isTraced_ = false;
};

/// Runs jobs under faults chosen by the seed, then without faults, and returns
/// the violated rules. Every accepted job has to end.
std::vector<std::string>
FuzzJobs(std::uint64_t aSeed, FuzzOptions aOptions = {});

} // namespace verbenawell::jobs
