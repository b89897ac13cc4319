#include "ExpectNoViolations.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

// A new owner moves no VMs for its first 3 s.
constexpr Duration kFirstMovesTime = 6s;

// Guards against an owner that crashes when an idle VM leaves the list. It
// looked the VM up to move it.
TEST(Pools, RemoveAnIdleVmThatLeavesTheList)
{
  SimulatedDeployment deployment{ 41, { 3, 4, 2, 2 } };
  deployment.RunFor(kFirstMovesTime);
  deployment.RemoveVm(3);
  deployment.RunFor(3s);
  for (int job = 10; job < 30; ++job) {
    deployment.Submit("00000000000000" + std::to_string(job),
                      MakeJob(8, 1, 1s));
  }
  deployment.RunFor(20s);
  EXPECT_FALSE(deployment.Owner().empty());
  ExpectNoViolations(deployment);
}

// Guards against VMs that are requested only after jobs have waited for long.
// The first second of a burst that grows for two seconds has to request them.
TEST(Pools, RequestSpareVmsWhileABurstStillFits)
{
  SimulatedDeployment deployment{ 42, { 3, 6, 2, 4 } };
  deployment.RunFor(kFirstMovesTime);
  // The two workers have capacity for eight tasks at a time, and ten tasks
  // arrive each second.
  for (int job = 10; job < 15; ++job) {
    deployment.Submit("00000000000000" + std::to_string(job),
                      MakeJob(2, 1, 600ms));
    deployment.RunFor(200ms);
  }
  const auto& moves = deployment.StateOf(deployment.Owner()).pools_.moves_;
  EXPECT_FALSE(moves.empty());
  ExpectNoViolations(deployment);
}

/// The number of VMs in the pool according to the owner's list.
std::size_t
CountVmsIn(SimulatedDeployment& aDeployment, const ServiceId& aPool)
{
  const auto& vms = aDeployment.StateOf(aDeployment.Owner()).maintenance_.vms_;
  return static_cast<std::size_t>(std::ranges::count_if(
    vms, [&](const auto& aVm) { return aVm.second.pool_ == aPool; }));
}

void
SubmitBurst(SimulatedDeployment& aDeployment,
            int aFirst,
            std::uint32_t aTasks,
            const std::string& aPath)
{
  for (int job = aFirst; job < aFirst + 20; ++job) {
    aDeployment.Submit(
      "00000000000000" + std::to_string(job), MakeJob(aTasks, 1, 1s), aPath);
    aDeployment.RunFor(100ms);
  }
}

// Guards against VMs that stay with a queue whose burst is over while the burst
// of another queue waits. They finished the backlog of the first queue before
// they moved.
TEST(Pools, RecallBorrowedVmsFromAPoolWhoseBurstIsOver)
{
  SimulatedDeployment deployment{ 43, { 3, 8, 2, 4, 2 } };
  deployment.AddService();
  deployment.RunFor(kFirstMovesTime);
  SubmitBurst(deployment, 10, 40, "/queue/");
  deployment.RunFor(2s);
  ASSERT_EQ(CountVmsIn(deployment, kSpare), 0U);
  SubmitBurst(deployment, 40, 4, "/other/");
  deployment.RunFor(3s);
  EXPECT_GT(CountVmsIn(deployment, kOtherService), 2U);
  deployment.RunFor(20s);
  ExpectNoViolations(deployment);
}

// Guards against a pool that lends VMs over which its long-running tasks have
// to spread. One of these tasks then had no worker to run on.
TEST(Pools, KeepTheVmsThatLongRunningTasksSpreadOver)
{
  SimulatedDeployment deployment{ 44, { 3, 8, 2, 0, 4 } };
  deployment.AddService();
  deployment.RunFor(kFirstMovesTime);
  JobDefinition longRunning = MakeJob(3, 1, 1s);
  longRunning.steps_[0].longRunning_ = true;
  longRunning.steps_[0].maxPerWorker_ = TaskCount{ 1 };
  deployment.Submit("0000000000000001", longRunning, "/other/");
  deployment.RunFor(2s);
  SubmitBurst(deployment, 10, 4, "/queue/");
  deployment.RunFor(2s);
  EXPECT_EQ(CountVmsIn(deployment, kOtherService), 4U);
  deployment.RunFor(10s);
  ExpectNoViolations(deployment);
}

// Guards against a new owner that treats borrowed VMs as the pool's own.
TEST(Pools, KnowTheHomePoolsOfVmsAfterATakeover)
{
  SimulatedDeployment deployment{ 45, { 3, 8, 2, 4, 2 } };
  deployment.AddService();
  deployment.RunFor(kFirstMovesTime);
  SubmitBurst(deployment, 10, 16, "/queue/");
  deployment.RunFor(1s);
  ASSERT_EQ(CountVmsIn(deployment, kSpare), 0U);
  deployment.Kill(deployment.Owner());
  deployment.RunFor(40s);
  EXPECT_EQ(CountVmsIn(deployment, kSpare), 4U);
  ExpectNoViolations(deployment);
}

// Guards against a pool that lends nearly all its VMs. The list still showed
// the workers of lent VMs, so that they counted as its own.
TEST(Pools, DoNotCountAWorkerWhoseVmHasMovedAway)
{
  SimulatedDeployment deployment{ 46, { 3, 10, 2, 0, 8 } };
  deployment.AddService();
  deployment.RunFor(kFirstMovesTime);
  SubmitBurst(deployment, 10, 16, "/queue/");
  deployment.RunFor(2s);
  EXPECT_GE(CountVmsIn(deployment, kOtherService), 5U);
  deployment.RunFor(10s);
  ExpectNoViolations(deployment);
}

// Guards against borrowed VMs that never return to their home pool because
// their idle workers, which respond slowly, count as unresponsive at times.
TEST(Pools, ReturnIdleVmsWhoseWorkersRespondSlowly)
{
  SimulatedDeployment deployment{ 45, { 3, 6, 2, 4 } };
  deployment.RunFor(kFirstMovesTime);
  SubmitBurst(deployment, 10, 20, "/queue/");
  deployment.RunFor(10s);
  ASSERT_LT(CountVmsIn(deployment, kSpare), 4U);
  for (std::size_t index = 0; index < deployment.Workers(); ++index) {
    deployment.WorkerAt(index).faults_.renewalDelay_ = 400ms;
  }
  deployment.RunFor(30s);
  EXPECT_EQ(CountVmsIn(deployment, kSpare), 4U);
  ExpectNoViolations(deployment);
}

// Guards against borrowed VMs that stay after a burst because the few tasks
// that still arrive are spread over all VMs of the pool.
TEST(Pools, ReturnVmsWhileAFewTasksStillArrive)
{
  SimulatedDeployment deployment{ 47, { 3, 8, 2, 6 } };
  deployment.RunFor(kFirstMovesTime);
  SubmitBurst(deployment, 10, 20, "/queue/");
  deployment.RunFor(10s);
  ASSERT_LT(CountVmsIn(deployment, kSpare), 6U);
  // Eight tasks at a time, which fit on one VM.
  JobDefinition smallTasks = MakeJob(8, 1, 300ms);
  smallTasks.steps_[0].resources_.cpu_ = MilliCores{ 200 };
  for (int job = 40; job < 60; ++job) {
    deployment.Submit("00000000000000" + std::to_string(job), smallTasks);
    deployment.RunFor(500ms);
  }
  EXPECT_EQ(CountVmsIn(deployment, kSpare), 6U);
  ExpectNoViolations(deployment);
}

} // namespace
} // namespace verbenawell::jobs
