#pragma once

#include "verbenawell/core/Random.h"

#include "Oracle.h"
#include "VirtualTime.h"

#include <cstddef>
#include <string>

namespace verbenawell::fuzz {

enum class WorkerMode : std::uint8_t
{
  Healthy,
  /// Responds 500 to each request after 1 ms.
  FailingFast,
  /// Closes the connection after half of the run time.
  ClosingConnections,
  /// Accepts requests and never responds.
  Unresponsive,
  RefusingConnections,
  /// Rejects each request and reports that it was not run.
  Busy,
};

/// Number of active faults of each kind. Faults of a kind may overlap.
struct ActiveFaultCounts
{
  int logDown_ = 0;
  int logSlow_ = 0;
  int logLosesResponses_ = 0;
  int logRejects_ = 0;
  int listDelayed_ = 0;
  int listStale_ = 0;
  int bootsHang_ = 0;
  int floodLong_ = 0;
  int floodUrgent_ = 0;
  int wrongRunTimes_ = 0;
  int neverFits_ = 0;
};

/// Virtual time, random numbers, oracle and trace, shared by all fakes.
class World : public VirtualTime
{
public:
  World(std::uint64_t aSeed, bool aTrace)
    : random_(aSeed)
    , trace_(aTrace)
  {
  }

  /// Returns a random number in [0, `aBound`).
  std::size_t Below(std::size_t aBound)
  {
    return static_cast<std::size_t>(random_.Below(aBound));
  }
  /// Returns true with a probability of `aPercent` percent.
  bool Chance(std::size_t aPercent) { return Below(100) < aPercent; }
  /// Returns a random time in [`aLow`, `aHigh`].
  Duration Between(Duration aLow, Duration aHigh);

  void Observe(const Observation& aObservation)
  {
    oracle_.Observe(Now(), aObservation);
  }
  /// Prints the line with the virtual time if the trace is switched on.
  void Trace(const std::string& aLine) const;
  [[nodiscard]] bool Tracing() const { return trace_; }

  Oracle oracle_;
  ActiveFaultCounts activeFaults_;

private:
  Random random_;
  bool trace_ = false;
};

} // namespace verbenawell::fuzz
