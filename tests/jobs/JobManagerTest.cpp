#include "ExpectKept.h"

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

JobDefinition
LongRunning(std::uint32_t aTasks, std::uint32_t aBudget)
{
  JobDefinition job = MakeJob(aTasks, 1, 1s);
  job.steps_[0].longRunning_ = true;
  job.steps_[0].disruptionBudget_ = TaskCount{ aBudget };
  job.steps_[0].perWorker_ = TaskCount{ 1 };
  return job;
}

bool
RunsSomewhere(Installation& aInstallation, const TaskId& aTask)
{
  for (std::size_t index = 0; index < aInstallation.Workers(); ++index) {
    for (const TaskId& task : aInstallation.WorkerAt(index).Running()) {
      if (task == aTask) {
        return true;
      }
    }
  }
  return false;
}

TaskId
FirstTask(const std::string& aJob, std::uint32_t aIndex = 0)
{
  return { JobId{ aJob }, {}, {}, TaskIndex{ aIndex } };
}

// Guards against a path with a missing piece between caller and worker.
TEST(JobManager, RunsAllStepsOfAJobAndShowsItAsCompleted)
{
  Installation installation{ 1, {} };
  installation.RunFor(kStartUp);
  installation.Submit("0000000000000001", MakeJob(3, 2, 500ms));
  installation.RunFor(4s);
  EXPECT_EQ(installation.StateOfJob("0000000000000001"), JobState::Completed);
  ExpectKept(installation);
}

// Guards against a second job for a repeat that reaches another daemon.
TEST(JobManager, TreatsARepeatedSubmissionAsTheSameJob)
{
  Installation installation{ 2, {} };
  installation.RunFor(kStartUp);
  installation.Submit("0000000000000001", MakeJob(2, 1, 500ms));
  installation.RunFor(1s);
  installation.Submit("0000000000000001", MakeJob(2, 1, 500ms));
  installation.RunFor(4s);
  EXPECT_EQ(installation.oracle_.Starts(), 2U);
  ExpectKept(installation);
}

// Guards against accepted jobs that only the killed processes knew.
TEST(JobManager, KeepsAcceptedJobsWhenAllDaemonsAreKilled)
{
  Installation installation{ 3, {} };
  installation.RunFor(kStartUp);
  installation.Submit("0000000000000001", MakeJob(4, 2, 1s));
  installation.RunFor(300ms);
  for (const std::string& daemon : installation.Running()) {
    installation.Kill(daemon);
  }
  installation.RunFor(1s);
  for (const char* daemon : { "d0", "d1", "d2" }) {
    installation.Start(daemon);
  }
  installation.RunFor(12s);
  EXPECT_EQ(installation.StateOfJob("0000000000000001"), JobState::Completed);
  ExpectKept(installation);
}

// Guards against a new owner that starts what runs at a worker that it cannot
// reach.
TEST(JobManager, WaitsForTheLeaseOfAWorkerThatANewOwnerCannotReach)
{
  Installation installation{ 4, {} };
  installation.RunFor(kStartUp);
  installation.Submit("0000000000000001", MakeJob(8, 1, 20s));
  installation.RunFor(1s);
  installation.WorkerAt(0).faults_.isCutOff_ = true;
  installation.Kill(installation.Owner());
  installation.RunFor(20s);
  ExpectKept(installation);
}

// Guards against a save without records that finishes before earlier ones: it
// acknowledged ends that only a store that was away should have known.
TEST(JobManager, AcknowledgesNoEndBeforeAllEarlierEndsAreStored)
{
  Installation installation{ 5, {} };
  installation.RunFor(kStartUp);
  installation.Submit("0000000000000001", MakeJob(3, 1, 1s));
  installation.Submit("0000000000000002", MakeJob(3, 1, 1500ms));
  installation.RunFor(700ms);
  const std::string owner = installation.Owner();
  installation.Cancel("0000000000000002");
  installation.RunFor(100ms);
  installation.store_.faults_.cutOff_.insert(DaemonId{ owner });
  installation.RunFor(20s);
  // Any daemon may be asked, so the former owner has to be back.
  installation.store_.faults_.cutOff_.clear();
  installation.RunFor(2s);
  EXPECT_EQ(installation.StateOfJob("0000000000000001"), JobState::Completed);
  ExpectKept(installation);
}

