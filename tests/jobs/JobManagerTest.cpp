#include "ExpectNoViolations.h"

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

JobDefinition
LongRunningJobWithBudget(std::uint32_t aTasks, std::uint32_t aBudget)
{
  JobDefinition job = MakeJob(aTasks, 1, 1s);
  job.steps_[0].longRunning_ = true;
  job.steps_[0].disruptionBudget_ = TaskCount{ aBudget };
  job.steps_[0].maxPerWorker_ = TaskCount{ 1 };
  return job;
}

bool
RunsSomewhere(SimulatedDeployment& aDeployment, const TaskId& aTask)
{
  for (std::size_t index = 0; index < aDeployment.Workers(); ++index) {
    for (const TaskId& task : aDeployment.WorkerAt(index).Running()) {
      if (task == aTask) {
        return true;
      }
    }
  }
  return false;
}

TaskId
TaskInFirstStep(const std::string& aJob, std::uint32_t aIndex = 0)
{
  return { JobId{ aJob }, {}, {}, TaskIndex{ aIndex } };
}

// Guards against a broken path from a caller's submission to the workers.
TEST(JobManager, RunsAllStepsOfAJobAndShowsItAsCompleted)
{
  SimulatedDeployment deployment{ 1, {} };
  deployment.RunFor(kStartUpTime);
  deployment.Submit("0000000000000001", MakeJob(3, 2, 500ms));
  deployment.RunFor(4s);
  EXPECT_EQ(deployment.StateOfJob("0000000000000001"), JobState::Completed);
  ExpectNoViolations(deployment);
}

// Guards against a second job for a submission repeated at another daemon.
TEST(JobManager, TreatsARepeatedSubmissionAsTheSameJob)
{
  SimulatedDeployment deployment{ 2, {} };
  deployment.RunFor(kStartUpTime);
  deployment.Submit("0000000000000001", MakeJob(2, 1, 500ms));
  deployment.RunFor(1s);
  deployment.Submit("0000000000000001", MakeJob(2, 1, 500ms));
  deployment.RunFor(4s);
  EXPECT_EQ(deployment.oracle_.Starts(), 2U);
  ExpectNoViolations(deployment);
}

// Guards against the loss of accepted jobs that only killed daemons knew.
TEST(JobManager, KeepsAcceptedJobsWhenAllDaemonsAreKilled)
{
  SimulatedDeployment deployment{ 3, {} };
  deployment.RunFor(kStartUpTime);
  deployment.Submit("0000000000000001", MakeJob(4, 2, 1s));
  deployment.RunFor(300ms);
  for (const std::string& daemon : deployment.Running()) {
    deployment.Kill(daemon);
  }
  deployment.RunFor(1s);
  for (const char* daemon : { "d0", "d1", "d2" }) {
    deployment.Start(daemon);
  }
  deployment.RunFor(12s);
  EXPECT_EQ(deployment.StateOfJob("0000000000000001"), JobState::Completed);
  ExpectNoViolations(deployment);
}

// Guards against a new owner that starts tasks which still run on a worker that
// it cannot reach.
TEST(JobManager, WaitsForTheLeaseOfAWorkerThatANewOwnerCannotReach)
{
  SimulatedDeployment deployment{ 4, {} };
  deployment.RunFor(kStartUpTime);
  deployment.Submit("0000000000000001", MakeJob(8, 1, 20s));
  deployment.RunFor(1s);
  deployment.WorkerAt(0).faults_.isUnreachable_ = true;
  deployment.Kill(deployment.Owner());
  deployment.RunFor(20s);
  ExpectNoViolations(deployment);
}

// Guards against a journal write without records that completes before earlier
// ones: it acknowledged ends that an unavailable store did not have.
TEST(JobManager, AcknowledgesNoEndBeforeAllEarlierEndsAreStored)
{
  SimulatedDeployment deployment{ 5, {} };
  deployment.RunFor(kStartUpTime);
  deployment.Submit("0000000000000001", MakeJob(3, 1, 1s));
  deployment.Submit("0000000000000002", MakeJob(3, 1, 1500ms));
  deployment.RunFor(700ms);
  const std::string owner = deployment.Owner();
  deployment.Cancel("0000000000000002");
  deployment.RunFor(100ms);
  deployment.store_.faults_.unreachableFrom_.insert(DaemonId{ owner });
  deployment.RunFor(20s);
  // `StateOfJob` asks a random daemon, so the former owner has to reach the
  // store again.
  deployment.store_.faults_.unreachableFrom_.clear();
  deployment.RunFor(2s);
  EXPECT_EQ(deployment.StateOfJob("0000000000000001"), JobState::Completed);
  ExpectNoViolations(deployment);
}

