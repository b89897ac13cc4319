#include "ExpectNoViolations.h"

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

/// Simulates a wave in which the owner ends before it gets the response to its
/// first maintenance command. Its successor does not know of that command.
class StartOrders : public testing::Test
{
protected:
  StartOrders()
  {
    installation_.RunFor(kStartUp);
    // Keeps the first VM of the wave busy, so that another VM goes down first.
    installation_.Submit("0000000000000001", MakeJob(1, 1, 30s));
    installation_.RunFor(1s);
    installation_.BeginWave(1);
    const TimePoint end = installation_.time_.Now() + 30s;
    while (installation_.begun_.empty() && installation_.time_.Step(end)) {
    }
    const std::string owner = installation_.Owner();
    installation_.Kill(owner);
    installation_.RunFor(100ms);
    installation_.Start(owner);
    installation_.RunFor(2500ms);
  }

  /// The current worker of the VM whose maintenance began first.
  FakeWorker& Renewed() { return installation_.WorkerAt(renewed_); }

  Installation installation_{ 61, { 3, 4, 2 } };
  std::size_t renewed_ = 1;
};

// Guards against an accepted maintenance command that is taken to have ended
// the VM's current worker, although the maintenance was done before that worker
// started. Its runs were started a second time while they were active.
TEST_F(StartOrders, KeepTheRunsOfAWorkerThatCameAfterTheUpkeep)
{
  ASSERT_EQ(installation_.begun_, std::set{ VmId{ "vm1" } });
  installation_.Submit("0000000000000002", MakeJob(12, 1, 30s));
  installation_.RunFor(1s);
  const auto runs = Renewed().Running();
  ASSERT_FALSE(runs.empty());
  installation_.RunFor(25s);
  EXPECT_EQ(Renewed().Running(), runs);
  ExpectKept(installation_);
}

// Guards against a VM that counts as down for the rest of the wave because its
// worker does not change any more. No other VM went down.
TEST_F(StartOrders, FinishAWaveInWhichAnUpkeepWasDoneBefore)
{
  installation_.RunFor(30s);
  EXPECT_EQ(installation_.begun_.size(), 4U);
  EXPECT_TRUE(installation_.store_.waveStatus_[WaveNumber{ 1 }]);
  ExpectKept(installation_);
}

// Guards against a copy of a start command that got no response and is executed
// by the worker's next incarnation. Its run was known from a repeated command,
// so it counted as ended with the first incarnation and was started elsewhere.
// The seed determines the delay of the copy; with each of these seeds it is
// executed while the second run is active.
class LateStarts : public testing::TestWithParam<std::uint64_t>
{};

TEST_P(LateStarts, AreStoppedAtAWorkerWithANewLife)
{
  Installation installation{ GetParam(), { 3, 4, 2 } };
  installation.RunFor(kStartUp);
  WorkerFaults& faults = installation.WorkerAt(0).faults_;
  faults.lateOrders_ = 100;
  faults.lateOrdersOutlive_ = true;
  installation.Submit("0000000000000001", MakeJob(1, 1, 30s));
  installation.RunFor(400ms);
  faults.lateOrders_ = 0;
  installation.RunFor(500ms);
  ASSERT_EQ(installation.WorkerAt(0).Running().size(), 1U);
  installation.KillWorker(0);
  installation.ReviveWorker(0);
  // Keeps the task from starting again on the same worker.
  installation.BeginWave(1);
  installation.RunFor(10s);
  ExpectKept(installation);
}

INSTANTIATE_TEST_SUITE_P(Seeds, LateStarts, testing::Values(60, 67, 68, 78));

} // namespace
} // namespace verbenawell::jobs
