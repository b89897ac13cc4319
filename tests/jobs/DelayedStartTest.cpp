#include "ExpectNoViolations.h"

#include <string>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

const std::string kJob = "0000000000000001";
// A run that a worker starts late has to be stopped this soon after its start:
// 4 s for the owner to learn of it and 0.9 s for the stop.
constexpr Duration kMaxLateRunTime = 4900ms;

/// Delivers a copy of an earlier start command to the worker.
void
StartLate(SimulatedDeployment& aDeployment, const TaskId& aTask, RunNumber aRun)
{
  FakeWorker& worker = aDeployment.WorkerAt(0);
  worker.RunDelayedCopy(
    { worker.Entry().worker_,
      {},
      aTask,
      aRun,
      aDeployment.StateOf(aDeployment.Owner()).workers_.epoch_,
      WorkerTime{ 30000 },
      aDeployment.Definition(kJob)->specification_,
      {},
      {} });
}

TaskId
FirstTask()
{
  return { JobId{ kJob }, {}, {}, {} };
}

// Guards against a start command without a response that is executed by the
// worker's next incarnation, after its run has ended and is not known any more.
TEST(DelayedStarts, AreRejectedByTheNextIncarnationAfterTheirRunHasEnded)
{
  SimulatedDeployment deployment{ 92, { 3, 1, 1 } };
  deployment.RunFor(kStartUpTime);
  FakeWorker& worker = deployment.WorkerAt(0);
  worker.faults_.delayedCommandPercent_ = 100;
  deployment.Submit(kJob, MakeJob(1, 1, 200ms));
  deployment.RunFor(400ms);
  worker.faults_.delayedCommandPercent_ = 0;
  deployment.RunFor(1500ms);
  ASSERT_TRUE(deployment.oracle_.IsDone(JobId{ kJob }));
  deployment.KillWorker(0);
  deployment.RestartWorker(0);
  deployment.RunFor(1500ms);
  StartLate(deployment, FirstTask(), RunNumber{ 1 });
  EXPECT_TRUE(worker.Running().empty());
  deployment.RunFor(4s);
  ExpectNoViolations(deployment);
}

/// Has an idle worker that has run a task of a cancelled job.
class LateRuns : public testing::Test
{
protected:
  static void ExpectStopped(bool aRestarts, RunNumber aRun)
  {
    for (Duration offset = 0ms; offset < 2500ms; offset += 50ms) {
      SimulatedDeployment deployment{ 93, { 3, 1, 1 } };
      deployment.RunFor(kStartUpTime);
      JobDefinition job = MakeJob(1, 1, 1s);
      job.steps_[0].longRunning_ = true;
      deployment.Submit(kJob, job);
      deployment.RunFor(2s);
      FakeWorker& worker = deployment.WorkerAt(0);
      ASSERT_EQ(worker.Running().size(), 1U);
      deployment.Cancel(kJob);
      deployment.RunFor(5s);
      ASSERT_TRUE(worker.Running().empty());
      if (aRestarts) {
        deployment.KillWorker(0);
        deployment.RestartWorker(0);
      }
      deployment.RunFor(offset);
      StartLate(deployment, FirstTask(), aRun);
      ASSERT_EQ(worker.Running().size(), 1U);
      deployment.RunFor(kMaxLateRunTime);
      EXPECT_TRUE(worker.Running().empty())
        << "started " << offset.count() / 1000 << " ms after the restart";
      ExpectNoViolations(deployment);
    }
  }
};

// Guards against a task of a cancelled job that keeps running since the owner
// takes the worker's next incarnation for idle.
TEST_F(LateRuns, AreStoppedInTheNextIncarnation)
{
  ExpectStopped(true, RunNumber{ 1 });
}

// Guards against the same in the current incarnation. The owner has no record
// of the run.
TEST_F(LateRuns, AreStoppedAtAnIdleWorker)
{
  ExpectStopped(false, RunNumber{ 5 });
}

} // namespace
} // namespace verbenawell::jobs
