#include "ExpectNoViolations.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

std::string
JobName(int aJob)
{
  return "00000000000000" + std::to_string(aJob);
}

/// Submits five jobs a second, each of three tasks of half a second.
void
SubmitJobs(SimulatedDeployment& aDeployment, int aFirst, int aLast)
{
  for (int job = aFirst; job <= aLast; ++job) {
    aDeployment.Submit(JobName(job), MakeJob(3, 1, 500ms));
    aDeployment.RunFor(200ms);
  }
}

std::ptrdiff_t
CountJobs(SimulatedDeployment& aDeployment,
          int aFirst,
          int aLast,
          JobOutcome aOutcome)
{
  const auto& ended =
    aDeployment.StateOf(aDeployment.Owner()).tasks_.endedJobs_;
  std::ptrdiff_t count = 0;
  for (int job = aFirst; job <= aLast; ++job) {
    const auto found = ended.find(JobId{ JobName(job) });
    count += found != ended.end() && found->second.outcome_ == aOutcome ? 1 : 0;
  }
  return count;
}

// Guards against a worker that fails every task. It was always the least loaded
// worker, so it received most tasks and failed most jobs.
TEST(Health, LimitsAWorkerThatFailsEverythingToSingleTasks)
{
  SimulatedDeployment deployment{ 51, { 3, 5, 2 } };
  deployment.RunFor(kStartUpTime);
  deployment.WorkerAt(0).faults_.failurePercent_ = 100;
  SubmitJobs(deployment, 10, 59);
  deployment.RunFor(5s);
  EXPECT_EQ(CountJobs(deployment, 10, 59, JobOutcome::Completed), 50);
  ExpectNoViolations(deployment);
}

// Guards against an ejected worker that is never probed again.
TEST(Health, ReadmitsAWorkerThatHasRecovered)
{
  SimulatedDeployment deployment{ 52, { 3, 5, 2 } };
  deployment.RunFor(kStartUpTime);
  deployment.WorkerAt(0).faults_.failurePercent_ = 100;
  SubmitJobs(deployment, 10, 29);
  const auto& health = deployment.StateOf(deployment.Owner()).health_;
  EXPECT_EQ(health.ejectedWorkers_.size(), 1U);
  deployment.WorkerAt(0).faults_.failurePercent_ = 0;
  SubmitJobs(deployment, 30, 59);
  EXPECT_TRUE(health.ejectedWorkers_.empty());
  ExpectNoViolations(deployment);
}

// Guards against a pool without healthy workers when the jobs themselves are at
// fault.
TEST(Health, DoesNotEjectMostWorkersForJobsThatFailEverywhere)
{
  SimulatedDeployment deployment{ 53, { 3, 5, 2 } };
  deployment.RunFor(kStartUpTime);
  for (std::size_t index = 0; index < deployment.Workers(); ++index) {
    deployment.WorkerAt(index).faults_.failurePercent_ = 100;
  }
  SubmitJobs(deployment, 10, 39);
  const auto& health = deployment.StateOf(deployment.Owner()).health_;
  EXPECT_LT(health.ejectedWorkers_.size(), 3U);
  ExpectNoViolations(deployment);
}

// Guards against jobs that wait for a worker on which tasks make no progress or
// take many times their estimate.
TEST(Health, RestartsFarTooSlowTasksElsewhere)
{
  SimulatedDeployment deployment{ 54, { 3, 5, 2 } };
  deployment.RunFor(kStartUpTime);
  SubmitJobs(deployment, 10, 19);
  deployment.WorkerAt(0).faults_.runTimeFactor_ = 100;
  SubmitJobs(deployment, 20, 39);
  deployment.RunFor(4s);
  EXPECT_EQ(CountJobs(deployment, 10, 39, JobOutcome::Completed), 30);
  ExpectNoViolations(deployment);
}

// Guards against tasks that are stopped as too slow when only their estimates
// are too short.
TEST(Health, DoesNotRestartTasksWhereAllWorkersAreSlow)
{
  SimulatedDeployment deployment{ 55, { 3, 5, 2 } };
  deployment.RunFor(kStartUpTime);
  for (std::size_t index = 0; index < deployment.Workers(); ++index) {
    deployment.WorkerAt(index).faults_.runTimeFactor_ = 8;
  }
  for (int job = 10; job < 20; ++job) {
    deployment.Submit(JobName(job), MakeJob(1, 1, 500ms));
    deployment.RunFor(500ms);
  }
  deployment.RunFor(5s);
  EXPECT_EQ(deployment.oracle_.Starts(), 10U);
  ExpectNoViolations(deployment);
}

// Guards against a task that never runs again because it failed on the only
// worker that has capacity for it.
TEST(Health, RunsATaskAgainWhereItFailedIfNoOtherWorkerHasCapacity)
{
  SimulatedDeployment deployment{ 56, { 3, 1, 2 } };
  deployment.RunFor(kStartUpTime);
  deployment.WorkerAt(0).faults_.failurePercent_ = 100;
  deployment.Submit(JobName(10), MakeJob(1, 1, 500ms));
  deployment.RunFor(300ms);
  // The run that is already active still fails.
  deployment.WorkerAt(0).faults_.failurePercent_ = 0;
  deployment.RunFor(5s);
  EXPECT_EQ(CountJobs(deployment, 10, 10, JobOutcome::Completed), 1);
  ExpectNoViolations(deployment);
}

// Guards against health records of workers that have left the list. The records
// accumulated, and they counted towards the number of workers of their service.
TEST(Health, RemovesAWorkerThatLeavesTheList)
{
  SimulatedDeployment deployment{ 57, { 3, 3, 2 } };
  deployment.RunFor(kStartUpTime);
  SubmitJobs(deployment, 10, 19);
  const auto& health = deployment.StateOf(deployment.Owner()).health_;
  ASSERT_EQ(health.workerStats_.size(), 3U);
  deployment.KillWorker(0);
  deployment.RunFor(20s);
  EXPECT_EQ(health.workerStats_.size(), 2U);
  EXPECT_EQ(health.serviceStats_.at(kService).workers_, 2U);
}

} // namespace
} // namespace verbenawell::jobs
