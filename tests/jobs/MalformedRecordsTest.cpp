#include "verbenawell/jobs/core/Reduce.h"
#include "verbenawell/jobs/core/State.h"
#include "verbenawell/jobs/placement/Admission.h"
#include "verbenawell/jobs/placement/JobOrder.h"
#include "verbenawell/jobs/pools/PoolDemand.h"
#include "verbenawell/jobs/workers/WorkersState.h"

#include <algorithm>
#include <cstdint>
#include <limits>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

const ServiceId kService{ "s" };

Context
At(Duration aTime)
{
  return { TimePoint{ aTime }, WallTime{}, DaemonId{ "d" } };
}

std::size_t
CountLines(const Effects& aEffects, const std::string& aEvent)
{
  return static_cast<std::size_t>(
    std::ranges::count_if(aEffects, [&](const Effect& aEffect) {
      const auto* line = std::get_if<LogLine>(&aEffect);
      return line != nullptr && line->event_ == aEvent;
    }));
}

Worker&
AddWorker(State& aState, const std::string& aId, std::uint64_t aCpu)
{
  Worker& worker = aState.workers_.workers_[WorkerId{ aId }];
  worker.entry_.worker_ = WorkerId{ aId };
  worker.entry_.service_ = kService;
  worker.entry_.capacity_.cpu_ = MilliCores{ aCpu };
  worker.isListed_ = true;
  worker.hasResponded_ = true;
  return worker;
}

/// Adds a job of one step that was accepted at time zero.
Job&
AddJob(State& aState,
       const std::string& aId,
       std::uint32_t aTasks,
       std::uint64_t aCpu,
       Duration aRunTime)
{
  Job job;
  job.id_ = JobId{ aId };
  job.service_ = kService;
  job.policy_.objective_ = 1s;
  Step& step = job.definition_.steps_.emplace_back();
  step.count_ = TaskCount{ aTasks };
  step.resources_.cpu_ = MilliCores{ aCpu };
  step.estimatedRunTime_ = aRunTime;
  AddOccurrence(job);
  Job& added = aState.tasks_.jobs_[job.id_] = job;
  aState.tasks_.openJobs_.Update(added);
  return added;
}

// Guards against a log that grows with each reading of the list, twice a
// second, for as long as malformed entries stay.
TEST(MalformedRecords, AreLoggedWhenTheyAppearOrChange)
{
  State state;
  std::size_t lines = 0;
  const auto read = [&](const std::string& aReason) {
    for (int entry = 0; entry < 150; ++entry) {
      lines += CountLines(
        Reduce(state,
               RecordInvalid{ "i-" + std::to_string(entry), aReason },
               At(1s)),
        "record_invalid");
    }
  };
  for (int reading = 0; reading < 10; ++reading) {
    read("first");
  }
  EXPECT_GE(lines, 100U);
  EXPECT_LE(lines, 150U);
  lines = 0;
  read("second");
  EXPECT_GE(lines, 100U);
  EXPECT_LE(lines, 150U);
}

// Guards against a log line every 100 ms for a worker whose lists do not
// decode.
TEST(MalformedRecords, OfAWorkerAreLoggedWhenTheReasonChanges)
{
  State state;
  AddWorker(state, "i-1", 1000);
  state.workers_.isActive_ = true;
  std::size_t lines = 0;
  const auto refuse = [&](const std::string& aReason) {
    lines += CountLines(
      Reduce(
        state, LeaseRenewalRefused{ WorkerId{ "i-1" }, aReason, {} }, At(1s)),
      "hold_refused");
  };
  for (int renewal = 0; renewal < 10; ++renewal) {
    refuse("clockMs is missing");
  }
  EXPECT_EQ(lines, 1U);
  refuse("503");
  EXPECT_EQ(lines, 2U);
  // A successful response in between makes the next refusal a new one.
  Reduce(
    state, WorkerReported{ WorkerId{ "i-1" }, {}, {}, {}, {}, {} }, At(2s));
  refuse("503");
  EXPECT_EQ(lines, 3U);
}

// Guards against log lines and journal writes twice a second for an entry whose
// address belongs to another worker.
TEST(MalformedRecords, OfAnEndedWorkerAreNotLoggedOrWrittenAgain)
{
  State state;
  state.workers_.isActive_ = true;
  WorkerEntry entry;
  entry.worker_ = WorkerId{ "i-1" };
  entry.service_ = kService;
  std::size_t lines = 0;
  std::size_t appends = 0;
  state.journal_.phase_ = JournalReady{};
  for (int reading = 0; reading < 10; ++reading) {
    const Effects effects =
      Reduce(state, WorkersRead{ { entry } }, At(1s * reading));
    lines += CountLines(effects, "worker_listed");
    appends += state.journal_.queue_.size();
    state.journal_ = {};
    state.journal_.phase_ = JournalReady{};
    Reduce(state, WorkerEnded{ entry.worker_ }, At(1s * reading));
  }
  EXPECT_EQ(lines, 1U);
  EXPECT_LE(appends, 1U);
}

