#include "ExpectNoViolations.h"

#include <algorithm>
#include <string>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

const WorkspaceId kWorkspace{ "workspace" };
// A task of `MakeJob` takes 2 of them.
constexpr std::uint64_t kQuotaCores = 8;

Resources
Cores(std::uint64_t aCores)
{
  return { MilliCores{ aCores * 1000 }, {}, {} };
}

std::string
JobName(int aIndex)
{
  return std::to_string(1'000'000'000'000'000 + aIndex);
}

/// Adds up what runs on all workers, while time passes.
class QuotaFixture : public testing::Test
{
protected:
  explicit QuotaFixture(SimulatedDeployment::Size aSize = { 3, 6, 2 })
    : deployment_(1, aSize)
  {
    deployment_.SetQuota(kWorkspace, Cores(kQuotaCores));
    deployment_.RunFor(kStartUpTime);
  }

  [[nodiscard]] std::uint64_t CoresInUse()
  {
    std::uint64_t cores = 0;
    for (std::size_t index = 0; index < deployment_.Workers(); ++index) {
      for (const TaskId& task : deployment_.WorkerAt(index).Running()) {
        const JobDefinition* job = deployment_.Definition(task.job_.Value());
        cores += job->steps_[task.step_.Value()].resources_.cpu_.Value() / 1000;
      }
    }
    return cores;
  }

  /// Returns the most cores that were in use at the same time.
  std::uint64_t MostCoresDuring(Duration aTime)
  {
    std::uint64_t most = CoresInUse();
    const TimePoint end = deployment_.time_.Now() + aTime;
    while (deployment_.time_.Now() < end) {
      deployment_.RunFor(2ms);
      most = std::max(most, CoresInUse());
    }
    return most;
  }

  void SubmitLongRunning(const std::string& aJob, std::uint32_t aTasks)
  {
    JobDefinition job = MakeJob(aTasks, 1, 1s);
    job.steps_[0].longRunning_ = true;
    deployment_.Submit(aJob, job);
  }

  [[nodiscard]] std::size_t LinesOf(const std::string& aEvent) const
  {
    return static_cast<std::size_t>(
      std::ranges::count(deployment_.log_, aEvent, &LoggedEvent::event_));
  }

  SimulatedDeployment deployment_;
};

class Quota : public QuotaFixture
{};

// Guards against starts beyond the quota (QUOTA), against a quota that is never
// used in full, and against a line for each task that waits.
TEST_F(Quota, IsUsedInFullAndNotExceeded)
{
  deployment_.Submit(JobName(1), MakeJob(10, 2, 500ms));
  EXPECT_EQ(MostCoresDuring(6s), kQuotaCores);
  EXPECT_EQ(deployment_.StateOfJob(JobName(1)), JobState::Completed);
  deployment_.RunFor(6s);
  EXPECT_EQ(LinesOf("quota_wait"), 1U);
  EXPECT_EQ(LinesOf("quota_wait_over"), 1U);
  ExpectNoViolations(deployment_);
}

// Guards against a successor that counts from zero, so that the workspace runs
// up to twice its quota.
TEST_F(Quota, HoldsAcrossATakeOver)
{
  SubmitLongRunning(JobName(1), 10);
  EXPECT_EQ(MostCoresDuring(1s), kQuotaCores);
  deployment_.Kill(deployment_.Owner());
  EXPECT_EQ(MostCoresDuring(8s), kQuotaCores);
  EXPECT_FALSE(deployment_.Owner().empty());
  ExpectNoViolations(deployment_);
}

// Guards against a successor that forgets the runs of a job that was cancelled
// before, while a worker still runs them.
TEST_F(Quota, CountsRunsOfEndedJobsAfterATakeOver)
{
  SubmitLongRunning(JobName(1), 4);
  deployment_.RunFor(1s);
  for (std::size_t index = 0; index < deployment_.Workers(); ++index) {
    deployment_.WorkerAt(index).faults_.losesStops_ = true;
  }
  deployment_.Cancel(JobName(1));
  SubmitLongRunning(JobName(2), 4);
  deployment_.RunFor(200ms);
  deployment_.Kill(deployment_.Owner());
  EXPECT_EQ(MostCoresDuring(8s), kQuotaCores);
}

// Guards against an owner that was frozen and goes on with starts beside its
// successor.
TEST_F(Quota, HoldsForAnOwnerThatWasCutOff)
{
  deployment_.Submit(JobName(1), MakeJob(80, 1, 700ms));
  EXPECT_EQ(MostCoresDuring(1s), kQuotaCores);
  const std::string owner = deployment_.Owner();
  deployment_.store_.faults_.unreachableFrom_.insert(DaemonId{ owner });
  EXPECT_EQ(MostCoresDuring(8s), kQuotaCores);
  EXPECT_NE(deployment_.Owner(), owner);
  deployment_.store_.faults_.unreachableFrom_.clear();
  EXPECT_EQ(MostCoresDuring(15s), kQuotaCores);
  EXPECT_EQ(deployment_.StateOfJob(JobName(1)), JobState::Completed);
  ExpectNoViolations(deployment_);
}

// Guards against a lowered quota that stops what runs, and against starts above
// it, also of those that were on their way when it was lowered.
TEST_F(Quota, ThatIsLoweredStopsAndStartsNothing)
{
  deployment_.SetQuota(kWorkspace, Cores(16));
  deployment_.RunFor(1s);
  for (std::size_t index = 0; index < deployment_.Workers(); ++index) {
    deployment_.WorkerAt(index).faults_.commandTime_ = 30ms;
  }
  deployment_.Submit(JobName(1), MakeJob(8, 1, 3s));
  deployment_.Submit(JobName(2), MakeJob(8, 1, 1s));
  deployment_.RunFor(40ms);
  deployment_.SetQuota(kWorkspace, Cores(4));
  EXPECT_EQ(MostCoresDuring(2500ms), 16U);
  while (CoresInUse() > 4) {
    deployment_.RunFor(2ms);
  }
  EXPECT_EQ(MostCoresDuring(10s), 4U);
  EXPECT_EQ(deployment_.StateOfJob(JobName(2)), JobState::Completed);
  ExpectNoViolations(deployment_);
}

// Guards against a second run in place of one whose start command got no
// response and was carried out.
TEST_F(Quota, CountsStartsWithoutAResponse)
{
  for (std::size_t index = 0; index < deployment_.Workers(); ++index) {
    deployment_.WorkerAt(index).faults_.delayedCommandPercent_ = 50;
  }
  deployment_.Submit(JobName(1), MakeJob(20, 1, 700ms));
  EXPECT_LE(MostCoresDuring(20s), kQuotaCores);
  EXPECT_EQ(deployment_.StateOfJob(JobName(1)), JobState::Completed);
}

// Guards against a lost worker whose runs no longer count before its lease is
// over.
TEST_F(Quota, CountsRunsOfUnreachableWorkers)
{
  SubmitLongRunning(JobName(1), 4);
  deployment_.RunFor(1s);
  for (std::size_t index = 0; index < 3; ++index) {
    deployment_.WorkerAt(index).faults_.isUnreachable_ = true;
  }
  SubmitLongRunning(JobName(2), 8);
  EXPECT_EQ(MostCoresDuring(10s), kQuotaCores);
}

// Guards against a gang that starts in part, and against one that waits for
// ever.
TEST_F(Quota, AdmitsGangsAsAWhole)
{
  JobDefinition gang = MakeJob(3, 1, 1s);
  gang.steps_[0].gang_ = true;
  deployment_.Submit(JobName(1), MakeJob(2, 1, 1s));
  deployment_.Submit(JobName(2), gang);
  EXPECT_EQ(MostCoresDuring(900ms), 4U);
  EXPECT_EQ(MostCoresDuring(3s), 6U);
  EXPECT_EQ(deployment_.StateOfJob(JobName(2)), JobState::Completed);

  gang.steps_[0].count_ = TaskCount{ 5 };
  const auto response = deployment_.SendAndWait(
    deployment_.Owner(),
    SubmitJob{ JobId{ JobName(3) },
               std::make_shared<const JobDefinition>(gang) });
  ASSERT_TRUE(response && std::holds_alternative<JobRejected>(*response));
  EXPECT_EQ(std::get<JobRejected>(*response).reason_,
            RejectReason::QuotaTooSmall);
}

// Guards against large tasks of a workspace that keep its smaller ones waiting.
TEST_F(Quota, LetsSmallerTasksPass)
{
  SubmitLongRunning(JobName(1), 3);
  deployment_.RunFor(500ms);
  JobDefinition large = MakeJob(1, 1, 1s);
  large.steps_[0].resources_.cpu_ = MilliCores{ 4000 };
  deployment_.Submit(JobName(2), large);
  deployment_.RunFor(500ms);
  deployment_.Submit(JobName(3), MakeJob(1, 1, 500ms));
  deployment_.RunFor(2s);
  EXPECT_EQ(deployment_.StateOfJob(JobName(3)), JobState::Completed);
  EXPECT_EQ(deployment_.StateOfJob(JobName(2)), JobState::Queued);
}

/// Has three shards.
class DividedQuota : public QuotaFixture
{
protected:
  DividedQuota()
    : QuotaFixture({ 5, 18, 2, 0, 0, 3 })
  {
    // Time for the claims at the start, and for those that spread the shards.
    deployment_.RunFor(12s);
  }
};

// Guards against shards that together use more than the quota, and against
// parts that one shard keeps while another has none.
TEST_F(DividedQuota, FollowsTheDemand)
{
  for (int index = 0; index < 12; ++index) {
    deployment_.Submit(JobName(index), MakeJob(3, 1, 500ms));
  }
  EXPECT_LE(MostCoresDuring(15s), kQuotaCores);
  for (int index = 0; index < 12; ++index) {
    EXPECT_EQ(deployment_.StateOfJob(JobName(index)), JobState::Completed)
      << index;
  }
  ExpectNoViolations(deployment_);
}

// Guards against a part that is given to another shard while its owner, or the
// owner that divides the quota, is replaced.
TEST_F(DividedQuota, HoldsWhileOwnersChange)
{
  for (int index = 0; index < 30; ++index) {
    deployment_.Submit(JobName(index), MakeJob(4, 1, 800ms));
  }
  for (const std::uint32_t shard : { 0U, 1U, 2U, 0U }) {
    EXPECT_LE(MostCoresDuring(2s), kQuotaCores);
    const std::string owner = deployment_.Owner(ShardIndex{ shard });
    if (owner.empty()) {
      continue;
    }
    deployment_.Freeze(owner, 4s);
    EXPECT_LE(MostCoresDuring(2500ms), kQuotaCores);
    deployment_.Kill(owner);
    EXPECT_LE(MostCoresDuring(1s), kQuotaCores);
    deployment_.Start(owner);
    deployment_.store_.faults_.isDown_ = true;
    EXPECT_LE(MostCoresDuring(1s), kQuotaCores);
    deployment_.store_.faults_.isDown_ = false;
  }
  EXPECT_LE(MostCoresDuring(30s), kQuotaCores);
  for (int index = 0; index < 30; ++index) {
    EXPECT_EQ(deployment_.StateOfJob(JobName(index)), JobState::Completed)
      << index;
  }
  ExpectNoViolations(deployment_);
}

// Guards against a task that waits for longer than 3 s because another shard
// holds the quota that it needs (LOST).
TEST_F(DividedQuota, GivesAShardEnoughForItsLargestTask)
{
  JobDefinition gang = MakeJob(4, 1, 500ms);
  gang.steps_[0].gang_ = true;
  for (int index = 0; index < 6; ++index) {
    deployment_.Submit(JobName(index), gang);
    EXPECT_LE(MostCoresDuring(2500ms), kQuotaCores);
    EXPECT_EQ(deployment_.StateOfJob(JobName(index)), JobState::Completed)
      << index;
  }
}

} // namespace
} // namespace verbenawell::jobs