// Guards against holds to a lost worker that move the end of its lease on and
// on, so that its tasks never run again.
TEST(JobManager, RunsTheTasksOfALostWorkerElsewhere)
{
  Installation installation{ 6, {} };
  installation.RunFor(kStartUp);
  installation.Submit("0000000000000001", LongRunning(3, 1));
  installation.RunFor(2s);
  std::size_t lost = 0;
  while (installation.WorkerAt(lost).Running().empty()) {
    ++lost;
  }
  const TaskId task = installation.WorkerAt(lost).Running().front();
  installation.KillWorker(lost);
  installation.RunFor(10s);
  EXPECT_TRUE(RunsSomewhere(installation, task));
  ExpectKept(installation);
}

// Guards against waiting for a lease that a new life of the worker ends.
TEST(JobManager, RunsTheTasksOfARebornWorkerAtOnce)
{
  Installation installation{ 7, {} };
  installation.RunFor(kStartUp);
  installation.Submit("0000000000000001", LongRunning(3, 1));
  installation.RunFor(2s);
  std::size_t lost = 0;
  while (installation.WorkerAt(lost).Running().empty()) {
    ++lost;
  }
  const TaskId task = installation.WorkerAt(lost).Running().front();
  installation.KillWorker(lost);
  installation.RunFor(500ms);
  installation.ReviveWorker(lost);
  installation.RunFor(3s);
  EXPECT_TRUE(RunsSomewhere(installation, task));
  ExpectKept(installation);
}

// Guards against two tasks of a step that are stopped for maintenance at once:
// a task under a stop order counted as at work.
TEST(JobManager, KeepsDisruptionBudgetsThroughAWave)
{
  Installation installation{ 8, { 3, 6, 2 } };
  installation.RunFor(kStartUp);
  for (int job = 1; job <= 3; ++job) {
    installation.Submit("000000000000000" + std::to_string(job),
                        LongRunning(4, 1));
  }
  installation.RunFor(3s);
  installation.BeginWave(3);
  installation.RunFor(30s);
  EXPECT_TRUE(installation.store_.waveStatus_[WaveNumber{ 1 }]);
  EXPECT_EQ(installation.begun_.size(), 6U);
  for (int job = 1; job <= 3; ++job) {
    for (std::uint32_t index = 0; index < 4; ++index) {
      EXPECT_TRUE(RunsSomewhere(
        installation,
        FirstTask("000000000000000" + std::to_string(job), index)));
    }
  }
  ExpectKept(installation);
}

// Guards against budgets that take the tasks of dead workers for working ones.
TEST(JobManager, CountsTasksOfDeadWorkersAsAwayInAWave)
{
  Installation installation{ 9, { 3, 6, 2 } };
  installation.RunFor(kStartUp);
  installation.Submit("0000000000000001", LongRunning(4, 1));
  installation.RunFor(3s);
  std::size_t lost = 0;
  while (installation.WorkerAt(lost).Running().empty()) {
    ++lost;
  }
  installation.KillWorker(lost);
  installation.RunFor(2500ms);
  installation.BeginWave(3);
  installation.RunFor(4s);
  ExpectKept(installation);
}

// Guards against a VM that gets tasks while its maintenance begins: they
// waited there for the lease of a worker that was gone.
TEST(JobManager, PlacesNothingOnAVmThatGoesDown)
{
  Installation installation{ 10, { 3, 4, 2 } };
  installation.RunFor(kStartUp + 4s);
  installation.BeginWave(2);
  for (int job = 10; job < 40; ++job) {
    installation.Submit("00000000000000" + std::to_string(job),
                        MakeJob(2, 1, 300ms));
    installation.RunFor(300ms);
  }
  installation.RunFor(6s);
  for (int job = 10; job < 40; ++job) {
    EXPECT_EQ(installation.StateOfJob("00000000000000" + std::to_string(job)),
              JobState::Completed);
  }
  ExpectKept(installation);
}

