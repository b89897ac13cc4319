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
  /// Callers that each wait for their answer before the next request.
  std::size_t callers_ = 1;
  std::chrono::milliseconds duration_{ 1000 };
  /// Pause of a caller between two requests.
  std::chrono::milliseconds pause_{ 0 };
  std::chrono::milliseconds runTime_{ 20 };
  std::chrono::milliseconds deadline_{ 5000 };
  bool idempotent_ = true;
  /// Begins each request id, so that two runs do not share ids.
  std::string prefix_;
  std::uint64_t seed_ = 1;
};

/// What the callers got.
struct CallersResult
{
  std::size_t requests_ = 0;
  std::size_t answered_ = 0;
  /// Refused as not run at every try.
  std::size_t refused_ = 0;
  std::size_t unknown_ = 0;
  /// Answers that belong to another request or are not whole.
  std::size_t wrong_ = 0;
  std::size_t retries_ = 0;
  std::vector<std::chrono::microseconds> latencies_;
};

/// Runs callers until the time is over. A caller repeats a request with the
/// same id where it was not run, or where its connection broke.
CallersResult
RunCallers(const CallersOptions& aOptions);

} // namespace standins
