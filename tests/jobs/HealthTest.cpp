#include "ExpectNoViolations.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

std::string
Name(int aJob)
{
  return "00000000000000" + std::to_string(aJob);
}

/// Submits five jobs a second, each of three tasks of half a second.
void
SubmitJobs(Installation& aInstallation, int aFirst, int aLast)
{
  for (int job = aFirst; job <= aLast; ++job) {
    aInstallation.Submit(Name(job), MakeJob(3, 1, 500ms));
    aInstallation.RunFor(200ms);
  }
}

std::ptrdiff_t
CountIn(Installation& aInstallation, int aFirst, int aLast, JobOutcome aOutcome)
{
  const auto& ended =
    aInstallation.StateOf(aInstallation.Owner()).tasks_.ended_;
  std::ptrdiff_t count = 0;
  for (int job = aFirst; job <= aLast; ++job) {
    const auto found = ended.find(JobId{ Name(job) });
    count += found != ended.end() && found->second.outcome_ == aOutcome ? 1 : 0;
  }
  return count;
}

// Guards against a worker that fails every task. It was always the least loaded
// worker, so it received most tasks and failed most jobs.
TEST(Health, GivesAWorkerThatFailsEverythingSingleTasks)
{
  Installation installation{ 51, { 3, 5, 2 } };
  installation.RunFor(kStartUp);
  installation.WorkerAt(0).faults_.failures_ = 100;
  SubmitJobs(installation, 10, 59);
  installation.RunFor(5s);
  EXPECT_EQ(CountIn(installation, 10, 59, JobOutcome::Completed), 50);
  ExpectKept(installation);
}

// Guards against an ejected worker that is never probed again.
TEST(Health, TrustsAWorkerAgainThatHasRecovered)
{
  Installation installation{ 52, { 3, 5, 2 } };
  installation.RunFor(kStartUp);
  installation.WorkerAt(0).faults_.failures_ = 100;
  SubmitJobs(installation, 10, 29);
  const auto& health = installation.StateOf(installation.Owner()).health_;
  EXPECT_EQ(health.suspects_.size(), 1U);
  installation.WorkerAt(0).faults_.failures_ = 0;
  SubmitJobs(installation, 30, 59);
  EXPECT_TRUE(health.suspects_.empty());
  ExpectKept(installation);
}

// Guards against a pool without healthy workers when the jobs themselves are at
// fault.
TEST(Health, BlamesNoWorkerForJobsThatFailEverywhere)
{
  Installation installation{ 53, { 3, 5, 2 } };
  installation.RunFor(kStartUp);
  for (std::size_t index = 0; index < installation.Workers(); ++index) {
    installation.WorkerAt(index).faults_.failures_ = 100;
  }
  SubmitJobs(installation, 10, 39);
  const auto& health = installation.StateOf(installation.Owner()).health_;
  EXPECT_LT(health.suspects_.size(), 3U);
  ExpectKept(installation);
}

// Guards against jobs that wait for a worker on which tasks make no progress or
// take many times their estimate.
TEST(Health, RestartsTasksElsewhereThatAreFarTooSlow)
{
  Installation installation{ 54, { 3, 5, 2 } };
  installation.RunFor(kStartUp);
  SubmitJobs(installation, 10, 19);
  installation.WorkerAt(0).faults_.slowness_ = 100;
  SubmitJobs(installation, 20, 39);
  installation.RunFor(4s);
  EXPECT_EQ(CountIn(installation, 10, 39, JobOutcome::Completed), 30);
  ExpectKept(installation);
}

// Guards against tasks that are stopped as too slow when only their estimates
// are too short.
TEST(Health, LeavesSlowTasksWhereAllWorkersAreSlow)
{
  Installation installation{ 55, { 3, 5, 2 } };
  installation.RunFor(kStartUp);
  for (std::size_t index = 0; index < installation.Workers(); ++index) {
    installation.WorkerAt(index).faults_.slowness_ = 8;
  }
  for (int job = 10; job < 20; ++job) {
    installation.Submit(Name(job), MakeJob(1, 1, 500ms));
    installation.RunFor(500ms);
  }
  installation.RunFor(5s);
  EXPECT_EQ(installation.oracle_.Starts(), 10U);
  ExpectKept(installation);
}

// Guards against a task that never runs again because it failed on the only
// worker that has capacity for it.
TEST(Health, RunsATaskAgainWhereItFailedIfNoOtherWorkerFits)
{
  Installation installation{ 56, { 3, 1, 2 } };
  installation.RunFor(kStartUp);
  installation.WorkerAt(0).faults_.failures_ = 100;
  installation.Submit(Name(10), MakeJob(1, 1, 500ms));
  installation.RunFor(300ms);
  // The run that is already active still fails.
  installation.WorkerAt(0).faults_.failures_ = 0;
  installation.RunFor(5s);
  EXPECT_EQ(CountIn(installation, 10, 10, JobOutcome::Completed), 1);
  ExpectKept(installation);
}

// Guards against health records of workers that have left the list. The records
// accumulated, and they counted towards the number of workers of their service.
TEST(Health, ForgetsAWorkerThatLeavesTheList)
{
  Installation installation{ 57, { 3, 3, 2 } };
  installation.RunFor(kStartUp);
  SubmitJobs(installation, 10, 19);
  const auto& health = installation.StateOf(installation.Owner()).health_;
  ASSERT_EQ(health.records_.size(), 3U);
  installation.KillWorker(0);
  installation.RunFor(20s);
  EXPECT_EQ(health.records_.size(), 2U);
  EXPECT_EQ(health.services_.at(kService).workers_, 2U);
}

} // namespace
} // namespace verbenawell::jobs
