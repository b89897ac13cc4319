#include "ExpectNoViolations.h"

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

const std::string kJob = "0000000000000001";

// Time after the response to a cancel by which all tasks of the job have ended:
// 4 s for the stop commands and 0.9 s for a worker to carry them out.
constexpr Duration kMaxTimeToStop = 4900ms;

/// The parameter is the time in milliseconds that the worker takes for a
/// command.
class SlowWorker : public testing::TestWithParam<int>
{};

// Guards against tasks that run on after the cancel of their job because the
// stop commands behind the first ones of a slow worker time out unsent, all at
// once and again and again.
TEST_P(SlowWorker, StopsAllTasksOfACancelledJobInTime)
{
  SimulatedDeployment deployment{ 81, { 3, 1, 1 } };
  JobDefinition job = MakeJob(24, 1, 1s);
  job.steps_[0].longRunning_ = true;
  job.steps_[0].resources_ = { MilliCores{ 10 }, Megabytes{ 1 }, {} };
  deployment.RunFor(kStartUpTime);
  deployment.Submit(kJob, job);
  deployment.RunFor(2s);
  FakeWorker& worker = deployment.WorkerAt(0);
  ASSERT_EQ(worker.Running().size(), 24U);
  worker.faults_.commandTime_ = std::chrono::milliseconds(GetParam());
  deployment.Cancel(kJob);
  const TimePoint start = deployment.time_.Now();
  for (int i = 0; i < 3000 && !worker.Running().empty(); ++i) {
    deployment.RunFor(10ms);
  }
  EXPECT_LE(deployment.time_.Now() - start, kMaxTimeToStop);
  ExpectNoViolations(deployment);
}

INSTANTIATE_TEST_SUITE_P(CommandTimes,
                         SlowWorker,
                         testing::Values(10, 60, 100, 150, 200, 240, 300),
                         testing::PrintToStringParamName());

} // namespace
} // namespace verbenawell::jobs