// Guards against renewals sent to a lost worker that keep extending its lease,
// so that its tasks never run again.
TEST(JobManager, RunsTheTasksOfALostWorkerElsewhere)
{
  SimulatedDeployment deployment{ 6, {} };
  deployment.RunFor(kStartUpTime);
  deployment.Submit("0000000000000001", LongRunningJobWithBudget(3, 1));
  deployment.RunFor(2s);
  std::size_t lostIndex = 0;
  while (deployment.WorkerAt(lostIndex).Running().empty()) {
    ++lostIndex;
  }
  const TaskId task = deployment.WorkerAt(lostIndex).Running().front();
  deployment.KillWorker(lostIndex);
  deployment.RunFor(10s);
  EXPECT_TRUE(RunsSomewhere(deployment, task));
  ExpectNoViolations(deployment);
}

// Guards against waiting for a lease that a new incarnation has already ended.
TEST(JobManager, RunsTheTasksOfARestartedWorkerAtOnce)
{
  SimulatedDeployment deployment{ 7, {} };
  deployment.RunFor(kStartUpTime);
  deployment.Submit("0000000000000001", LongRunningJobWithBudget(3, 1));
  deployment.RunFor(2s);
  std::size_t lostIndex = 0;
  while (deployment.WorkerAt(lostIndex).Running().empty()) {
    ++lostIndex;
  }
  const TaskId task = deployment.WorkerAt(lostIndex).Running().front();
  deployment.KillWorker(lostIndex);
  deployment.RunFor(500ms);
  deployment.RestartWorker(lostIndex);
  deployment.RunFor(3s);
  EXPECT_TRUE(RunsSomewhere(deployment, task));
  ExpectNoViolations(deployment);
}

// Guards against two tasks of a step that are stopped for maintenance at once.
// A task under a stop command counted as running.
TEST(JobManager, KeepsDisruptionBudgetsThroughAWave)
{
  SimulatedDeployment deployment{ 8, { 3, 6, 2 } };
  deployment.RunFor(kStartUpTime);
  for (int job = 1; job <= 3; ++job) {
    deployment.Submit("000000000000000" + std::to_string(job),
                      LongRunningJobWithBudget(4, 1));
  }
  deployment.RunFor(3s);
  deployment.BeginWave(3);
  deployment.RunFor(30s);
  EXPECT_TRUE(deployment.store_.waveStatus_[WaveNumber{ 1 }]);
  EXPECT_EQ(deployment.maintenanceBegun_.size(), 6U);
  for (int job = 1; job <= 3; ++job) {
    for (std::uint32_t index = 0; index < 4; ++index) {
      EXPECT_TRUE(RunsSomewhere(
        deployment,
        TaskInFirstStep("000000000000000" + std::to_string(job), index)));
    }
  }
  ExpectNoViolations(deployment);
}

// Guards against budgets that count the tasks of dead workers as running.
TEST(JobManager, CountsTasksOfDeadWorkersAsNotRunningInAWave)
{
  SimulatedDeployment deployment{ 9, { 3, 6, 2 } };
  deployment.RunFor(kStartUpTime);
  deployment.Submit("0000000000000001", LongRunningJobWithBudget(4, 1));
  deployment.RunFor(3s);
  std::size_t lostIndex = 0;
  while (deployment.WorkerAt(lostIndex).Running().empty()) {
    ++lostIndex;
  }
  deployment.KillWorker(lostIndex);
  deployment.RunFor(2500ms);
  deployment.BeginWave(3);
  deployment.RunFor(4s);
  ExpectNoViolations(deployment);
}

// Guards against tasks that are placed on a VM while its maintenance begins.
// They waited there for the lease of a worker that had ended.
TEST(JobManager, PlacesNothingOnAVmThatGoesDown)
{
  SimulatedDeployment deployment{ 10, { 3, 4, 2 } };
  deployment.RunFor(kStartUpTime + 4s);
  deployment.BeginWave(2);
  for (int job = 10; job < 40; ++job) {
    deployment.Submit("00000000000000" + std::to_string(job),
                      MakeJob(2, 1, 300ms));
    deployment.RunFor(300ms);
  }
  deployment.RunFor(6s);
  for (int job = 10; job < 40; ++job) {
    EXPECT_EQ(deployment.StateOfJob("00000000000000" + std::to_string(job)),
              JobState::Completed);
  }
  ExpectNoViolations(deployment);
}

