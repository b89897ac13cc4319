#include "Run.h"

#include <chrono>
#include <cstdint>
#include <iostream>

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace rc {

using verbenawell::fuzz::PlannedFault;

// RapidCheck prints and shrinks plans through these.
template<>
struct Arbitrary<PlannedFault>
{
  static Gen<PlannedFault> arbitrary()
  {
    using std::chrono::milliseconds;
    const auto time = [](int aMost) {
      return gen::map(gen::inRange(0, aMost), [](int aTime) {
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
constexpr std::uint64_t kSeedsPerRule = 140;

/// Seeds and steps of one rule, and its violations.
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

/// A random plan; RapidCheck shrinks one that breaks the rule.
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

// Guards against requests, waves, slots and folds that are left over once all
// faults are healed.
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

// Guards against planned stops that take more than a budget leaves.
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

// Guards against a VM in two pools or in none.
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

// Guards against an answer that reaches another caller or is not whole.
TEST(ReducersFuzzTest, GivesEachCallerItsOwnWholeAnswer)
{
  CheckSeeds(3, 4000);
}

RC_GTEST_PROP(ReducersFuzzPlanTest,
              GivesEachCallerItsOwnWholeAnswer,
              (const FaultPlan& aPlan))
{
  CheckPlan(3, aPlan, *rc::gen::inRange<std::uint64_t>(1, 1000));
}

// Guards against "not run" for a request that a worker has run.
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

// Guards against a booking that is made twice.
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

// Guards against work for a VM that is about to go.
TEST(ReducersFuzzTest, GivesALeavingVmNoNewWork)
{
  CheckSeeds(6, 7000);
}

RC_GTEST_PROP(ReducersFuzzPlanTest,
              GivesALeavingVmNoNewWork,
              (const FaultPlan& aPlan))
{
  CheckPlan(6, aPlan, *rc::gen::inRange<std::uint64_t>(1, 1000));
}

// Guards against a reboot while a request is in progress.
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

// Guards against a configuration that comes late, differs between daemons or
// reverts.
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
