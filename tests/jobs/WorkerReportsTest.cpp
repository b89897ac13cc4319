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

/// A deployment with one worker, which runs 600 tasks of a job and lists 500
/// ends at a time.
class FullListOfEnds : public testing::Test
{
protected:
  FullListOfEnds()
  {
    JobDefinition job = MakeJob(kTasks, 1, 3s);
    job.steps_[0].resources_ = { MilliCores{ 10 }, Megabytes{ 1 }, {} };
    deployment_.RunFor(kStartUpTime);
    deployment_.Submit(job_, job);
    deployment_.RunFor(1s);
  }

  static constexpr std::uint32_t kTasks = 600;
  const std::string job_ = "0000000000000001";
  SimulatedDeployment deployment_{ 82, { 3, 1, 1 } };
};

// Guards against tasks that are started again after they have ended. A worker
// that was cut off had more ends than fit into its list, and the owner took the
// runs that were in neither list for lost.
TEST_F(FullListOfEnds, DoesNotStartEndedTasksAgainAfterACut)
{
  FakeWorker& worker = deployment_.WorkerAt(0);
  ASSERT_EQ(worker.Running().size(), kTasks);
  worker.faults_.isUnreachable_ = true;
  deployment_.RunFor(5s);
  ASSERT_TRUE(worker.Running().empty());
  worker.faults_.isUnreachable_ = false;
  deployment_.RunFor(5s);
  EXPECT_EQ(deployment_.oracle_.Starts(), kTasks);
  EXPECT_EQ(deployment_.StateOfJob(job_), JobState::Completed);
  ExpectNoViolations(deployment_);
}

// Guards against the same while the store is down and no end can be
// acknowledged.
TEST_F(FullListOfEnds, DoesNotStartEndedTasksAgainAfterAnOutageOfTheStore)
{
  ASSERT_EQ(deployment_.WorkerAt(0).Running().size(), kTasks);
  deployment_.store_.faults_.isDown_ = true;
  deployment_.RunFor(5s);
  deployment_.store_.faults_.isDown_ = false;
  deployment_.RunFor(10s);
  EXPECT_EQ(deployment_.oracle_.Starts(), kTasks);
  EXPECT_EQ(deployment_.StateOfJob(job_), JobState::Completed);
  ExpectNoViolations(deployment_);
}

// Guards against the same after the owner was killed during the cut. Its
// successor knows the runs from the journal.
TEST_F(FullListOfEnds, DoesNotStartEndedTasksAgainAfterATakeOver)
{
  FakeWorker& worker = deployment_.WorkerAt(0);
  ASSERT_EQ(worker.Running().size(), kTasks);
  deployment_.Kill(deployment_.Owner());
  deployment_.RunFor(10s);
  EXPECT_EQ(deployment_.oracle_.Starts(), kTasks);
  EXPECT_EQ(deployment_.StateOfJob(job_), JobState::Completed);
  ExpectNoViolations(deployment_);
}

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
