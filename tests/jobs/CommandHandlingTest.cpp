#include "verbenawell/jobs/maintenance/MaintenanceReducer.h"
#include "verbenawell/jobs/throttling/ThrottlingReducer.h"

#include "ExpectNoViolations.h"

#include <algorithm>
#include <variant>
#include <vector>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

const std::string kJob = "0000000000000001";
const std::string kOtherJob = "0000000000000002";

JobDefinition
LongRunningJob(std::uint32_t aTasks)
{
  JobDefinition job = MakeJob(aTasks, 1, 1s);
  job.steps_[0].longRunning_ = true;
  return job;
}

/// Runs in steps of 1 ms until the condition holds. Returns false if it does
/// not hold within `aTimeLimit`.
template<typename Condition>
bool
RunUntil(SimulatedDeployment& aDeployment,
         Duration aTimeLimit,
         Condition aCondition)
{
  const TimePoint end = aDeployment.time_.Now() + aTimeLimit;
  while (!aCondition()) {
    if (aDeployment.time_.Now() >= end) {
      return false;
    }
    aDeployment.RunFor(1ms);
  }
  return true;
}

// Guards against a cancelled task that keeps running in a new incarnation of
// its worker. The earlier incarnation had responded to the stop command, and a
// delayed copy of the start command reached the new one.
TEST(CommandHandling, StopsARunThatBeginsInANewIncarnationAfterTheStop)
{
  SimulatedDeployment deployment{ 71, { 3, 1, 1 } };
  deployment.RunFor(kStartUpTime);
  deployment.Submit(kJob, LongRunningJob(1));
  deployment.RunFor(2s);
  FakeWorker& worker = deployment.WorkerAt(0);
  ASSERT_EQ(worker.Running().size(), 1U);
  const std::string owner = deployment.Owner();
  const TaskId task = worker.Running().front();
  deployment.Cancel(kJob);
  const auto stopHasResponse = [&] {
    const Worker* seen =
      deployment.StateOf(owner).workers_.Find(worker.Entry().worker_);
    const auto* stopping = std::get_if<Stopping>(&seen->runs_.at(task).phase_);
    return stopping != nullptr && stopping->respondedAt_;
  };
  ASSERT_TRUE(RunUntil(deployment, 1s, stopHasResponse));
  deployment.KillWorker(0);
  deployment.RestartWorker(0);
  worker.Run(StartTask{ worker.Entry().worker_,
                        {},
                        task,
                        RunNumber{ 1 },
                        deployment.StateOf(owner).workers_.epoch_,
                        WorkerTime{ 8000 },
                        deployment.Definition(kJob)->specification_,
                        {},
                        {},
                        worker.Entry().incarnation_ },
             [](const Event&) {});
  ASSERT_EQ(worker.Running().size(), 1U);
  deployment.RunFor(10s);
  EXPECT_TRUE(worker.Running().empty());
  ExpectNoViolations(deployment);
}

// Guards against a cancelled task that keeps running because its stop command
// got a response but had no effect.
TEST(CommandHandling, RepeatsAStopWithAResponseWhileItsRunStaysListed)
{
  SimulatedDeployment deployment{ 75, { 3, 1, 1 } };
  deployment.RunFor(kStartUpTime);
  deployment.Submit(kJob, LongRunningJob(1));
  deployment.RunFor(2s);
  FakeWorker& worker = deployment.WorkerAt(0);
  ASSERT_EQ(worker.Running().size(), 1U);
  worker.faults_.ignoresStops_ = true;
  deployment.Cancel(kJob);
  deployment.RunFor(1s);
  worker.faults_.ignoresStops_ = false;
  deployment.RunFor(4s);
  EXPECT_TRUE(worker.Running().empty());
  ExpectNoViolations(deployment);
}

