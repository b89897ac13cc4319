#pragma once

#include "FloodPolicies.h"

#include <optional>
#include <vector>

namespace verbenawell::bench {

/// Outcome of a request that is neither part of the flood nor long; times in
/// seconds.
struct Outcome
{
  ServiceId service_;
  double arrivedAt_ = 0;
  /// Empty if the request was rejected.
  std::optional<double> latency_;
  bool isInTime_ = false;
};

/// Results of one simulation. "Other" requests are those outside the flood.
struct RunResult
{
  /// Finished within the deadline.
  std::uint64_t otherFinished_ = 0;
  std::uint64_t otherLong_ = 0;
  std::uint64_t otherLongFinished_ = 0;
  /// Long requests, of the flood too, that were rejected after they had been
  /// queued.
  std::uint64_t longDropped_ = 0;
  std::uint64_t floodFinished_ = 0;
  /// Seconds from arrival to response of other requests that are not long.
  std::vector<double> otherLatency_;
  std::vector<Outcome> outcomes_;
  /// Seconds from arrival to the start on a worker.
  std::vector<double> urgentWait_;
  std::vector<double> otherLongWait_;
};

/// Simulates the requests under a policy in virtual time until each of them
/// has finished or been rejected.
RunResult
Run(Policy aPolicy, const std::vector<SimulatedRequest>& aRequests);

/// The 99th percentile of the samples; 0 without samples.
double
P99(std::vector<double> aSamples);

} // namespace verbenawell::bench
