#include "verbenawell/jobs/pacing/PacingReducer.h"
#include "verbenawell/jobs/upkeep/UpkeepReducer.h"

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
Lasting(std::uint32_t aTasks)
{
  JobDefinition job = MakeJob(aTasks, 1, 1s);
  job.steps_[0].longRunning_ = true;
  return job;
}

/// Runs in steps of 1 ms until the condition holds. Returns false if it does
/// not hold within `aMost`.
template<typename Condition>
bool
RunUntil(Installation& aInstallation, Duration aMost, Condition aCondition)
{
  const TimePoint end = aInstallation.time_.Now() + aMost;
  while (!aCondition()) {
    if (aInstallation.time_.Now() >= end) {
      return false;
    }
    aInstallation.RunFor(1ms);
  }
  return true;
}

// Guards against a cancelled task that keeps running in a new incarnation of
// its worker. The earlier incarnation had responded to the stop command, and a
// delayed copy of the start command reached the new one.
TEST(Orders, StopsARunThatBeginsInANewLifeAfterTheStopWasAnswered)
{
  Installation installation{ 71, { 3, 1, 1 } };
  installation.RunFor(kStartUp);
  installation.Submit(kJob, Lasting(1));
  installation.RunFor(2s);
  FakeWorker& worker = installation.WorkerAt(0);
  ASSERT_EQ(worker.Running().size(), 1U);
  const std::string owner = installation.Owner();
  const TaskId task = worker.Running().front();
  installation.Cancel(kJob);
  const auto stopIsAnswered = [&] {
    const Worker* seen =
      installation.StateOf(owner).workers_.Find(worker.Entry().worker_);
    const auto* stopping = std::get_if<Stopping>(&seen->runs_.at(task).phase_);
    return stopping != nullptr && stopping->answeredAt_;
  };
  ASSERT_TRUE(RunUntil(installation, 1s, stopIsAnswered));
  installation.KillWorker(0);
  installation.ReviveWorker(0);
  worker.Run(StartTask{ worker.Entry().worker_,
                        {},
                        task,
                        RunNumber{ 1 },
                        installation.StateOf(owner).workers_.epoch_,
                        WorkerTime{ 8000 },
                        installation.Definition(kJob)->specification_,
                        {},
                        {} },
             [](const Event&) {});
  ASSERT_EQ(worker.Running().size(), 1U);
  installation.RunFor(10s);
  EXPECT_TRUE(worker.Running().empty());
  ExpectKept(installation);
}

// Guards against a cancelled task that keeps running because its stop command
// got a response but had no effect.
TEST(Orders, RepeatsAnAnsweredStopWhoseRunStaysListed)
{
  Installation installation{ 75, { 3, 1, 1 } };
  installation.RunFor(kStartUp);
  installation.Submit(kJob, Lasting(1));
  installation.RunFor(2s);
  FakeWorker& worker = installation.WorkerAt(0);
  ASSERT_EQ(worker.Running().size(), 1U);
  worker.faults_.ignoresStops_ = true;
  installation.Cancel(kJob);
  installation.RunFor(1s);
  worker.faults_.ignoresStops_ = false;
  installation.RunFor(4s);
  EXPECT_TRUE(worker.Running().empty());
  ExpectKept(installation);
}

// Guards against an outcome that is decided for a submission, stays after that
// submission is rejected, and ends the next submission of the same job.
TEST(Orders, KeepsAJobThatIsSubmittedAgainAfterItsCancelAndRefusal)
{
  Installation installation{ 72, {} };
  installation.RunFor(kStartUp);
  const std::string owner = installation.Owner();
  auto& store = installation.store_.faults_;
  store.isDown_ = true;
  installation.SubmitAt(owner, kJob, MakeJob(1, 1, 200ms), 3s);
  installation.RunFor(20ms);
  installation.SubmitAt(owner, kOtherJob, MakeJob(1, 1, 200ms), 3s);
  installation.RunFor(20ms);
  installation.CancelAt(owner, kOtherJob);
  const auto& state = installation.StateOf(owner);
  const JobId job{ kOtherJob };
  ASSERT_TRUE(RunUntil(installation, 100ms, [&] {
    return state.tasks_.cancellers_.contains(job);
  }));
  ASSERT_TRUE(RunUntil(
    installation, 2s, [&] { return state.tasks_.Find(job) == nullptr; }));
  store.isDown_ = false;
  store.latency_ = 50ms;
  ASSERT_TRUE(RunUntil(installation, 2s, [&] {
    const Job* first = state.tasks_.Find(JobId{ kJob });
    return first == nullptr || first->stored_;
  }));
  installation.SubmitAt(owner, kOtherJob, MakeJob(1, 1, 20s), 3s);
  installation.RunFor(5s);
  installation.AskForAll();
  installation.RunFor(1s);
  EXPECT_NE(state.tasks_.Find(job), nullptr);
  ExpectKept(installation);
}

// Guards against a wave that never continues after a change of owner. The
// response that a VM's maintenance was done before was taken for the end of the
// VM's current worker.
TEST(Orders, GoesOnWithAWaveWhoseOwnerIsKilledBehindAnOrder)
{
  Installation installation{ 73, { 3, 3, 2 } };
  installation.RunFor(kStartUp + 4s);
  installation.BeginWave(1);
  ASSERT_TRUE(
    RunUntil(installation, 5s, [&] { return !installation.begun_.empty(); }));
  installation.Kill(installation.Owner());
  installation.RunFor(60s);
  EXPECT_EQ(installation.begun_.size(), 3U);
  EXPECT_TRUE(installation.store_.waveStatus_[WaveNumber{ 1 }]);
  ExpectKept(installation);
}