// Guards against runs that are started a second time. An entry that is valid at
// one reading and malformed at the next is missing from the list, but its
// worker is alive, and its lease ends no sooner than the worker stops
// responding.
TEST(MalformedRecords, DoNotEndTheRunsOfALiveWorker)
{
  State state;
  state.workers_.isActive_ = true;
  const WorkerId busy{ "i-1" };
  const WorkerId idle{ "i-2" };
  AddWorker(state, "i-1", 1000).runs_[TaskId{ JobId{ "j" }, {}, {}, {} }];
  AddWorker(state, "i-2", 1000);
  for (int second = 1; second <= 60; ++second) {
    const Effects effects = Reduce(state, WorkersRead{}, At(1s * second));
    EXPECT_EQ(CountLines(effects, "run_lost"), 0U);
    const Worker* worker = state.workers_.Find(busy);
    ASSERT_NE(worker, nullptr) << second;
    EXPECT_FALSE(IsSchedulable(*worker, TimePoint{ 1s * second }));
    EXPECT_EQ(state.workers_.Find(idle) != nullptr, second < 3) << second;
  }
}

// Guards against an admission check that rejects nothing, and against a pool
// that requests no VMs, because of the capacity in an entry without a worker
// behind it.
TEST(MalformedRecords, AddNoCapacityToAPool)
{
  State state;
  AddWorker(state, "i-1", 1000);
  const Job& job = AddJob(state, "j", 1000, 1000, 1s);
  const auto before = ComputePoolDemand(state.View(), {}, At(1s)).at(kService);
  ASSERT_TRUE(Admit(job, state.View(), At(1s)));
  AddWorker(state, "i-odd", std::uint64_t{ 1 } << 52U).hasResponded_ = false;
  EXPECT_TRUE(Admit(job, state.View(), At(1s)));
  const auto after = ComputePoolDemand(state.View(), {}, At(1s)).at(kService);
  EXPECT_EQ(after.requiredVms_, before.requiredVms_);
  EXPECT_EQ(after.activeVms_, before.activeVms_);
}

// Guards against sums that wrap. A job with a huge declared size made the
// backlog of its service look small or the waiting time negative.
TEST(MalformedRecords, DoNotOverflowSumsOfWork)
{
  constexpr std::uint64_t kHuge = std::uint64_t{ 1 } << 53U;
  State state;
  AddWorker(state, "i-1", 1);
  const Job& huge = AddJob(state, "j", 3, kHuge, 24h * 3650);
  AddJob(state, "k", 3, kHuge, 24h * 3650);
  EXPECT_EQ(RemainingCpuTime(huge), std::numeric_limits<std::uint64_t>::max());
  EXPECT_TRUE(Admit(huge, state.View(), At(1s)));
  Job& small = AddJob(state, "l", 1, 1, 1ms);
  EXPECT_TRUE(Admit(small, state.View(), At(1s)));
  AddJob(state, "m", 3, kHuge, 500ms);
  EXPECT_GT(
    ComputePoolDemand(state.View(), {}, At(1s)).at(kService).requiredVms_,
    1000U);
}

// Guards against an out-of-bounds read. A worker listed a run of a step that
// the job does not have, and its VM is due for maintenance.
TEST(MalformedRecords, OfARunMayNameAMissingStep)
{
  State state;
  AddJob(state, "j", 1, 1, 1s);
  Worker& worker = AddWorker(state, "i-1", 1000);
  Assignment& run =
    worker.runs_[TaskId{ JobId{ "j" }, {}, StepIndex{ 4'000'000'000U }, {} }];
  run.isUnknownRun_ = true;
  state.maintenance_.isActive_ = true;
  WaveProgress& wave = state.maintenance_.waves_[WaveNumber{ 1 }];
  wave.wave_.number_ = WaveNumber{ 1 };
  wave.vms_[VmId{ "m" }] = { VmPhase::Draining, {}, WorkerId{ "i-1" }, false };
  const ListedVm vm{ VmId{ "m" }, kService, VmState::Up, WorkerId{ "i-1" } };
  EXPECT_NO_THROW(Reduce(state, VmsRead{ { vm } }, At(1s)));
}

} // namespace
} // namespace verbenawell::jobs
