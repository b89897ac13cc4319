#include "ExpectNoViolations.h"

#include <algorithm>
#include <string>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kWorkers = 6;
constexpr int kLongRunningJobs = 8;
// A long-running task runs again at most this long after its worker crashed: it
// may be away for 6 s and wait for 3 s.
constexpr Duration kMaxAway = 9s;
const std::string kShortJob = "00000000000000d0";

std::string
LongRunningJob(int aIndex)
{
  return "00000000000000a" + std::to_string(aIndex);
}

/// Has six workers, one of which runs all long-running tasks. They are small
/// and belong to a job each.
class SuspectPlacement : public testing::Test
{
protected:
  SuspectPlacement()
  {
    deployment_.RunFor(kStartUpTime);
    JobDefinition job = MakeJob(1, 1, 900ms);
    job.steps_[0].resources_.cpu_ = MilliCores{ 800 };
    job.steps_[0].longRunning_ = true;
    for (int index = 0; index < kLongRunningJobs; ++index) {
      deployment_.Submit(LongRunningJob(index), job);
    }
    deployment_.RunFor(10s);
  }

  /// Crashes the worker that runs the long-running tasks. It is back after a
  /// second.
  void CrashTheirWorker()
  {
    for (std::size_t index = 0; index < kWorkers; ++index) {
      if (deployment_.WorkerAt(index).Running().size() == kLongRunningJobs) {
        deployment_.KillWorker(index);
        deployment_.time_.After(
          1s, [this, index] { deployment_.RestartWorker(index); });
        return;
      }
    }
    FAIL() << "no worker runs all long-running tasks";
  }

  [[nodiscard]] std::size_t CountRuns()
  {
    std::size_t runs = 0;
    for (std::size_t index = 0; index < kWorkers; ++index) {
      runs += deployment_.WorkerAt(index).Running().size();
    }
    return runs;
  }

  SimulatedDeployment deployment_{ 71, { 3, kWorkers, 2 } };
};

// Guards against long-running tasks that wait for 10 s or more after a crash
// while all workers have room: each suspect got a worker of its own.
TEST_F(SuspectPlacement, LetsAllLongRunningTasksRunAgainInTime)
{
  CrashTheirWorker();
  deployment_.RunFor(kMaxAway);
  EXPECT_EQ(CountRuns(), kLongRunningJobs);
  ExpectNoViolations(deployment_);
}

// Guards against other jobs that wait for 10 s or more after a crash, because a
// suspect is on each worker.
TEST_F(SuspectPlacement, LetsOtherJobsStartInTime)
{
  CrashTheirWorker();
  deployment_.RunFor(4s);
  deployment_.Submit(kShortJob, MakeJob(1, 1, 500ms));
  deployment_.RunFor(3s);
  EXPECT_EQ(deployment_.StateOfJob(kShortJob), JobState::Completed);
  ExpectNoViolations(deployment_);
}

// Guards against a job that is given up for the crashes of a task that shared
// the worker of its suspect, and against such a task that is never suspected.
TEST_F(SuspectPlacement, GivesUpOnlyTheTaskThatCrashesSharedWorkers)
{
  CrashTheirWorker();
  deployment_.RunFor(4s);
  deployment_.crashingTasks_.tasks_.insert({ JobId{ kShortJob }, {}, {}, {} });
  deployment_.Submit(kShortJob, MakeJob(1, 1, 500ms));
  deployment_.RunFor(60s);
  EXPECT_EQ(deployment_.StateOfJob(kShortJob), JobState::Failed);
  EXPECT_LE(deployment_.crashingTasks_.crashes_, 3);
  for (int index = 0; index < kLongRunningJobs; ++index) {
    EXPECT_EQ(deployment_.StateOfJob(LongRunningJob(index)), JobState::Running)
      << index;
  }
  EXPECT_EQ(CountRuns(), kLongRunningJobs);
  ExpectNoViolations(deployment_);
}

} // namespace
} // namespace verbenawell::jobs
