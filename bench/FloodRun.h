#pragma once

#include "FloodPolicies.h"

#include <optional>
#include <vector>

namespace verbenawell::bench {

/// Outcome of a request of other work that is not long; times in seconds.
struct Outcome
{
  ServiceId service_;
  double arrivedAt_ = 0;
  /// Empty where the request was refused.
  std::optional<double> latency_;
  bool inTime_ = false;
};

/// What became of the jobs of one run.
struct RunResult
{
  /// Other work: everything but the flood.
  std::uint64_t otherFinished_ = 0;
  std::uint64_t otherLong_ = 0;
  std::uint64_t otherLongFinished_ = 0;
  /// Accepted long work, flood included, that was refused later.
  std::uint64_t longDropped_ = 0;
  std::uint64_t floodFinished_ = 0;
  /// Seconds from arrival to the answer, of other work that is not long.
  std::vector<double> otherLatency_;
  std::vector<Outcome> outcomes_;
  /// Seconds from arrival to the start.
  std::vector<double> urgentWait_;
  std::vector<double> otherLongWait_;
};

/// Runs the jobs through a policy in virtual time until all have ended.
RunResult
Run(Policy aPolicy, const std::vector<Job>& aJobs);

/// The value that 99% of the samples do not exceed; zero without samples.
double
P99(std::vector<double> aSamples);

} // namespace verbenawell::bench
