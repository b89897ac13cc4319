#include "ExpectNoViolations.h"

#include <algorithm>
#include <optional>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

const std::string kJob = "00000000000000c1";
constexpr int kCrashes = 3;
constexpr Duration kDowntime = 1s;

/// Has twelve workers in three zones, one long-running job and short jobs.
class RepeatedCrash : public testing::Test
{
protected:
  RepeatedCrash()
  {
    deployment_.RunFor(kStartUpTime);
    JobDefinition job = MakeJob(1, 1, 1s);
    job.steps_[0].longRunning_ = true;
    deployment_.Submit(kJob, job);
    for (std::size_t index = 0; index < 40; ++index) {
      deployment_.time_.After(index * 400ms, [this, index] {
        deployment_.Submit(std::to_string(1'000'000'000'000'000 + index),
                           MakeJob(4, 2, 500ms));
      });
    }
    deployment_.RunFor(4s);
  }

  /// Index of the worker that runs the long-running task.
  std::optional<std::size_t> FindWorkerOfJob()
  {
    for (std::size_t index = 0; index < deployment_.Workers(); ++index) {
      const auto running = deployment_.WorkerAt(index).Running();
      if (std::ranges::any_of(running, [](const TaskId& aTask) {
            return aTask.job_ == JobId{ kJob };
          })) {
        return index;
      }
    }
    return std::nullopt;
  }

  void Crash(std::size_t aIndex)
  {
    deployment_.KillWorker(aIndex);
    deployment_.time_.After(
      kDowntime, [this, aIndex] { deployment_.RestartWorker(aIndex); });
  }

  /// Crashes the workers of the zone where the task runs, once it has run for
  /// this long.
  void CrashZoneAfter(Duration aTime)
  {
    ASSERT_TRUE(RunUntilJobRuns());
    deployment_.RunFor(aTime);
    const auto worker = FindWorkerOfJob();
    ASSERT_TRUE(worker);
    const ZoneId zone = deployment_.WorkerAt(*worker).Entry().zone_;
    for (std::size_t index = 0; index < deployment_.Workers(); ++index) {
      if (deployment_.WorkerAt(index).Entry().zone_ == zone) {
        Crash(index);
      }
    }
    deployment_.RunFor(kDowntime);
  }

  void ExpectJobToRunToTheEnd()
  {
    deployment_.RunFor(30s);
    EXPECT_EQ(deployment_.StateOfJob(kJob), JobState::Running);
    deployment_.ReadAllJobs();
    deployment_.RunFor(1s);
    ExpectNoViolations(deployment_);
  }

  SimulatedDeployment deployment_{ 101, { 3, 12, 2 } };

private:
  bool RunUntilJobRuns()
  {
    for (int tries = 0; tries < 300 && !FindWorkerOfJob(); ++tries) {
      deployment_.RunFor(100ms);
    }
    return FindWorkerOfJob().has_value();
  }
};

// Guards against a job that is given up because the workers of its zone crash
// three times, together with many others, before its task has run long enough
// to prove harmless.
TEST_F(RepeatedCrash, OfAZoneGivesUpNoTask)
{
  for (int crash = 0; crash < kCrashes; ++crash) {
    CrashZoneAfter(1500ms);
  }
  ExpectJobToRunToTheEnd();
}

// Guards against a job that is given up because its task returns again and
// again to a worker that crashes by itself.
TEST_F(RepeatedCrash, OfOneWorkerGivesUpNoTask)
{
  const auto first = FindWorkerOfJob();
  ASSERT_TRUE(first);
  for (int crash = 0; crash < kCrashes; ++crash) {
    Crash(*first);
    deployment_.RunFor(4500ms);
  }
  ExpectJobToRunToTheEnd();
}

} // namespace
} // namespace verbenawell::jobs
