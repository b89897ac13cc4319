#include "verbenawell/jobs/sharding/Shards.h"
#include "verbenawell/jobs/sharding/internal/StrandedJobs.h"

#include "ExpectNoViolations.h"

#include <algorithm>
#include <string>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

constexpr ShardCount kShards{ 3 };
constexpr SimulatedDeployment::Size kSize{ .daemons_ = 5,
                                           .workers_ = 18,
                                           .perRack_ = 1,
                                           .shards_ = static_cast<int>(
                                             kShards.Value()) };
// Time for the claims at the start, and for those that spread the shards.
constexpr Duration kSettlingTime = 12s;
// The only worker with this label is that of the first VM.
const std::string kRareLabel = "r0";

ShardIndex
ShardOfRareWorker()
{
  return ShardOf(VmId{ "vm0" }, kShards);
}

std::string
JobName(int aIndex)
{
  return std::to_string(1'000'000'000'000'000 + aIndex);
}

/// The name of a job whose shard lacks the worker with the rare label.
std::string
StrandedJobName()
{
  int index = 0;
  while (ShardOf(JobId{ JobName(index) }, kShards) == ShardOfRareWorker()) {
    ++index;
  }
  return JobName(index);
}

JobDefinition
MakeRareJob(Duration aRunTime)
{
  JobDefinition job = MakeJob(1, 1, aRunTime);
  job.steps_[0].requiredLabel_ = kRareLabel;
  return job;
}

void
ExpectCompletedAtEachDaemon(SimulatedDeployment& aDeployment,
                            const std::string& aJob)
{
  for (const std::string& daemon : aDeployment.Running()) {
    const auto response =
      aDeployment.SendAndWait(daemon, ReadJob{ JobId{ aJob } });
    const auto* shown =
      response ? std::get_if<JobStateReported>(&*response) : nullptr;
    ASSERT_NE(shown, nullptr) << aJob << " at " << daemon;
    EXPECT_EQ(shown->state_, JobState::Completed) << aJob << " at " << daemon;
  }
}

// Guards against jobs that never start because the only worker for them belongs
// to another shard.
TEST(HandOver, RunsJobsWhoseShardLacksTheRightWorker)
{
  SimulatedDeployment deployment{ 221, kSize };
  deployment.RunFor(kSettlingTime);
  constexpr int kJobs = 6;
  for (int index = 0; index < kJobs; ++index) {
    deployment.Submit(JobName(index), MakeRareJob(500ms));
  }
  deployment.RunFor(12s);
  EXPECT_EQ(deployment.oracle_.Starts(), kJobs);
  for (int index = 0; index < kJobs; ++index) {
    ExpectCompletedAtEachDaemon(deployment, JobName(index));
  }
  ExpectNoViolations(deployment);
}

// Guards against an entry of another writer in the list of workers, which never
// has a VM and kept jobs from being handed over.
TEST(HandOver, DoesNotWaitForAWorkerWithoutAVm)
{
  SimulatedDeployment deployment{ 228, kSize };
  WorkerEntry foreign = deployment.WorkerAt(1).Entry();
  foreign.worker_ = WorkerId{ "foreign" };
  foreign.address_ = { "10.0.0.9", 9 };
  deployment.store_.workers_[foreign.worker_] = foreign;
  deployment.RunFor(kSettlingTime);
  deployment.Submit(StrandedJobName(), MakeRareJob(500ms));
  deployment.RunFor(6s);
  EXPECT_EQ(deployment.StateOfJob(StrandedJobName()), JobState::Completed);
  ExpectNoViolations(deployment);
}

/// Each member takes a whole worker, and only the largest shard has enough.
JobDefinition
MakeGangForLargestShard()
{
  std::vector<std::uint32_t> sizes(kShards.Value());
  for (int index = 0; index < kSize.workers_; ++index) {
    ++sizes[ShardOf(VmId{ "vm" + std::to_string(index) }, kShards).Value()];
  }
  const auto largest = std::ranges::max_element(sizes);
  EXPECT_GT(*largest, *std::ranges::min_element(sizes));
  JobDefinition job = MakeJob(*largest, 1, 1s);
  job.steps_[0].gang_ = true;
  job.steps_[0].resources_.cpu_ = MilliCores{ 8000 };
  return job;
}

// Guards against a gang that waits for ever in a shard with fewer workers than
// it has members.
TEST(HandOver, RunsAGangThatOnlyALargerShardCanHold)
{
  const JobDefinition job = MakeGangForLargestShard();
  SimulatedDeployment deployment{ 222, kSize };
  deployment.RunFor(kSettlingTime);
  for (int index = 0; index < 6; ++index) {
    deployment.Submit(JobName(index), job);
  }
  deployment.RunFor(20s);
  for (int index = 0; index < 6; ++index) {
    ExpectCompletedAtEachDaemon(deployment, JobName(index));
  }
  ExpectNoViolations(deployment);
}

// Guards against a gang that waits for ever in a shard with fewer workers than
// it has members because no rack, in any shard, has room for all of them.
TEST(HandOver, RunsAGangThatPrefersARackInALargerShard)
{
  JobDefinition job = MakeGangForLargestShard();
  job.steps_[0].sameRack_ = true;
  SimulatedDeployment deployment{ 229, kSize };
  deployment.RunFor(kSettlingTime);
  for (int index = 0; index < 6; ++index) {
    deployment.Submit(JobName(index), job);
  }
  deployment.RunFor(30s);
  for (int index = 0; index < 6; ++index) {
    ExpectCompletedAtEachDaemon(deployment, JobName(index));
  }
  ExpectNoViolations(deployment);
}

// Guards against a cancel that is answered by one shard while the other one
// starts the job or keeps it running.
TEST(HandOver, CancelsAJobAtAnyMoment)
{
  for (Duration offset = 0ms; offset < 3s; offset += 50ms) {
    SCOPED_TRACE(offset.count());
    SimulatedDeployment deployment{ 223, kSize };
    deployment.RunFor(kSettlingTime);
    JobDefinition job = MakeRareJob(1s);
    job.steps_[0].longRunning_ = true;
    deployment.Submit(StrandedJobName(), job);
    deployment.RunFor(offset);
    deployment.Cancel(StrandedJobName());
    deployment.RunFor(6s);
    deployment.oracle_.CheckCancelledJobsStopped(deployment.time_.Now());
    EXPECT_EQ(deployment.StateOfJob(StrandedJobName()), JobState::Cancelled);
    ExpectNoViolations(deployment);
  }
}

// Guards against a job that is lost, or runs in both shards, when the owner of
// either shard is killed during the hand-over.
TEST(HandOver, SurvivesTheLossOfEitherOwner)
{
  for (Duration offset = 0ms; offset < 3s; offset += 50ms) {
    for (const bool isHome : { true, false }) {
      SCOPED_TRACE(offset.count());
      SimulatedDeployment deployment{ 224, kSize };
      deployment.RunFor(kSettlingTime);
      const std::string name = StrandedJobName();
      deployment.Submit(name, MakeRareJob(2s));
      deployment.RunFor(offset);
      deployment.Kill(deployment.Owner(isHome ? ShardOf(JobId{ name }, kShards)
                                              : ShardOfRareWorker()));
      deployment.RunFor(25s);
      EXPECT_EQ(deployment.StateOfJob(name), JobState::Completed);
      ExpectNoViolations(deployment);
    }
  }
}

// Guards against a second job for a submission that is repeated while the job
// is handed over, or later.
TEST(HandOver, TreatsARepeatedSubmissionAsTheSameJob)
{
  SimulatedDeployment deployment{ 225, kSize };
  deployment.RunFor(kSettlingTime);
  const std::string name = StrandedJobName();
  for (int repetition = 0; repetition < 60; ++repetition) {
    deployment.Submit(name, MakeRareJob(500ms));
    deployment.RunFor(100ms);
  }
  EXPECT_EQ(deployment.StateOfJob(name), JobState::Completed);
  EXPECT_EQ(deployment.oracle_.Starts(), 1U);
  ExpectNoViolations(deployment);
}

// Guards against records of hand-overs that stay for ever, and against a
// successor that does not know where a job is.
TEST(HandOver, IsRememberedForAsLongAsTheJob)
{
  SimulatedDeployment deployment{ 226, kSize };
  deployment.RunFor(kSettlingTime);
  const std::string name = StrandedJobName();
  const ShardIndex home = ShardOf(JobId{ name }, kShards);
  deployment.Submit(name, MakeRareJob(500ms));
  deployment.RunFor(5s);
  deployment.Kill(deployment.Owner(home));
  deployment.RunFor(10s);
  ExpectCompletedAtEachDaemon(deployment, name);
  const auto handOvers = [&] {
    const auto& tasks = deployment.StateOf(deployment.Owner(home), home).tasks_;
    return tasks.handOvers_.size();
  };
  EXPECT_EQ(handOvers(), 1U);
  deployment.RunFor(240s);
  EXPECT_EQ(handOvers(), 0U);
  deployment.Kill(deployment.Owner(home));
  deployment.RunFor(10s);
  EXPECT_EQ(handOvers(), 0U);
}

// Guards against jobs that move although their own shard can run them.
TEST(HandOver, LeavesJobsThatOnlyWait)
{
  SimulatedDeployment deployment{ 227, kSize };
  deployment.RunFor(kSettlingTime);
  for (int index = 0; index < 60; ++index) {
    deployment.Submit(JobName(index), MakeJob(4, 1, 5s));
  }
  JobDefinition hopeless = MakeJob(1, 1, 1s);
  hopeless.steps_[0].requiredLabel_ = "on no worker";
  deployment.Submit(JobName(60), hopeless);
  deployment.RunFor(30s);
  for (std::uint32_t shard = 0; shard < kShards.Value(); ++shard) {
    const ShardIndex index{ shard };
    EXPECT_TRUE(deployment.StateOf(deployment.Owner(index), index)
                  .tasks_.handOvers_.empty());
  }
  ExpectNoViolations(deployment);
}

// Guards against a wrong decision on which workers suffice for a job.
TEST(HandOver, NeedsRoomForAllTasksThatRunTogether)
{
  const auto entry = [](const char* aRack) {
    WorkerEntry worker;
    worker.capacity_ = { MilliCores{ 4000 }, Megabytes{ 1000 }, {} };
    worker.rack_ = RackId{ aRack };
    worker.labels_ = { "a", aRack };
    return worker;
  };
  const std::vector<WorkerEntry> entries{ entry("r0"),
                                          entry("r0"),
                                          entry("r1") };
  const std::vector<const WorkerEntry*> workers{ &entries[0],
                                                 &entries[1],
                                                 &entries[2] };
  const auto canRun = [&](std::uint32_t aTasks, auto aChange) {
    JobDefinition job = MakeJob(aTasks, 1, 1s);
    aChange(job.steps_[0]);
    return CanRun(job, workers, RackPreference::Kept);
  };
  EXPECT_TRUE(canRun(100, [](Step&) {}));
  EXPECT_FALSE(canRun(1, [](Step& aStep) { aStep.requiredLabel_ = "r2"; }));
  EXPECT_FALSE(canRun(1, [](Step& aStep) {
    aStep.resources_.accelerators_ = Accelerators{ 1 };
  }));
  EXPECT_TRUE(canRun(6, [](Step& aStep) { aStep.gang_ = true; }));
  EXPECT_FALSE(canRun(7, [](Step& aStep) { aStep.gang_ = true; }));
  EXPECT_TRUE(
    canRun(4, [](Step& aStep) { aStep.gang_ = aStep.sameRack_ = true; }));
  EXPECT_FALSE(
    canRun(5, [](Step& aStep) { aStep.gang_ = aStep.sameRack_ = true; }));
  const auto spread = [](Step& aStep) {
    aStep.longRunning_ = true;
    aStep.maxPerWorker_ = TaskCount{ 1 };
  };
  EXPECT_TRUE(canRun(3, spread));
  EXPECT_FALSE(canRun(4, spread));
}

} // namespace
} // namespace verbenawell::jobs