// Guards against a start order that is carried out seconds after the same
// task was started elsewhere.
TEST(JobManager, SettlesStartOrdersWithoutAnAnswer)
{
  Installation installation{ 11, {} };
  installation.RunFor(kStartUp);
  for (std::size_t index = 0; index < installation.Workers(); ++index) {
    installation.WorkerAt(index).faults_.lateOrders_ = 40;
  }
  for (int job = 10; job < 25; ++job) {
    installation.Submit("00000000000000" + std::to_string(job),
                        MakeJob(3, 1, 400ms));
    installation.RunFor(500ms);
  }
  installation.RunFor(10s);
  ExpectKept(installation);
}

// Guards against work that goes on after its cancel was answered.
TEST(JobManager, StopsTheTasksOfACancelledJob)
{
  Installation installation{ 12, {} };
  installation.RunFor(kStartUp);
  installation.Submit("0000000000000001", MakeJob(4, 1, 60s));
  installation.RunFor(1s);
  installation.Cancel("0000000000000001");
  installation.RunFor(2s);
  EXPECT_FALSE(RunsSomewhere(installation, FirstTask("0000000000000001")));
  EXPECT_EQ(installation.StateOfJob("0000000000000001"), JobState::Cancelled);
  ExpectKept(installation);
}

// Guards against a paused owner that extends leases after it was replaced.
TEST(JobManager, IgnoresAnOwnerThatWakesAfterItsReplacement)
{
  Installation installation{ 13, {} };
  installation.RunFor(kStartUp);
  installation.Submit("0000000000000001", MakeJob(8, 1, 15s));
  installation.RunFor(1s);
  const std::string owner = installation.Owner();
  installation.Freeze(owner, 6s);
  installation.RunFor(25s);
  EXPECT_NE(installation.Owner(), owner);
  EXPECT_EQ(installation.StateOfJob("0000000000000001"), JobState::Completed);
  ExpectKept(installation);
}

// Guards against a hand-over that waits for the silence of an owner that said
// that it leaves.
TEST(JobManager, HandsOverAtOnceWhenTheOwnerIsStopped)
{
  Installation installation{ 14, {} };
  installation.RunFor(kStartUp);
  const std::string owner = installation.Owner();
  installation.Stop(owner);
  installation.RunFor(300ms);
  EXPECT_NE(installation.Owner(), owner);
  EXPECT_FALSE(installation.Owner().empty());
}

// Guards against a task that is tried for ever, and against a job that fails
// before its attempts are used up.
TEST(JobManager, FailsAJobAfterTheAllowedAttempts)
{
  Installation installation{ 15, {} };
  installation.RunFor(kStartUp);
  for (std::size_t index = 0; index < installation.Workers(); ++index) {
    installation.WorkerAt(index).faults_.failures_ = 100;
  }
  installation.Submit("0000000000000001", MakeJob(1, 1, 200ms));
  installation.RunFor(4s);
  EXPECT_EQ(installation.StateOfJob("0000000000000001"), JobState::Failed);
  EXPECT_EQ(installation.oracle_.Starts(), 2U);
  ExpectKept(installation);
}

// Guards against a 404 by an owner that is cut off from the store and lacks
// the queue that the asked daemon knows.
TEST(JobManager, TakesNoMissingQueueFromAnOwnerWithAnOlderConfiguration)
{
  Installation installation{ 16, {} };
  installation.RunFor(kStartUp);
  const std::string owner = installation.Owner();
  installation.store_.faults_.cutOff_.insert(DaemonId{ owner });
  installation.AddQueue();
  installation.RunFor(500ms);
  const std::string other = owner == "d0" ? "d1" : "d0";
  const auto answer = installation.AskOnce(other, CountPending{}, "/more/");
  ASSERT_TRUE(answer.has_value());
  EXPECT_TRUE(std::holds_alternative<PendingShown>(*answer));
}