// Guards against a start command that is executed seconds after the same task
// was started elsewhere.
TEST(JobManager, HandlesStartCommandsWithoutAResponse)
{
  SimulatedDeployment deployment{ 11, {} };
  deployment.RunFor(kStartUpTime);
  for (std::size_t index = 0; index < deployment.Workers(); ++index) {
    deployment.WorkerAt(index).faults_.delayedCommandPercent_ = 40;
  }
  for (int job = 10; job < 25; ++job) {
    deployment.Submit("00000000000000" + std::to_string(job),
                      MakeJob(3, 1, 400ms));
    deployment.RunFor(500ms);
  }
  deployment.RunFor(10s);
  ExpectNoViolations(deployment);
}

// Guards against work that continues after the response to its cancel.
TEST(JobManager, StopsTheTasksOfACancelledJob)
{
  SimulatedDeployment deployment{ 12, {} };
  deployment.RunFor(kStartUpTime);
  deployment.Submit("0000000000000001", MakeJob(4, 1, 60s));
  deployment.RunFor(1s);
  deployment.Cancel("0000000000000001");
  deployment.RunFor(2s);
  EXPECT_FALSE(RunsSomewhere(deployment, TaskInFirstStep("0000000000000001")));
  EXPECT_EQ(deployment.StateOfJob("0000000000000001"), JobState::Cancelled);
  ExpectNoViolations(deployment);
}

// Guards against a paused owner that extends leases after its replacement.
TEST(JobManager, IgnoresAnOwnerThatResumesAfterItsReplacement)
{
  SimulatedDeployment deployment{ 13, {} };
  deployment.RunFor(kStartUpTime);
  deployment.Submit("0000000000000001", MakeJob(8, 1, 15s));
  deployment.RunFor(1s);
  const std::string owner = deployment.Owner();
  deployment.Freeze(owner, 6s);
  deployment.RunFor(25s);
  EXPECT_NE(deployment.Owner(), owner);
  EXPECT_EQ(deployment.StateOfJob("0000000000000001"), JobState::Completed);
  ExpectNoViolations(deployment);
}

// Guards against a handover that waits although the owner announced its stop.
TEST(JobManager, HandsOverAtOnceWhenTheOwnerIsStopped)
{
  SimulatedDeployment deployment{ 14, {} };
  deployment.RunFor(kStartUpTime);
  const std::string owner = deployment.Owner();
  deployment.Stop(owner);
  deployment.RunFor(300ms);
  EXPECT_NE(deployment.Owner(), owner);
  EXPECT_FALSE(deployment.Owner().empty());
}

// Guards against a task that is retried without end, and against a job that
// fails before its attempts are used up.
TEST(JobManager, FailsAJobAfterTheAllowedAttempts)
{
  SimulatedDeployment deployment{ 15, {} };
  deployment.RunFor(kStartUpTime);
  for (std::size_t index = 0; index < deployment.Workers(); ++index) {
    deployment.WorkerAt(index).faults_.failurePercent_ = 100;
  }
  deployment.Submit("0000000000000001", MakeJob(1, 1, 200ms));
  deployment.RunFor(4s);
  EXPECT_EQ(deployment.StateOfJob("0000000000000001"), JobState::Failed);
  EXPECT_EQ(deployment.oracle_.Starts(), 2U);
  ExpectNoViolations(deployment);
}

// Guards against a 404 from an owner that cannot reach the store and therefore
// lacks a queue that the daemon asked already knows.
TEST(JobManager, IgnoresA404FromAnOwnerWithAnOlderConfiguration)
{
  SimulatedDeployment deployment{ 16, {} };
  deployment.RunFor(kStartUpTime);
  const std::string owner = deployment.Owner();
  deployment.store_.faults_.unreachableFrom_.insert(DaemonId{ owner });
  deployment.AddQueue();
  deployment.RunFor(500ms);
  const std::string other = owner == "d0" ? "d1" : "d0";
  const auto response = deployment.SendAndWait(other, CountPending{}, "/more/");
  ASSERT_TRUE(response.has_value());
  EXPECT_TRUE(std::holds_alternative<PendingJobsReported>(*response));
}

