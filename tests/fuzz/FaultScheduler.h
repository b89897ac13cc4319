#pragma once

#include "FaultPlan.h"
#include "FrontEnd.h"

namespace verbenawell::fuzz {

/// Starts and ends the faults of a plan at their times.
class FaultScheduler
{
public:
  FaultScheduler(World& aWorld,
                 FakeLog& aLog,
                 FakePlatform& aPlatform,
                 Cluster& aCluster,
                 FrontEnd& aFrontEnd)
    : world_(aWorld)
    , log_(aLog)
    , platform_(aPlatform)
    , cluster_(aCluster)
    , frontEnd_(aFrontEnd)
  {
  }

  void Schedule(const FaultPlan& aPlan);
  /// Ends the faults that last beyond their end in the plan, such as a failed
  /// VM.
  void HealAll();

private:
  void Begin(const PlannedFault& aPlanned);
  void End(const PlannedFault& aPlanned);
  /// Starts a new process of the daemon if it is down.
  void StartIfDown(std::size_t aNode);

  World& world_;
  FakeLog& log_;
  FakePlatform& platform_;
  Cluster& cluster_;
  FrontEnd& frontEnd_;
};

} // namespace verbenawell::fuzz
