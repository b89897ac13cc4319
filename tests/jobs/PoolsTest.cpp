#include "ExpectNoViolations.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

// A new owner moves no VMs for its first 3 s.
constexpr Duration kFirstOrders = 6s;

// Guards against an owner that crashes when an idle VM leaves the list. It
// looked the VM up to move it.
TEST(Pools, ForgetAnIdleVmThatLeavesTheList)
{
  Installation installation{ 41, { 3, 4, 2, 2 } };
  installation.RunFor(kFirstOrders);
  installation.RemoveVm(3);
  installation.RunFor(3s);
  for (int job = 10; job < 30; ++job) {
    installation.Submit("00000000000000" + std::to_string(job),
                        MakeJob(8, 1, 1s));
  }
  installation.RunFor(20s);
  EXPECT_FALSE(installation.Owner().empty());
  ExpectKept(installation);
}

// Guards against VMs that are requested only after jobs have waited for long.
// The first second of a burst that grows for two seconds has to request them.
TEST(Pools, CallStandbyVmsWhileABurstStillFits)
{
  Installation installation{ 42, { 3, 6, 2, 4 } };
  installation.RunFor(kFirstOrders);
  // The two workers have capacity for eight tasks at a time, and ten tasks
  // arrive each second.
  for (int job = 10; job < 15; ++job) {
    installation.Submit("00000000000000" + std::to_string(job),
                        MakeJob(2, 1, 600ms));
    installation.RunFor(200ms);
  }
  const auto& moves = installation.StateOf(installation.Owner()).pools_.moves_;
  EXPECT_FALSE(moves.empty());
  ExpectKept(installation);
}

/// The number of VMs in the pool according to the owner's list.
std::size_t
VmsIn(Installation& aInstallation, const ServiceId& aPool)
{
  const auto& vms = aInstallation.StateOf(aInstallation.Owner()).upkeep_.vms_;
  return static_cast<std::size_t>(std::ranges::count_if(
    vms, [&](const auto& aVm) { return aVm.second.pool_ == aPool; }));
}

void
SubmitBurst(Installation& aInstallation,
            int aFirst,
            std::uint32_t aTasks,
            const std::string& aPath)
{
  for (int job = aFirst; job < aFirst + 20; ++job) {
    aInstallation.Submit(
      "00000000000000" + std::to_string(job), MakeJob(aTasks, 1, 1s), aPath);
    aInstallation.RunFor(100ms);
  }
}

// Guards against VMs that stay with a queue whose burst is over while the burst
// of another queue waits. They finished the backlog of the first queue before
// they moved.
TEST(Pools, RecallVisitorsFromAPoolWhoseBurstIsOver)
{
  Installation installation{ 43, { 3, 8, 2, 4, 2 } };
  installation.AddService();
  installation.RunFor(kFirstOrders);
  SubmitBurst(installation, 10, 40, "/queue/");
  installation.RunFor(2s);
  ASSERT_EQ(VmsIn(installation, kSpare), 0U);
  SubmitBurst(installation, 40, 4, "/other/");
  installation.RunFor(3s);
  EXPECT_GT(VmsIn(installation, kOtherService), 2U);
  installation.RunFor(20s);
  ExpectKept(installation);
}

// Guards against a pool that lends VMs over which its long-running tasks have
// to spread. One of these tasks then had no worker to run on.
TEST(Pools, KeepTheVmsThatTasksThatLastSpreadOver)
{
  Installation installation{ 44, { 3, 8, 2, 0, 4 } };
  installation.AddService();
  installation.RunFor(kFirstOrders);
  JobDefinition lasting = MakeJob(3, 1, 1s);
  lasting.steps_[0].longRunning_ = true;
  lasting.steps_[0].perWorker_ = TaskCount{ 1 };
  installation.Submit("0000000000000001", lasting, "/other/");
  installation.RunFor(2s);
  SubmitBurst(installation, 10, 4, "/queue/");
  installation.RunFor(2s);
  EXPECT_EQ(VmsIn(installation, kOtherService), 4U);
  installation.RunFor(10s);
  ExpectKept(installation);
}

// Guards against a new owner that treats borrowed VMs as the pool's own.
TEST(Pools, KnowTheHomesOfVmsAfterATakeOver)
{
  Installation installation{ 45, { 3, 8, 2, 4, 2 } };
  installation.AddService();
  installation.RunFor(kFirstOrders);
  SubmitBurst(installation, 10, 16, "/queue/");
  installation.RunFor(1s);
  ASSERT_EQ(VmsIn(installation, kSpare), 0U);
  installation.Kill(installation.Owner());
  installation.RunFor(40s);
  EXPECT_EQ(VmsIn(installation, kSpare), 4U);
  ExpectKept(installation);
}

// Guards against a pool that lends nearly all its VMs. The list still showed
// the workers of lent VMs, so that they counted as its own.
TEST(Pools, CountNoWorkerWhoseVmHasMovedAway)
{
  Installation installation{ 46, { 3, 10, 2, 0, 8 } };
  installation.AddService();
  installation.RunFor(kFirstOrders);
  SubmitBurst(installation, 10, 16, "/queue/");
  installation.RunFor(2s);
  EXPECT_GE(VmsIn(installation, kOtherService), 5U);
  installation.RunFor(10s);
  ExpectKept(installation);
}

} // namespace
} // namespace verbenawell::jobs