// Guards against an acknowledgement for an old life that makes the new life
// forget an end which nobody has read.
TEST(JobManager, AcknowledgesNothingToAWorkerThatMayHaveANewLife)
{
  Installation installation{ 17, { 3, 1, 1 } };
  installation.RunFor(kStartUp);
  installation.Submit("0000000000000001", MakeJob(2, 1, 200ms));
  installation.RunFor(1s);
  installation.Submit("0000000000000002", MakeJob(2, 1, 200ms));
  installation.RunFor(20ms);
  installation.KillWorker(0);
  installation.RunFor(1500ms);
  installation.ReviveWorker(0);
  installation.RunFor(15s);
  EXPECT_EQ(installation.StateOfJob("0000000000000002"), JobState::Completed);
  ExpectKept(installation);
}

// Guards against VMs that stay off while a burst waits for room, and against a
// move that ends what runs.
TEST(JobManager, BringsStandbyVmsToAPoolWhoseJobsWait)
{
  const auto completed = [](int aSpare) {
    Installation installation{ 18, { 3, 8, 2, aSpare } };
    installation.RunFor(kStartUp + 4s);
    for (int job = 100; job < 160; ++job) {
      installation.Submit("0000000000000" + std::to_string(job),
                          MakeJob(6, 1, 1s));
      installation.RunFor(50ms);
    }
    installation.RunFor(4s);
    ExpectKept(installation);
    const std::string owner = installation.Owner();
    return installation.StateOf(owner).tasks_.ended_.size();
  };
  // Four VMs of which none can come, against four and four that are off.
  Installation fixed{ 18, { 3, 4, 2 } };
  fixed.RunFor(kStartUp + 4s);
  for (int job = 100; job < 160; ++job) {
    fixed.Submit("0000000000000" + std::to_string(job), MakeJob(6, 1, 1s));
    fixed.RunFor(50ms);
  }
  fixed.RunFor(4s);
  EXPECT_GT(completed(4),
            fixed.StateOf(fixed.Owner()).tasks_.ended_.size() * 5 / 4);
}

// Guards against submissions that wait for a store that is away until their
// answer is unknown, so that their callers cannot try again.
TEST(JobManager, RefusesSubmissionsWhileTheStoreIsAway)
{
  Installation installation{ 19, {} };
  installation.RunFor(kStartUp);
  installation.store_.faults_.isDown_ = true;
  installation.Submit("0000000000000001", MakeJob(1, 1, 200ms));
  installation.RunFor(1500ms);
  const auto definition =
    std::make_shared<const JobDefinition>(MakeJob(1, 1, 200ms));
  for (const std::string& daemon : installation.Running()) {
    const auto answer = installation.AskOnce(
      daemon, SubmitJob{ JobId{ "0000000000000002" }, definition });
    ASSERT_TRUE(answer.has_value());
    EXPECT_TRUE(std::holds_alternative<JobRejected>(*answer)) << daemon;
  }
}

// Guards against a successor that waits a second time for the lease of a lost
// worker: the loss was not stored.
TEST(JobManager, StoresThatARunIsLost)
{
  Installation installation{ 20, { 3, 1, 1 } };
  installation.RunFor(kStartUp);
  installation.Submit("0000000000000001", LongRunning(1, 1));
  installation.RunFor(2s);
  installation.KillWorker(0);
  installation.RunFor(10s);
  installation.Kill(installation.Owner());
  installation.RunFor(4s);
  const std::string owner = installation.Owner();
  ASSERT_FALSE(owner.empty());
  const Job* job =
    installation.StateOf(owner).tasks_.Find(JobId{ "0000000000000001" });
  ASSERT_NE(job, nullptr);
  EXPECT_TRUE(PlacedTasks(*job).empty());
  ExpectKept(installation);
}

} // namespace
} // namespace verbenawell::jobs