// Guards against an outcome that is decided for a submission, stays after that
// submission is rejected, and ends the next submission of the same job.
TEST(CommandHandling, KeepsAJobThatIsSubmittedAgainAfterItsCancelAndRejection)
{
  SimulatedDeployment deployment{ 72, {} };
  deployment.RunFor(kStartUpTime);
  const std::string owner = deployment.Owner();
  auto& store = deployment.store_.faults_;
  store.isDown_ = true;
  deployment.SubmitAt(owner, kJob, MakeJob(1, 1, 200ms), 3s);
  deployment.RunFor(20ms);
  deployment.SubmitAt(owner, kOtherJob, MakeJob(1, 1, 200ms), 3s);
  deployment.RunFor(20ms);
  deployment.CancelAt(owner, kOtherJob);
  const auto& state = deployment.StateOf(owner);
  const JobId job{ kOtherJob };
  ASSERT_TRUE(RunUntil(
    deployment, 100ms, [&] { return state.tasks_.cancellers_.contains(job); }));
  ASSERT_TRUE(RunUntil(
    deployment, 2s, [&] { return state.tasks_.Find(job) == nullptr; }));
  store.isDown_ = false;
  store.latency_ = 50ms;
  ASSERT_TRUE(RunUntil(deployment, 2s, [&] {
    const Job* first = state.tasks_.Find(JobId{ kJob });
    return first == nullptr || first->stored_;
  }));
  deployment.SubmitAt(owner, kOtherJob, MakeJob(1, 1, 20s), 3s);
  deployment.RunFor(5s);
  deployment.ReadAllJobs();
  deployment.RunFor(1s);
  EXPECT_NE(state.tasks_.Find(job), nullptr);
  ExpectNoViolations(deployment);
}

// Guards against a wave that never continues after a change of owner. The
// response that a VM's maintenance was done before was taken for the end of the
// VM's current worker.
TEST(CommandHandling, ContinuesAWaveWhoseOwnerIsKilledAfterACommand)
{
  SimulatedDeployment deployment{ 73, { 3, 3, 2 } };
  deployment.RunFor(kStartUpTime + 4s);
  deployment.BeginWave(1);
  ASSERT_TRUE(RunUntil(
    deployment, 5s, [&] { return !deployment.maintenanceBegun_.empty(); }));
  deployment.Kill(deployment.Owner());
  deployment.RunFor(60s);
  EXPECT_EQ(deployment.maintenanceBegun_.size(), 3U);
  EXPECT_TRUE(deployment.store_.waveStatus_[WaveNumber{ 1 }]);
  ExpectNoViolations(deployment);
}

// Guards against tasks that are started a second time while they run. After a
// repeated maintenance command, the worker of a VM whose maintenance was
// already done counted as ended.
TEST(CommandHandling, KeepsTheRunsOfAVmWhoseMaintenanceWasDoneBefore)
{
  for (Duration offset = 0ms; offset < 2s; offset += 100ms) {
    SimulatedDeployment deployment{ 74, { 3, 4, 2 } };
    deployment.RunFor(kStartUpTime + 4s);
    deployment.Submit(kJob, MakeJob(8, 1, 40s));
    deployment.RunFor(20ms);
    deployment.Submit(kOtherJob, MakeJob(8, 1, 11s));
    deployment.RunFor(1s + offset);
    // This job waits until the new worker of the first VM is listed.
    deployment.Submit("0000000000000003", MakeJob(2, 1, 30s));
    deployment.BeginWave(1);
    ASSERT_TRUE(RunUntil(
      deployment, 10s, [&] { return !deployment.maintenanceBegun_.empty(); }));
    deployment.Kill(deployment.Owner());
    deployment.RunFor(60s);
    ExpectNoViolations(deployment);
  }
}

/// Has one worker that runs a task to throttle beside a task with a latency
/// target.
class ThrottledTask
{
public:
  ThrottledTask()
  {
    Job job;
    job.id_ = JobId{ kJob };
    job.definition_ = MakeJob(1, 2, 60s);
    job.definition_.steps_[0].bestEffort_ = true;
    job.definition_.steps_[1].latencyTarget_ = 100ms;
    AddOccurrence(job);
    state_.tasks_.jobs_.emplace(job.id_, job);
    state_.workers_.workers_[worker_].runs_[bestEffortTask_].run_ =
      RunNumber{ 1 };
  }

  /// Marks the throttled task as started by the current owner.
  void Start()
  {
    state_.workers_.workers_[worker_].runs_[bestEffortTask_].startSentAt_ =
      TimePoint{} + 1ms;
  }

