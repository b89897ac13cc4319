#pragma once

#include "verbenawell/core/Endpoint.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace standins {

struct CallersOptions
{
  std::vector<verbenawell::Endpoint> daemons_;
  std::vector<std::string> services_;
  std::string team_;
  std::string urgency_;
  /// Number of concurrent callers. Each waits for the response to a request
  /// before it sends the next one.
  std::size_t callers_ = 1;
  std::chrono::milliseconds duration_{ 1000 };
  /// Pause of a caller between two requests.
  std::chrono::milliseconds pause_{ 0 };
  std::chrono::milliseconds runTime_{ 20 };
  std::chrono::milliseconds deadline_{ 5000 };
  bool idempotent_ = true;
  /// Prefix of all request ids. Different prefixes keep the ids of two runs
  /// apart.
  std::string prefix_;
  std::uint64_t seed_ = 1;
};

/// Totals over all callers.
struct CallersResult
{
  std::size_t requests_ = 0;
  /// Requests with a correct response.
  std::size_t completed_ = 0;
  /// Requests that were rejected as not run in every attempt.
  std::size_t notRun_ = 0;
  /// Requests without a response that may have run.
  std::size_t unknownOutcomes_ = 0;
  /// Responses that belong to another request or are incomplete.
  std::size_t wrongResponses_ = 0;
  std::size_t retries_ = 0;
  std::vector<std::chrono::microseconds> latencies_;
};

/// Runs the callers for the configured duration. A caller retries a request
/// with the same id if it was not run or if its outcome is unknown.
CallersResult
RunCallers(const CallersOptions& aOptions);

} // namespace standins
