#include "Run.h"

#include <chrono>
#include <cstdint>
#include <iostream>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace rc {

using verbenawell::fuzz::PlannedFault;

// RapidCheck generates and shrinks fault plans through this specialization.
template<>
struct Arbitrary<PlannedFault>
{
  static Gen<PlannedFault> arbitrary()
  {
    using std::chrono::milliseconds;
    const auto time = [](int aEnd) {
      return gen::map(gen::inRange(0, aEnd), [](int aTime) {
        return verbenawell::Duration{ milliseconds(aTime) };
      });
    };
    return gen::build<PlannedFault>(
      gen::set(
        &PlannedFault::kind_,
        gen::inRange<std::size_t>(0, verbenawell::fuzz::AllFaults().size())),
      gen::set(&PlannedFault::at_, time(11'000)),
      gen::set(&PlannedFault::length_, time(6'000)),
      gen::set(&PlannedFault::subject_, gen::inRange<std::size_t>(0, 60)));
  }
};

} // namespace rc

namespace verbenawell::fuzz {

void
showValue(const PlannedFault& aFault, std::ostream& aStream)
{
  aStream << PrintPlan({ aFault });
}

namespace {

// All tests of this file take about 2 minutes of processor time together.
constexpr std::uint64_t kSeedsPerRule = 120;

/// Runs the plans of consecutive seeds and fails for violations of the rule.
void
CheckSeeds(int aRule, std::uint64_t aFirstSeed)
{
  std::size_t steps = 0;
  std::size_t failed = 0;
  for (std::uint64_t at = 0; at < kSeedsPerRule; ++at) {
    const RunOptions options{ aFirstSeed + at, 0, 0, false };
    const FaultPlan plan = PlanOfSeed(options.seed_);
    RunReport report = RunPlan(options, plan);
    steps += report.steps_;
    std::erase_if(report.violations_, [&](const Violation& aViolation) {
      return aViolation.rule_ != aRule;
    });
    if (!report.violations_.empty() && ++failed == 1) {
      ADD_FAILURE() << DescribeFailure(options, plan, report);
    }
  }
  std::cout << kSeedsPerRule << " seeds from " << aFirstSeed << ", " << steps
            << " steps, " << failed << " seeds failed\n";
  EXPECT_EQ(failed, 0U);
}

/// Runs a plan of RapidCheck, which shrinks a plan that violates the rule.
void
CheckPlan(int aRule, const FaultPlan& aPlan, std::uint64_t aSeed)
{
  const RunOptions options{ aSeed, 0, 0, false };
  RunReport report = RunPlan(options, aPlan);
  std::erase_if(report.violations_, [&](const Violation& aViolation) {
    return aViolation.rule_ != aRule;
  });
  if (!report.violations_.empty()) {
    RC_FAIL(DescribeFailure(options, aPlan, report));
  }
}

} // namespace

// Guards against requests without an outcome, waves and moves that never end,
// slots that stay granted and daemons at different offsets after all faults
// have ended.
TEST(ReducersFuzzTest, EndsEverythingOnceFaultsAreHealed)
{
  CheckSeeds(0, 1000);
}

RC_GTEST_PROP(ReducersFuzzPlanTest,
              EndsEverythingOnceFaultsAreHealed,
              (const FaultPlan& aPlan))
{
  CheckPlan(0, aPlan, *rc::gen::inRange<std::uint64_t>(1, 1000));
}

// Guards against planned stops, such as drains, moves and waves, that leave a
// service fewer serving VMs than its availability budget, as when the commands
// of several operators race.
TEST(ReducersFuzzTest, KeepsEveryBudgetThroughPlannedStops)
{
  CheckSeeds(1, 2000);
}

RC_GTEST_PROP(ReducersFuzzPlanTest,
              KeepsEveryBudgetThroughPlannedStops,
              (const FaultPlan& aPlan))
{
  CheckPlan(1, aPlan, *rc::gen::inRange<std::uint64_t>(1, 1000));
}

// Guards against a VM in two pools or in none, and against two owners that
// grant the slots of one worker for longer than an owner change takes.
TEST(ReducersFuzzTest, KeepsEveryVmInOnePool)
{
  CheckSeeds(2, 3000);
}

RC_GTEST_PROP(ReducersFuzzPlanTest,
              KeepsEveryVmInOnePool,
              (const FaultPlan& aPlan))
{
  CheckPlan(2, aPlan, *rc::gen::inRange<std::uint64_t>(1, 1000));
}

// Guards against a response that reaches the wrong caller or is incomplete, as
// after a worker or a VM fails in the middle of a response.
TEST(ReducersFuzzTest, GivesEachCallerItsOwnCompleteResponse)
{
  CheckSeeds(3, 4000);
}

RC_GTEST_PROP(ReducersFuzzPlanTest,
              GivesEachCallerItsOwnCompleteResponse,
              (const FaultPlan& aPlan))
{
  CheckPlan(3, aPlan, *rc::gen::inRange<std::uint64_t>(1, 1000));
}

// Guards against the outcome "not run" for a request that a worker has run, as
// after a connection breaks or a response is lost.
TEST(ReducersFuzzTest, SaysNotRunOnlyWhereNoWorkerRanTheRequest)
{
  CheckSeeds(4, 5000);
}

RC_GTEST_PROP(ReducersFuzzPlanTest,
              SaysNotRunOnlyWhereNoWorkerRanTheRequest,
              (const FaultPlan& aPlan))
{
  CheckPlan(4, aPlan, *rc::gen::inRange<std::uint64_t>(1, 1000));
}

// Guards against a second run of a non-idempotent request, such as a booking
// that is made twice. It can follow from a retry after a fault.
TEST(ReducersFuzzTest, RunsANonIdempotentRequestAtMostOnce)
{
  CheckSeeds(5, 6000);
}

RC_GTEST_PROP(ReducersFuzzPlanTest,
              RunsANonIdempotentRequestAtMostOnce,
              (const FaultPlan& aPlan))
{
  CheckPlan(5, aPlan, *rc::gen::inRange<std::uint64_t>(1, 1000));
}

// Guards against new requests that start on a VM that is drained or that the VM
// list reports as leaving, for example because a daemon reads the record of the
// drain late.
TEST(ReducersFuzzTest, StartsNoRequestsOnADrainedOrLeavingVm)
{
  CheckSeeds(6, 7000);
}

RC_GTEST_PROP(ReducersFuzzPlanTest,
              StartsNoRequestsOnADrainedOrLeavingVm,
              (const FaultPlan& aPlan))
{
  CheckPlan(6, aPlan, *rc::gen::inRange<std::uint64_t>(1, 1000));
}

// Guards against a reboot of a VM by a wave or an operator while a request
// still runs on it, as when an owner in an isolated zone still grants its
// slots.
TEST(ReducersFuzzTest, CutsNoRequestByAPlannedStop)
{
  CheckSeeds(7, 8000);
}

RC_GTEST_PROP(ReducersFuzzPlanTest,
              CutsNoRequestByAPlannedStop,
              (const FaultPlan& aPlan))
{
  CheckPlan(7, aPlan, *rc::gen::inRange<std::uint64_t>(1, 1000));
}

// Guards against a configuration change that reaches a daemon late, differs
// between daemons at one offset, or is reverted after a restart or a partition.
TEST(ReducersFuzzTest, BringsEveryConfigurationIntoEffectForGood)
{
  CheckSeeds(8, 9000);
}

RC_GTEST_PROP(ReducersFuzzPlanTest,
              BringsEveryConfigurationIntoEffectForGood,
              (const FaultPlan& aPlan))
{
  CheckPlan(8, aPlan, *rc::gen::inRange<std::uint64_t>(1, 1000));
}

} // namespace verbenawell::fuzz
