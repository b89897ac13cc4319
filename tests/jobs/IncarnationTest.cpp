#include "verbenawell/jobs/workers/WorkersReducer.h"

#include "ExpectNoViolations.h"

#include <algorithm>
#include <string>
#include <variant>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

const std::string kJob = "0000000000000001";

JobDefinition
LongRunningJob()
{
  JobDefinition job = MakeJob(1, 1, 1s);
  job.steps_[0].longRunning_ = true;
  return job;
}

/// Has one worker with one task that runs until its job is cancelled. The
/// worker's next incarnation has a lower number.
class SteppedBackClock : public testing::Test
{
protected:
  SteppedBackClock()
  {
    deployment_.RunFor(kStartUpTime);
    deployment_.Submit(kJob, LongRunningJob());
    deployment_.RunFor(2s);
    Worker().StepClockBack(1h);
  }

  FakeWorker& Worker() { return deployment_.WorkerAt(0); }

  void RestartAfter(Duration aTime)
  {
    deployment_.KillWorker(0);
    deployment_.RunFor(aTime);
    deployment_.RestartWorker(0);
  }

  [[nodiscard]] std::ptrdiff_t LinesOf(const std::string& aEvent) const
  {
    return std::ranges::count(deployment_.log_, aEvent, &LoggedEvent::event_);
  }

  SimulatedDeployment deployment_{ 91, { 3, 1, 1 } };
};

// Guards against a task that never runs again after its worker restarted with
// an earlier start time, whose reports were ignored.
TEST_F(SteppedBackClock, LetsATaskStartAgainAfterARestart)
{
  ASSERT_EQ(Worker().Running().size(), 1U);
  RestartAfter(0ms);
  deployment_.RunFor(4s);
  EXPECT_EQ(Worker().Running().size(), 1U);
  ExpectNoViolations(deployment_);
}

// Guards against the same after an outage in which lease renewals failed.
TEST_F(SteppedBackClock, LetsATaskStartAgainAfterAnOutage)
{
  ASSERT_EQ(Worker().Running().size(), 1U);
  RestartAfter(2s);
  deployment_.RunFor(4s);
  EXPECT_EQ(Worker().Running().size(), 1U);
  ExpectNoViolations(deployment_);
}

// Guards against a task of a cancelled job that keeps running. A delayed copy
// of its start command reached an incarnation with an earlier start time.
TEST_F(SteppedBackClock, DoesNotKeepARunOfACancelledJob)
{
  ASSERT_EQ(Worker().Running().size(), 1U);
  const TaskId task = Worker().Running().front();
  deployment_.Cancel(kJob);
  deployment_.RunFor(1s);
  ASSERT_TRUE(Worker().Running().empty());
  RestartAfter(0ms);
  Worker().RunDelayedCopy(
    { Worker().Entry().worker_,
      {},
      task,
      RunNumber{ 1 },
      deployment_.StateOf(deployment_.Owner()).workers_.epoch_,
      WorkerTime{ 8000 },
      deployment_.Definition(kJob)->specification_,
      {},
      {} });
  ASSERT_EQ(Worker().Running().size(), 1U);
  deployment_.RunFor(4s);
  EXPECT_TRUE(Worker().Running().empty());
  ExpectNoViolations(deployment_);
}

// Guards against a list of workers that brings back the former incarnation,
// whose number is higher. The list is up to half a second old.
TEST_F(SteppedBackClock, IsNotUndoneByAnOldListOfWorkers)
{
  for (int restart = 0; restart < 12; ++restart) {
    const std::ptrdiff_t before = LinesOf("worker_reborn");
    deployment_.RunFor(3s + 40ms * restart);
    Worker().StepClockBack(1h);
    RestartAfter(0ms);
    deployment_.RunFor(5s);
    EXPECT_EQ(LinesOf("worker_reborn") - before, 1);
  }
  ExpectNoViolations(deployment_);
}

