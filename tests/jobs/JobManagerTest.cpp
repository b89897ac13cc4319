#include "ExpectNoViolations.h"

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

// Guards against a missing link on the path from a caller's submission to the
// workers and back.
TEST(JobManager, RunsAllStepsOfAJobAndShowsItAsCompleted)
{
  Installation installation{ 1, {} };
  installation.RunFor(kStartUp);
  installation.Submit("0000000000000001", MakeJob(3, 2, 500ms));
  installation.RunFor(4s);
  EXPECT_EQ(installation.StateOfJob("0000000000000001"), JobState::Completed);
  ExpectKept(installation);
}

// Guards against a second job when a repeated submission reaches another
// daemon.
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

// Guards against accepted jobs that are lost because only the killed daemons
// knew them.
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

// Guards against a new owner that starts tasks which still run on a worker that
// it cannot reach.
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

// Guards against a journal write without records that completes before earlier
// ones. It acknowledged ends that had not been written, since the store was
// unavailable.
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
  // `StateOfJob` asks a random daemon, so the former owner has to reach the
  // store again.
  installation.store_.faults_.cutOff_.clear();
  installation.RunFor(2s);
  EXPECT_EQ(installation.StateOfJob("0000000000000001"), JobState::Completed);
  ExpectKept(installation);
}

// Guards against renewals sent to a lost worker that keep extending its lease,
// so that its tasks never run again.
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

// Guards against waiting for a lease to expire although a new incarnation of
// the worker has already ended it.
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

// Guards against two tasks of a step that are stopped for maintenance at once.
// A task under a stop command counted as running.
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

// Guards against disruption budgets that count the tasks of dead workers as
// running.
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

// Guards against tasks that are placed on a VM while its maintenance begins.
// They waited there for the lease of a worker that was gone.
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

// Guards against a start command that is executed seconds after the same task
// was started elsewhere.
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

// Guards against work that continues after the response to its cancel.
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

// Guards against a paused owner that resumes and extends leases after it was
// replaced.
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

// Guards against a handover that waits for the time-out of an unresponsive
// owner although the owner announced that it stops.
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

// Guards against a task that is retried without end, and against a job that
// fails before its attempts are used up.
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

// Guards against a 404 from an owner that cannot reach the store and therefore
// lacks a queue that the daemon asked already knows.
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

// Guards against an acknowledgement meant for an earlier incarnation that makes
// the new incarnation forget an end which no owner has read.
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

// Guards against VMs that stay off while a burst of jobs waits for capacity,
// and against a move that ends active runs.
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
  // Compares four VMs without spare ones to four VMs with four spare ones.
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

// Guards against submissions that wait for an unavailable store until their
// outcome is unknown, so that their callers cannot retry.
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

// Guards against a new owner that waits a second time for the lease of a lost
// worker because the loss of the run was not written to the journal.
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
