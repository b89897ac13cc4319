#include "ExpectNoViolations.h"

#include <string>
#include <variant>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

const std::string kJob = "0000000000000001";

/// Has two workers. The owner is killed after it has sent a start command, to
/// which the worker has not responded.
class RestoredRuns : public testing::Test
{
protected:
  RestoredRuns()
  {
    deployment_.RunFor(kStartUpTime);
    SetUnreachable(true);
    const std::string owner = deployment_.Owner();
    deployment_.SubmitAt(owner, kJob, MakeJob(1, 1, 20s), 3s);
    deployment_.RunFor(20ms);
    for (std::size_t index = 0; index < deployment_.Workers(); ++index) {
      const auto* worker = deployment_.StateOf(owner).workers_.Find(
        deployment_.WorkerAt(index).Entry().worker_);
      if (!worker->runs_.empty()) {
        worker_ = index;
        task_ = worker->runs_.begin()->first;
        EXPECT_TRUE(worker->runs_.begin()->second.isStored_);
      }
    }
    epoch_ = deployment_.StateOf(owner).workers_.epoch_;
    deployment_.Kill(owner);
  }

  FakeWorker& Worker() { return deployment_.WorkerAt(worker_); }

  void SetUnreachable(bool aIsUnreachable)
  {
    for (std::size_t index = 0; index < deployment_.Workers(); ++index) {
      deployment_.WorkerAt(index).faults_.isUnreachable_ = aIsUnreachable;
    }
  }

  void BeginNewIncarnation()
  {
    deployment_.KillWorker(worker_);
    deployment_.RestartWorker(worker_);
  }

  /// The worker executes the start command that it has not responded to.
  void ExecuteDelayedStart()
  {
    const bool isUnreachable = Worker().faults_.isUnreachable_;
    Worker().faults_.isUnreachable_ = false;
    Worker().Run(StartTask{ Worker().Entry().worker_,
                            {},
                            task_,
                            RunNumber{ 1 },
                            epoch_,
                            kLeaseEnd,
                            deployment_.Definition(kJob)->specification_,
                            {},
                            {},
                            Worker().Entry().incarnation_ },
                 [](const Event&) {});
    Worker().faults_.isUnreachable_ = isUnreachable;
  }

  void RunUntilTakeOver()
  {
    const TimePoint end = deployment_.time_.Now() + 5s;
    while (deployment_.Owner().empty() && deployment_.time_.Now() < end) {
      deployment_.RunFor(1ms);
    }
    ASSERT_FALSE(deployment_.Owner().empty());
  }

  void ExpectOneRun()
  {
    std::size_t runs = 0;
    for (std::size_t index = 0; index < deployment_.Workers(); ++index) {
      runs += deployment_.WorkerAt(index).Running().size();
    }
    EXPECT_EQ(runs, 1U);
    ExpectNoViolations(deployment_);
  }

  // A worker shortens longer leases, and its clock begins at 0.
  static constexpr WorkerTime kLeaseEnd{ 10'000 };
  SimulatedDeployment deployment_{ 82, { 3, 2, 1 } };

private:
  std::size_t worker_ = 0;
  TaskId task_;
  Epoch epoch_;
};

// Guards against a task that is started a second time while it runs. A new
// owner took the run for lost, and a delayed start command of its predecessor
// began it in a new incarnation of the worker.
TEST_F(RestoredRuns, AreKeptIfADelayedStartBeginsThemInANewIncarnation)
{
  BeginNewIncarnation();
  RunUntilTakeOver();
  ExecuteDelayedStart();
  SetUnreachable(false);
  deployment_.RunFor(5s);
  ExpectOneRun();
  EXPECT_EQ(deployment_.oracle_.Starts(), 1U);
}

// Guards against a task that is started a second time while it runs. The first
// report of a new incarnation lacks the run, and the delayed start command
// arrives after it.
TEST_F(RestoredRuns, AreNotStartedByADelayedStartAfterTheFirstReport)
{
  BeginNewIncarnation();
  RunUntilTakeOver();
  SetUnreachable(false);
  deployment_.RunFor(1s);
  ExecuteDelayedStart();
  deployment_.RunFor(5s);
  ExpectOneRun();
}

// Guards against a task that is started a second time while it runs. A
// delayed start command of the former owner began it in a new incarnation of
// the worker, whose lease was longer than the new owner assumed.
TEST_F(RestoredRuns, AreKeptWhileALeaseOfANewIncarnationMayLast)
{
  RunUntilTakeOver();
  deployment_.RunFor(100ms);
  SetUnreachable(false);
  Worker().faults_.isUnreachable_ = true;
  BeginNewIncarnation();
  ExecuteDelayedStart();
  deployment_.RunFor(13s);
  ExpectOneRun();
}

} // namespace
} // namespace verbenawell::jobs