  /// The shares that are sent after a list of runs with this latency in
  /// milliseconds.
  std::vector<Percent> SharesAt(Duration aAt, std::int64_t aLatency)
  {
    Effects effects;
    ReduceThrottling(
      state_.throttling_,
      state_.View(),
      RunsReported{ worker_,
                    { { bestEffortTask_, RunNumber{ 1 }, {}, {}, 0 },
                      { serving_, RunNumber{ 1 }, {}, {}, aLatency } } },
      { TimePoint{} + aAt, {}, {} },
      effects);
    std::vector<Percent> shares;
    for (const Effect& effect : effects) {
      if (const auto* throttle = std::get_if<ThrottleTask>(&effect)) {
        shares.push_back(throttle->percent_);
      }
    }
    return shares;
  }

private:
  const WorkerId worker_{ "w" };
  const TaskId bestEffortTask_{ JobId{ kJob }, {}, {}, {} };
  const TaskId serving_{ JobId{ kJob }, {}, StepIndex{ 1 }, {} };
  State state_;
};

// Guards against a task that stays at the low share that an earlier owner had
// set. The new owner assumed that it ran at its full share.
TEST(CommandHandling, RaisesTheShareOfATaskThatAnEarlierOwnerThrottled)
{
  ThrottledTask throttled;
  EXPECT_EQ(throttled.SharesAt(20s, 0), std::vector{ Percent{ 100 } });
  EXPECT_TRUE(throttled.SharesAt(20100ms, 0).empty());
}

// Guards against a task that stays at a low share because the command that
// raised it was lost.
TEST(CommandHandling, RepeatsAFullShareForAWhile)
{
  ThrottledTask throttled;
  throttled.Start();
  EXPECT_EQ(throttled.SharesAt(1s, 90), std::vector{ Percent{ 50 } });
  for (Duration at = 2s; at < 7s; at += 1s) {
    throttled.SharesAt(at, 0);
  }
  EXPECT_EQ(throttled.SharesAt(8s, 0), std::vector{ Percent{ 100 } });
  EXPECT_TRUE(throttled.SharesAt(8100ms, 0).empty());
  EXPECT_TRUE(throttled.SharesAt(20s, 0).empty());
}

// Guards against a wave that is never shown as completed. The delayed response
// to its first status was taken for the response to the last one.
TEST(CommandHandling, WritesTheLastStatusOfAWaveUntilItIsConfirmed)
{
  const WaveNumber wave{ 1 };
  State state;
  state.maintenance_.waves_[wave].wave_.number_ = wave;
  const auto writes = [&](const Event& aEvent) {
    Effects effects;
    ReduceMaintenance(state.maintenance_, state.View(), aEvent, {}, effects);
    return std::ranges::count_if(effects, [](const Effect& aEffect) {
      return std::holds_alternative<WriteWaveStatus>(aEffect);
    });
  };
  // Each result but the last one leaves the last status to be written.
  EXPECT_EQ(writes(VmsRead{}), 1);
  writes(WaveStatusWritten{ wave, true, WaveStatusUnconfirmed{} });
  EXPECT_EQ(writes(VmsRead{}), 1);
  EXPECT_EQ(
    writes(WaveStatusWritten{ wave, false, WaveStatusAppended{ Offset{ 0 } } }),
    1);
  EXPECT_EQ(writes(WaveStatusWritten{
              wave, true, WaveStatusEndMismatch{ Offset{ 3 } } }),
            1);
  writes(WaveStatusWritten{ wave, true, WaveStatusAppended{ Offset{ 3 } } });
  EXPECT_EQ(writes(VmsRead{}), 0);
}

// Guards against a wave that is shown as running for good after it has ended.
// The write of its first status got no response and was executed after the
// write of the last one.
TEST(CommandHandling, ShowsAWaveAsCompletedAfterALateFirstStatus)
{
  SimulatedDeployment deployment{ 76, { 3, 1, 1 } };
  deployment.RunFor(kStartUpTime + 4s);
  deployment.BeginWave(1);
  const auto hasBegun = [&] {
    deployment.store_.faults_.delayedWritePercent_ = 100;
    return std::ranges::any_of(deployment.log_, [](const auto& aLine) {
      return aLine.event_ == "wave_begun";
    });
  };
  ASSERT_TRUE(RunUntil(deployment, 1s, hasBegun));
  deployment.store_.faults_.delayedWritePercent_ = 0;
  deployment.RunFor(30s);
  ASSERT_EQ(deployment.maintenanceBegun_.size(), 1U);
  EXPECT_TRUE(deployment.store_.waveStatus_[WaveNumber{ 1 }]);
}

} // namespace
} // namespace verbenawell::jobs