// Guards against tasks that are started again after they have ended. The owner
// did not know of its idle worker's new incarnation yet, started a task there,
// and its next lease renewal acknowledged the end of that task with the number
// of an end of the former incarnation.
TEST(NewIncarnation, KeepsItsEndsUntilTheyAreStored)
{
  for (Duration offset = 0ms; offset < 600ms; offset += 20ms) {
    SimulatedDeployment deployment{ 92, { 3, 1, 1 } };
    deployment.RunFor(kStartUpTime);
    deployment.Submit(kJob, MakeJob(1, 1, 20ms));
    deployment.RunFor(2s + offset);
    deployment.KillWorker(0);
    deployment.RestartWorker(0);
    deployment.Submit("0000000000000002", MakeJob(1, 1, 20ms));
    deployment.RunFor(3s);
    EXPECT_EQ(deployment.oracle_.Starts(), 2U);
    ExpectNoViolations(deployment);
  }
}

/// How the owner is replaced, and when the restarted worker is cut off after
/// that.
struct OwnerChange
{
  bool isKilled_ = false;
  Duration cutAfter_{};
};

class RestartedWorker : public testing::TestWithParam<OwnerChange>
{};

// Guards against a task that runs twice at the same time. The former owner did
// not know that the worker had restarted under its id, and its commands named
// lease ends on the clock from before, of which the next owner knows nothing.
TEST_P(RestartedWorker, HasNoLeaseThatTheNextOwnerDoesNotKnow)
{
  const auto [isKilled, cutAfter] = GetParam();
  for (Duration offset = 0ms; offset < 2s; offset += 50ms) {
    SCOPED_TRACE(offset.count());
    SimulatedDeployment deployment{ 98, {} };
    deployment.RunFor(kStartUpTime + 20s);
    deployment.Submit(kJob, MakeJob(8, 1, 12s));
    deployment.RunFor(1s);
    deployment.KillWorker(0);
    deployment.RunFor(300ms);
    deployment.RestartWorker(0);
    deployment.Submit("0000000000000002", MakeJob(12, 1, 12s));
    deployment.RunFor(offset);
    if (isKilled) {
      deployment.Kill(deployment.NewestOwner());
    } else {
      deployment.Stop(deployment.NewestOwner());
    }
    deployment.RunFor(cutAfter);
    deployment.WorkerAt(0).faults_.isUnreachable_ = true;
    deployment.RunFor(25s);
    ExpectNoViolations(deployment);
  }
}

INSTANTIATE_TEST_SUITE_P(OwnerChanges,
                         RestartedWorker,
                         testing::Values(OwnerChange{ false, 100ms },
                                         OwnerChange{ false, 400ms },
                                         OwnerChange{ false, 1s },
                                         OwnerChange{ false, 2s },
                                         OwnerChange{ true, 2800ms },
                                         OwnerChange{ true, 3200ms },
                                         OwnerChange{ true, 4s }));

// Guards against a report of the former incarnation that arrives after the list
// has shown a new one and is ignored without a trace, or brings back the old
// runs.
TEST(OutdatedReports, AreLoggedOnceAndIgnored)
{
  const WorkerId id{ "w" };
  State state;
  state.workers_.isActive_ = true;
  const auto reduce = [&](const Event& aEvent, Duration aAt) {
    Effects effects;
    ReduceWorkers(state.workers_,
                  state.View(),
                  aEvent,
                  { TimePoint{} + aAt, {}, {} },
                  effects);
    return std::ranges::count_if(effects, [](const Effect& aEffect) {
      const auto* line = std::get_if<LogLine>(&aEffect);
      return line != nullptr && std::string(line->event_) == "report_outdated";
    });
  };
  const auto list = [&](std::int64_t aBorn) {
    WorkersRead read;
    read.workers_.emplace_back().worker_ = id;
    read.workers_.back().incarnation_ = WorkerIncarnation{ aBorn };
    return read;
  };
  const auto report = [&](std::int64_t aBorn, Duration aSentAt) {
    return WorkerReported{ id, WorkerIncarnation{ aBorn },
                           {}, TimePoint{} + aSentAt,
                           {}, {} };
  };
  reduce(list(100), 1s);
  EXPECT_EQ(reduce(report(100, 1s), 2s), 0);
  reduce(list(200), 4s);
  EXPECT_EQ(reduce(report(100, 3s), 5s), 1);
  const Worker& worker = *state.workers_.Find(id);
  EXPECT_EQ(worker.incarnation_, WorkerIncarnation{ 200 });
  EXPECT_FALSE(worker.lease_.reading_);
  EXPECT_EQ(reduce(report(200, 5s), 6s), 0);
  EXPECT_TRUE(worker.lease_.reading_);
}

} // namespace
} // namespace verbenawell::jobs
