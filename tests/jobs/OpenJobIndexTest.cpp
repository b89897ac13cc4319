#include "verbenawell/jobs/placement/JobOrder.h"
#include "verbenawell/jobs/tasks/TasksState.h"

#include "SimulatedDeployment.h"

#include <limits>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

/// The index as it results from a pass over all jobs.
OpenJobIndex
Rebuild(const TasksState& aTasks)
{
  OpenJobIndex index;
  for (const auto& [id, job] : aTasks.jobs_) {
    index.Update(job);
  }
  return index;
}

void
ExpectUpToDate(const TasksState& aTasks)
{
  const OpenJobIndex expected = Rebuild(aTasks);
  EXPECT_EQ(aTasks.openJobs_.Waiting(), expected.Waiting());
  EXPECT_EQ(aTasks.openJobs_.WaitingCount(), expected.WaitingCount());
  EXPECT_EQ(aTasks.openJobs_.RemainingCpuTime(kService),
            expected.RemainingCpuTime(kService));
  EXPECT_EQ(aTasks.openJobs_.Pending(kQueue), expected.Pending(kQueue));
}

Job
MakeOpenJob(const std::string& aId, Duration aRunTime)
{
  Job job;
  job.id_ = JobId{ aId };
  job.queue_ = kQueue;
  job.service_ = kService;
  job.definition_ = MakeJob(2, 2, aRunTime);
  job.stored_ = true;
  AddOccurrence(job);
  return job;
}

// Guards against a job that never starts, or an admission that counts work that
// is done, because a change of a job does not reach the index. The deployment
// loses workers, its owner and the store in between.
TEST(OpenJobIndex, FollowsEachChangeOfTheJobs)
{
  for (const std::uint64_t seed : { 3U, 17U, 40U }) {
    SimulatedDeployment deployment{ seed, { .workers_ = 3 } };
    deployment.RunFor(5s);
    for (int step = 0; step < 60; ++step) {
      const std::string job = "000000000000" + std::to_string(1000 + step);
      deployment.Submit(job, MakeJob(3, 2, 400ms));
      if (step % 5 == 4) {
        deployment.Cancel(job);
      }
      if (step == 20) {
        deployment.KillWorker(0);
      } else if (step == 30) {
        deployment.Kill(deployment.NewestOwner());
      } else if (step == 45) {
        deployment.RestartWorker(0);
      }
      deployment.RunFor(300ms);
      if (const std::string owner = deployment.Owner(); !owner.empty()) {
        SCOPED_TRACE(seed);
        ExpectUpToDate(deployment.StateOf(owner).tasks_);
      }
    }
    deployment.RunFor(60s);
    ASSERT_FALSE(deployment.Owner().empty());
    const TasksState& tasks = deployment.StateOf(deployment.Owner()).tasks_;
    EXPECT_TRUE(tasks.openJobs_.Waiting().empty());
    EXPECT_EQ(tasks.openJobs_.RemainingCpuTime(kService), 0U);
  }
}

// Guards against a pass that ranks jobs which have nothing to start: they are
// many under load, and each pass walks over what this index names.
TEST(OpenJobIndex, NamesOnlyJobsWithTasksToStart)
{
  OpenJobIndex index;
  Job job = MakeOpenJob("a", 1s);
  index.Update(job);
  EXPECT_EQ(index.Waiting().at(kService).size(), 1U);
  EXPECT_EQ(index.Pending(kQueue), 1U);
  EXPECT_EQ(index.RemainingCpuTime(kService), RemainingCpuTime(job));
  for (std::uint32_t task = 0; task < 2; ++task) {
    SetStatus(job,
              { job.id_, {}, StepIndex{ 0 }, TaskIndex{ task } },
              Placed{ WorkerId{ "w" }, RunNumber{ 1 }, {} });
  }
  job.started_ = true;
  index.Update(job);
  EXPECT_TRUE(index.Waiting().empty());
  EXPECT_EQ(index.WaitingCount(), 0U);
  EXPECT_EQ(index.Pending(kQueue), 0U);
  for (std::uint32_t task = 0; task < 2; ++task) {
    SetStatus(job, { job.id_, {}, StepIndex{ 0 }, TaskIndex{ task } }, Done{});
  }
  index.Update(job);
  EXPECT_EQ(index.WaitingCount(), 1U);
  job.outcome_ = JobOutcome::Cancelled;
  index.Update(job);
  EXPECT_EQ(index.WaitingCount(), 0U);
  EXPECT_EQ(index.RemainingCpuTime(kService), 0U);
}

// Guards against a workspace that is charged for runs that have ended, or not
// charged for its runs: either moves its share of the pool for good.
TEST(OpenJobIndex, FollowsWhatAWorkspaceUses)
{
  const WorkspaceId workspace{ "workspace" };
  OpenJobIndex index;
  Job job = MakeOpenJob("a", 1s);
  job.workspace_ = workspace;
  index.Update(MakeOpenJob("b", 1s));
  index.Update(job);
  const auto& loads = index.Workspaces().In(kService);
  EXPECT_EQ(loads.size(), 1U);
  EXPECT_EQ(loads.at(workspace).used_, Resources{});
  EXPECT_GT(loads.at(workspace).cpuSeconds_, 0U);
  const TaskId task{ job.id_, {}, StepIndex{ 0 }, TaskIndex{ 0 } };
  SetStatus(job, task, Placed{ WorkerId{ "w" }, RunNumber{ 1 }, {} });
  index.Update(job);
  index.Update(job);
  EXPECT_EQ(loads.at(workspace).used_,
            ResourcesOnWorker(job.definition_.steps_[0]));
  SetStatus(job, task, Done{});
  index.Update(job);
  EXPECT_EQ(loads.at(workspace).used_, Resources{});
  // Long-running tasks are placed outside the competition.
  job.definition_.steps_[0].longRunning_ = true;
  SetStatus(job,
            { job.id_, {}, StepIndex{ 0 }, TaskIndex{ 1 } },
            Placed{ WorkerId{ "w" }, RunNumber{ 1 }, {} });
  index.Update(job);
  EXPECT_EQ(loads.at(workspace).used_, Resources{});
  job.outcome_ = JobOutcome::Cancelled;
  index.Update(job);
  EXPECT_TRUE(loads.empty());
}

// Guards against a sum that wraps: the removal of the job with a huge declared
// size would leave a huge backlog for good.
TEST(OpenJobIndex, ForgetsTheWorkOfAJobWithAHugeSize)
{
  OpenJobIndex index;
  Job huge = MakeOpenJob("a", 24h * 3650);
  huge.definition_.steps_[0].resources_.cpu_ =
    MilliCores{ std::uint64_t{ 1 } << 53U };
  const Job small = MakeOpenJob("b", 1s);
  index.Update(huge);
  index.Update(small);
  EXPECT_EQ(index.RemainingCpuTime(kService),
            std::numeric_limits<std::uint64_t>::max());
  index.Remove(huge.id_);
  EXPECT_EQ(index.RemainingCpuTime(kService), RemainingCpuTime(small));
}

} // namespace
} // namespace verbenawell::jobs
