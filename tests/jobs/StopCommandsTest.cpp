#include "ExpectNoViolations.h"

#include <algorithm>
#include <iterator>
#include <vector>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

const std::string kJob = "0000000000000001";

/// Has one worker with one task that runs until its job is cancelled.
class StopCommands : public testing::Test
{
protected:
  StopCommands()
  {
    JobDefinition job = MakeJob(1, 1, 1s);
    job.steps_[0].longRunning_ = true;
    deployment_.RunFor(kStartUpTime);
    deployment_.Submit(kJob, job);
    deployment_.RunFor(2s);
  }

  [[nodiscard]] bool IsRunning()
  {
    return !deployment_.WorkerAt(0).Running().empty();
  }

  [[nodiscard]] std::vector<LoggedEvent> LinesOf(const std::string& aEvent)
  {
    std::vector<LoggedEvent> lines;
    std::ranges::copy_if(
      deployment_.log_, std::back_inserter(lines), [&](const auto& aLine) {
        return aLine.event_ == aEvent;
      });
    return lines;
  }

  SimulatedDeployment deployment_{ 61, { 3, 1, 1 } };
};

// Guards against a log that does not distinguish a lost stop command from one
// that the worker received but did not execute.
TEST_F(StopCommands, AreLoggedOnceAsOverdueWhileTheirRunStaysListed)
{
  ASSERT_TRUE(IsRunning());
  deployment_.WorkerAt(0).faults_.losesStops_ = true;
  deployment_.Cancel(kJob);
  deployment_.RunFor(6s);
  const auto overdue = LinesOf("task_stop_overdue");
  ASSERT_EQ(overdue.size(), 1U);
  EXPECT_EQ(overdue.front().Field("task"), kJob + ".0.0.0");
  EXPECT_EQ(overdue.front().Field("answered"), "no");
  EXPECT_TRUE(LinesOf("task_stopped").empty());
}

// Guards against a cancelled task that keeps running after its worker was
// unreachable. A list that showed the run was taken for the response to the
// stop command.
TEST_F(StopCommands, AreRepeatedToAWorkerThatStillListsTheRun)
{
  ASSERT_TRUE(IsRunning());
  WorkerFaults& faults = deployment_.WorkerAt(0).faults_;
  faults.isUnreachable_ = true;
  deployment_.RunFor(500ms);
  deployment_.Cancel(kJob);
  deployment_.RunFor(3s);
  ASSERT_TRUE(IsRunning());
  faults.isUnreachable_ = false;
  deployment_.RunFor(3s);
  EXPECT_FALSE(IsRunning());
  ExpectNoViolations(deployment_);
}

// Guards against a cancelled task that keeps running when its worker was
// unreachable and the owner was replaced. The new owner knows the run only from
// the worker's list, since the job had ended before.
TEST_F(StopCommands, AreRepeatedForARunThatOnlyTheListShows)
{
  ASSERT_TRUE(IsRunning());
  WorkerFaults& faults = deployment_.WorkerAt(0).faults_;
  faults.isUnreachable_ = true;
  deployment_.RunFor(500ms);
  deployment_.Cancel(kJob);
  deployment_.RunFor(500ms);
  deployment_.Kill(deployment_.Owner());
  deployment_.RunFor(3500ms);
  ASSERT_TRUE(IsRunning());
  // The new owner's stop commands are lost until it has read a second list.
  faults.isUnreachable_ = false;
  faults.losesStops_ = true;
  deployment_.RunFor(3s);
  faults.losesStops_ = false;
  deployment_.RunFor(2s);
  EXPECT_FALSE(IsRunning());
  ExpectNoViolations(deployment_);
}

// Guards against a cancelled task that keeps running when its owner is killed
// between the record of the cancel and the stop commands. The successor has
// neither the job nor its runs.
TEST_F(StopCommands, AreSentByASuccessorIfOnlyTheOutcomeWasStored)
{
  ASSERT_TRUE(IsRunning());
  const std::string owner = deployment_.Owner();
  const auto appends = deployment_.store_.appends_;
  deployment_.CancelAt(owner, kJob);
  ASSERT_GT(deployment_.store_.appends_, appends);
  deployment_.Kill(owner);
  ASSERT_TRUE(LinesOf("task_stop").empty());
  // The take-over, the first list of the worker, and the stop.
  deployment_.RunFor(4500ms);
  EXPECT_FALSE(IsRunning());
  EXPECT_EQ(deployment_.StateOfJob(kJob), JobState::Cancelled);
  ExpectNoViolations(deployment_);
}

// Guards against a cancelled task that keeps running for longer than its lease
// when its owner is killed and no other daemon reaches its worker.
TEST_F(StopCommands, AreReplacedByTheEndOfTheLeaseAtAnUnreachableWorker)
{
  ASSERT_TRUE(IsRunning());
  const std::string owner = deployment_.Owner();
  for (const std::string& daemon : deployment_.Running()) {
    deployment_
      .lossyLinks_[{ daemon, deployment_.WorkerAt(0).Entry().worker_ }] =
      LinkLoss::Calls;
  }
  deployment_.Cancel(kJob);
  deployment_.Kill(owner);
  deployment_.RunFor(kMaxLeaseDuration);
  EXPECT_FALSE(IsRunning());
  ExpectNoViolations(deployment_);
}

// Guards against a cancelled task that keeps running because a run of the same
// task that the owner does not know of was listed in its place.
TEST_F(StopCommands, ReachAnOlderRunOfTheTask)
{
  ASSERT_TRUE(IsRunning());
  FakeWorker& worker = deployment_.WorkerAt(0);
  const TaskId task = worker.Running().front();
  deployment_.KillWorker(0);
  deployment_.RestartWorker(0);
  worker.Run(
    StartTask{ worker.Entry().worker_,
               {},
               task,
               RunNumber{ 0 },
               deployment_.StateOf(deployment_.Owner()).workers_.epoch_,
               WorkerTime{ 8000 },
               deployment_.Definition(kJob)->specification_,
               {},
               {},
               worker.Entry().incarnation_ },
    [](const Event&) {});
  deployment_.Cancel(kJob);
  deployment_.RunFor(4s);
  EXPECT_FALSE(IsRunning());
}

// Guards against a wave that never ends because the stop commands for its
// maintenance were lost and are not repeated.
TEST(WaveStopCommands, AreRepeatedUntilTheVmIsFree)
{
  SimulatedDeployment deployment{ 62, { 3, 4, 2 } };
  JobDefinition job = MakeJob(4, 1, 1s);
  job.steps_[0].longRunning_ = true;
  job.steps_[0].disruptionBudget_ = TaskCount{ 1 };
  job.steps_[0].maxPerWorker_ = TaskCount{ 2 };
  deployment.RunFor(kStartUpTime);
  deployment.Submit(kJob, job);
  deployment.RunFor(2s);
  const auto loseStops = [&](bool aAreLost) {
    for (std::size_t index = 0; index < deployment.Workers(); ++index) {
      deployment.WorkerAt(index).faults_.losesStops_ = aAreLost;
    }
  };
  loseStops(true);
  deployment.BeginWave(2);
  deployment.RunFor(4s);
  loseStops(false);
  deployment.RunFor(30s);
  EXPECT_TRUE(deployment.store_.waveStatus_[WaveNumber{ 1 }]);
  EXPECT_EQ(deployment.maintenanceBegun_.size(), 4U);
  ExpectNoViolations(deployment);
}

} // namespace
} // namespace verbenawell::jobs