// Guards against an acknowledgement meant for an earlier incarnation that makes
// the new incarnation discard an end which no owner has read.
TEST(JobManager, AcknowledgesNothingToAWorkerThatMayHaveRestarted)
{
  SimulatedDeployment deployment{ 17, { 3, 1, 1 } };
  deployment.RunFor(kStartUpTime);
  deployment.Submit("0000000000000001", MakeJob(2, 1, 200ms));
  deployment.RunFor(1s);
  deployment.Submit("0000000000000002", MakeJob(2, 1, 200ms));
  deployment.RunFor(20ms);
  deployment.KillWorker(0);
  deployment.RunFor(1500ms);
  deployment.RestartWorker(0);
  deployment.RunFor(15s);
  EXPECT_EQ(deployment.StateOfJob("0000000000000002"), JobState::Completed);
  ExpectNoViolations(deployment);
}

// Guards against VMs that stay off while a burst of jobs waits for capacity,
// and against a move that ends active runs.
TEST(JobManager, MovesSpareVmsToAPoolWhoseJobsWait)
{
  const auto completed = [](int aSpare) {
    SimulatedDeployment deployment{ 18, { 3, 8, 2, aSpare } };
    deployment.RunFor(kStartUpTime + 4s);
    for (int job = 100; job < 160; ++job) {
      deployment.Submit("0000000000000" + std::to_string(job),
                        MakeJob(6, 1, 1s));
      deployment.RunFor(50ms);
    }
    deployment.RunFor(4s);
    ExpectNoViolations(deployment);
    const std::string owner = deployment.Owner();
    return deployment.StateOf(owner).tasks_.endedJobs_.size();
  };
  // Compares four VMs without spare ones to four VMs with four spare ones.
  SimulatedDeployment noSpare{ 18, { 3, 4, 2 } };
  noSpare.RunFor(kStartUpTime + 4s);
  for (int job = 100; job < 160; ++job) {
    noSpare.Submit("0000000000000" + std::to_string(job), MakeJob(6, 1, 1s));
    noSpare.RunFor(50ms);
  }
  noSpare.RunFor(4s);
  EXPECT_GT(completed(4),
            noSpare.StateOf(noSpare.Owner()).tasks_.endedJobs_.size() * 5 / 4);
}

// Guards against submissions that wait for an unavailable store until their
// outcome is unknown, so that their callers cannot retry.
TEST(JobManager, RejectsSubmissionsWhileTheStoreIsUnavailable)
{
  SimulatedDeployment deployment{ 19, {} };
  deployment.RunFor(kStartUpTime);
  deployment.store_.faults_.isDown_ = true;
  deployment.Submit("0000000000000001", MakeJob(1, 1, 200ms));
  deployment.RunFor(1500ms);
  const auto definition =
    std::make_shared<const JobDefinition>(MakeJob(1, 1, 200ms));
  for (const std::string& daemon : deployment.Running()) {
    const auto response = deployment.SendAndWait(
      daemon, SubmitJob{ JobId{ "0000000000000002" }, definition });
    ASSERT_TRUE(response.has_value());
    EXPECT_TRUE(std::holds_alternative<JobRejected>(*response)) << daemon;
  }
}

// Guards against a new owner that waits a second time for the lease of a lost
// worker because the loss of the run was not written to the journal.
TEST(JobManager, WritesTheLossOfARunToTheJournal)
{
  SimulatedDeployment deployment{ 20, { 3, 1, 1 } };
  deployment.RunFor(kStartUpTime);
  deployment.Submit("0000000000000001", LongRunningJobWithBudget(1, 1));
  deployment.RunFor(2s);
  deployment.KillWorker(0);
  deployment.RunFor(10s);
  deployment.Kill(deployment.Owner());
  deployment.RunFor(4s);
  const std::string owner = deployment.Owner();
  ASSERT_FALSE(owner.empty());
  const Job* job =
    deployment.StateOf(owner).tasks_.Find(JobId{ "0000000000000001" });
  ASSERT_NE(job, nullptr);
  EXPECT_TRUE(PlacedTasks(*job).empty());
  ExpectNoViolations(deployment);
}

} // namespace
} // namespace verbenawell::jobs
