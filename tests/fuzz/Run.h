#pragma once

#include "FaultPlan.h"
#include "Oracle.h"

namespace verbenawell::fuzz {

struct RunOptions
{
  std::uint64_t seed_ = 1;
  /// Zero chooses by the seed.
  std::size_t daemons_ = 0;
  /// Most actions of one run.
  std::size_t maxSteps_ = 0;
  bool trace_ = false;
};

struct RunReport
{
  std::vector<Violation> violations_;
  std::size_t steps_ = 0;
  std::size_t calls_ = 0;
};

/// The plan that belongs to a seed.
FaultPlan
PlanOfSeed(std::uint64_t aSeed);

/// Runs daemons, fakes and faults in virtual time; checks every rule.
RunReport
RunPlan(const RunOptions& aOptions, const FaultPlan& aPlan);

/// One line for each violation, and the command that repeats the run.
std::string
DescribeFailure(const RunOptions& aOptions,
                const FaultPlan& aPlan,
                const RunReport& aReport);

} // namespace verbenawell::fuzz