// Guards against tasks that are started a second time while they run. After a
// repeated maintenance command, the worker of a VM whose maintenance was
// already done counted as ended.
TEST(Orders, KeepsTheRunsOfAVmWhoseMaintenanceWasDoneBefore)
{
  for (Duration offset = 0ms; offset < 2s; offset += 100ms) {
    Installation installation{ 74, { 3, 4, 2 } };
    installation.RunFor(kStartUp + 4s);
    installation.Submit(kJob, MakeJob(8, 1, 40s));
    installation.RunFor(20ms);
    installation.Submit(kOtherJob, MakeJob(8, 1, 11s));
    installation.RunFor(1s + offset);
    // This job waits until the new worker of the first VM is listed.
    installation.Submit("0000000000000003", MakeJob(2, 1, 30s));
    installation.BeginWave(1);
    ASSERT_TRUE(RunUntil(
      installation, 10s, [&] { return !installation.begun_.empty(); }));
    installation.Kill(installation.Owner());
    installation.RunFor(60s);
    ExpectKept(installation);
  }
}

/// Has one worker that runs a throttled task beside a task with a latency
/// target.
class PacedTask
{
public:
  PacedTask()
  {
    Job job;
    job.id_ = JobId{ kJob };
    job.definition_ = MakeJob(1, 2, 60s);
    job.definition_.steps_[0].fills_ = true;
    job.definition_.steps_[1].latencyTarget_ = 100ms;
    AddOccurrence(job);
    state_.tasks_.jobs_.emplace(job.id_, job);
    state_.workers_.workers_[worker_].runs_[filling_].run_ = RunNumber{ 1 };
  }

  /// Marks the throttled task as started by the current owner.
  void Start()
  {
    state_.workers_.workers_[worker_].runs_[filling_].startSentAt_ =
      TimePoint{} + 1ms;
  }

  /// The shares that are sent after a list of runs with this latency in
  /// milliseconds.
  std::vector<Percent> SharesAt(Duration aAt, std::int64_t aLatency)
  {
    Effects effects;
    ReducePacing(state_.pacing_,
                 state_.View(),
                 RunsSeen{ worker_,
                           { { filling_, RunNumber{ 1 }, {}, {}, 0 },
                             { serving_, RunNumber{ 1 }, {}, {}, aLatency } } },
                 { TimePoint{} + aAt, {}, {} },
                 effects);
    std::vector<Percent> shares;
    for (const Effect& effect : effects) {
      if (const auto* pace = std::get_if<PaceTask>(&effect)) {
        shares.push_back(pace->percent_);
      }
    }
    return shares;
  }

private:
  const WorkerId worker_{ "w" };
  const TaskId filling_{ JobId{ kJob }, {}, {}, {} };
  const TaskId serving_{ JobId{ kJob }, {}, StepIndex{ 1 }, {} };
  State state_;
};

// Guards against a task that stays at the low share that an earlier owner had
// set. The new owner assumed that it ran at its full share.
TEST(Orders, RaisesTheShareOfATaskThatAnEarlierOwnerPaced)
{
  PacedTask paced;
  EXPECT_EQ(paced.SharesAt(20s, 0), std::vector{ Percent{ 100 } });
  EXPECT_TRUE(paced.SharesAt(20100ms, 0).empty());
}

// Guards against a task that stays at a low share because the command that
// raised it was lost.
TEST(Orders, RepeatsAFullShareForAWhile)
{
  PacedTask paced;
  paced.Start();
  EXPECT_EQ(paced.SharesAt(1s, 90), std::vector{ Percent{ 50 } });
  for (Duration at = 2s; at < 7s; at += 1s) {
    paced.SharesAt(at, 0);
  }
  EXPECT_EQ(paced.SharesAt(8s, 0), std::vector{ Percent{ 100 } });
  EXPECT_TRUE(paced.SharesAt(8100ms, 0).empty());
  EXPECT_TRUE(paced.SharesAt(20s, 0).empty());
}

// Guards against a wave that is never shown as completed. The delayed response
// to its first status was taken for the response to the last one.
TEST(Orders, WritesTheLastStatusOfAWaveUntilItIsAnswered)
{
  const WaveNumber wave{ 1 };
  State state;
  state.upkeep_.waves_[wave].wave_.number_ = wave;
  const auto writes = [&](const Event& aEvent) {
    Effects effects;
    ReduceUpkeep(state.upkeep_, state.View(), aEvent, {}, effects);
    return std::ranges::count_if(effects, [](const Effect& aEffect) {
      return std::holds_alternative<WriteWaveStatus>(aEffect);
    });
  };
  EXPECT_EQ(writes(VmsRead{}), 1);
  writes(WaveStatusWritten{ wave, true, false });
  writes(WaveStatusWritten{ wave, false, true });
  EXPECT_EQ(writes(VmsRead{}), 1);
  writes(WaveStatusWritten{ wave, true, true });
  EXPECT_EQ(writes(VmsRead{}), 0);
}

} // namespace
} // namespace verbenawell::jobs
