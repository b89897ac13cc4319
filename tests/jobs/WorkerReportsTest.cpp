#include "verbenawell/jobs/workers/WorkersState.h"

#include "ExpectNoViolations.h"

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

// Guards against an idle worker that counts as unresponsive between two lease
// renewals, although it responds to each. Its VM then lost its idle time and
// was not counted as part of its pool.
class IdleWorkers : public testing::TestWithParam<Duration>
{};

TEST_P(IdleWorkers, NeverCountAsUnresponsiveWhileTheyRespond)
{
  SimulatedDeployment deployment{ 81, { 3, 4, 2 } };
  deployment.RunFor(kStartUpTime);
  for (std::size_t index = 0; index < deployment.Workers(); ++index) {
    deployment.WorkerAt(index).faults_.renewalDelay_ = GetParam();
  }
  deployment.RunFor(2s);
  const WorkersState& workers = deployment.StateOf(deployment.Owner()).workers_;
  ASSERT_EQ(workers.workers_.size(), deployment.Workers());
  int unresponsiveTimes = 0;
  const TimePoint end = deployment.time_.Now() + 60s;
  while (deployment.time_.Now() < end) {
    deployment.RunFor(1ms);
    for (const auto& [id, worker] : workers.workers_) {
      unresponsiveTimes +=
        IsUnresponsive(worker, deployment.time_.Now()) ? 1 : 0;
    }
  }
  EXPECT_EQ(unresponsiveTimes, 0);
}

// The last delay is just below the time limit of a lease renewal.
INSTANTIATE_TEST_SUITE_P(ResponseDelays,
                         IdleWorkers,
                         testing::Values(0ms, 50ms, 600ms));

// Guards against lease renewals without a pause between them. An owner that
// could neither extend a lease nor store ends, since the store was down, sent
// the next lease renewal with each response.
TEST(LeaseRenewals, KeepTheirIntervalDuringAnOutageOfTheStore)
{
  SimulatedDeployment deployment{ 84, { 3, 1, 1 } };
  deployment.RunFor(kStartUpTime);
  deployment.Submit("0000000000000001", MakeJob(1, 1, 1s));
  deployment.Submit("0000000000000002", MakeJob(1, 1, 60s));
  deployment.RunFor(500ms);
  FakeWorker& worker = deployment.WorkerAt(0);
  ASSERT_EQ(worker.Running().size(), 2U);
  deployment.store_.faults_.isDown_ = true;
  const int before = worker.renewals_;
  deployment.RunFor(7s);
  EXPECT_LT(worker.renewals_ - before, 7s / 80ms);
}

} // namespace
} // namespace verbenawell::jobs
