#pragma once

#include "FaultPlan.h"
#include "Oracle.h"

namespace verbenawell::fuzz {

struct RunOptions
{
  std::uint64_t seed_ = 1;
  /// Number of daemons; 0 derives it from the seed.
  std::size_t daemons_ = 0;
  /// Maximum number of scheduler steps of one run; 0 is the default limit.
  std::size_t maxSteps_ = 0;
  bool trace_ = false;
};

struct RunReport
{
  std::vector<Violation> violations_;
  std::size_t steps_ = 0;
  std::size_t calls_ = 0;
};

/// Draws the fault plan of a seed.
FaultPlan
PlanOfSeed(std::uint64_t aSeed);

/// Runs daemons, fakes and faults in virtual time and checks all rules.
RunReport
RunPlan(const RunOptions& aOptions, const FaultPlan& aPlan);

/// Prints one line for each violation and the command that replays the run.
std::string
DescribeFailure(const RunOptions& aOptions,
                const FaultPlan& aPlan,
                const RunReport& aReport);

} // namespace verbenawell::fuzz
