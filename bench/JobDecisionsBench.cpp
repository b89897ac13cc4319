#include "verbenawell/jobs/core/State.h"
#include "verbenawell/jobs/estimates/RunTimeEstimates.h"
#include "verbenawell/jobs/placement/Admission.h"
#include "verbenawell/jobs/placement/JobOrder.h"
#include "verbenawell/jobs/placement/PlacementReducer.h"
#include "verbenawell/jobs/tasks/TasksReducer.h"

#include "Row.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <string>
#include <utility>

#include <gflags/gflags.h>
#include <malloc.h>

DEFINE_uint64(seed, 1, "printed with each row; the decisions are not random");

namespace verbenawell::bench {
namespace {

using namespace std::chrono_literals;
using namespace jobs;

constexpr std::uint32_t kServices = 5;
constexpr std::uint32_t kTasksOfStep = 8;
constexpr int kDecisions = 50;
const TimePoint kNow = TimePoint{} + 1000s;

ServiceId
MakeServiceId(std::uint32_t aNumber)
{
  return ServiceId{ "service" + std::to_string(aNumber % kServices) };
}

Job
MakeJob(std::uint32_t aNumber)
{
  Job job;
  job.id_ = JobId{ "job" + std::to_string(aNumber) };
  job.service_ = MakeServiceId(aNumber);
  job.policy_.objective_ = 1h;
  job.acceptedAt_ = kNow;
  job.stored_ = true;
  for (std::uint32_t index = 0; index < 2; ++index) {
    Step& step = job.definition_.steps_.emplace_back();
    step.count_ = TaskCount{ kTasksOfStep };
    step.resources_.cpu_ = MilliCores{ 8900 };
    step.estimatedRunTime_ = 800ms;
    if (index > 0) {
      step.dependencies_.emplace_back(0U);
    }
  }
  AddOccurrence(job);
  return job;
}

/// An owner whose jobs all run, but for one with a step to start.
void
Fill(State& aState, std::uint32_t aWorkers, std::uint32_t aJobs)
{
  aState.journal_.phase_ = JournalReady{};
  for (std::uint32_t number = 0; number < aWorkers; ++number) {
    const WorkerId id{ "worker" + std::to_string(number) };
    Worker& worker = aState.workers_.workers_[id];
    worker.entry_.worker_ = id;
    worker.entry_.service_ = MakeServiceId(number);
    worker.entry_.capacity_ = { MilliCores{ 64'000 }, {}, {} };
    worker.isListed_ = true;
    worker.isStored_ = true;
    worker.hasResponded_ = true;
    worker.lease_.reading_ = ClockReading{ {}, kNow };
    worker.lastResponseAt_ = kNow;
  }
  for (std::uint32_t number = 0; number < aJobs; ++number) {
    Job job = MakeJob(number);
    for (std::uint32_t task = 0; number > 0 && task < kTasksOfStep; ++task) {
      SetStatus(job,
                { job.id_, {}, StepIndex{ 0 }, TaskIndex{ task } },
                Placed{ WorkerId{ "worker0" }, RunNumber{ 1 }, kNow });
    }
    aState.tasks_.openJobs_.Update(
      aState.tasks_.jobs_.emplace(job.id_, std::move(job)).first->second);
  }
}

/// Mean nanoseconds of one decision.
template<typename Decide>
double
MeasureNanoseconds(Decide aDecide)
{
  const auto start = std::chrono::steady_clock::now();
  for (int decision = 0; decision < kDecisions; ++decision) {
    aDecide();
  }
  const std::chrono::duration<double, std::nano> elapsed =
    std::chrono::steady_clock::now() - start;
  return elapsed.count() / kDecisions;
}

/// The version before: a look at all open jobs for each decision.
double
MeasureLookAtAllJobs(const State& aState)
{
  JobRank lowest;
  return MeasureNanoseconds([&] {
    for (const auto& [id, job] : aState.tasks_.jobs_) {
      lowest = std::max(lowest, Rank(job, kNow));
    }
  });
}

void
Measure(std::uint32_t aWorkers, std::uint32_t aJobs)
{
  State state;
  Fill(state, aWorkers, aJobs);
  const Context context{ kNow, {}, {} };
  const Job submitted = MakeJob(aJobs);
  const double admission = MeasureNanoseconds(
    [&] { static_cast<void>(Admit(submitted, state.View(), context)); });
  const double pass = MeasureNanoseconds([&] {
    Effects effects;
    ReducePlacement(state.placement_,
                    state.View(),
                    TimerDue{ PlacementPass{} },
                    context,
                    effects);
  });
  const double allJobs = MeasureLookAtAllJobs(state);
  const std::string size =
    "/" + std::to_string(aWorkers) + "/" + std::to_string(aJobs);
  Print({ "job_decision_ns/admission" + size,
          admission,
          "ns",
          allJobs,
          {},
          FLAGS_seed,
          kDecisions });
  Print({ "job_decision_ns/placement_pass" + size,
          pass,
          "ns",
          allJobs,
          {},
          FLAGS_seed,
          kDecisions });
}

/// The pass over the waiting jobs of some workspaces, compared with the same
/// pass on a deployment without workspaces.
void
MeasureShares(std::uint32_t aWorkers,
              std::uint32_t aJobs,
              std::uint32_t aWorkspaces)
{
  const auto measure = [&](std::uint32_t aNumber) {
    State state;
    Fill(state, aWorkers, 0);
    auto& workspaces =
      state.configuration_.configuration_.emplace().workspaces_.emplace();
    for (std::uint32_t number = 0; number < aNumber; ++number) {
      workspaces.push_back(
        { WorkspaceId{ "workspace" + std::to_string(number) },
          WorkspaceWeight{ 1.0 },
          {} });
    }
    for (std::uint32_t number = 0; number < aJobs; ++number) {
      Job job = MakeJob(number);
      if (aNumber > 0) {
        job.workspace_ = workspaces[number % aNumber].id_;
      }
      state.tasks_.openJobs_.Update(
        state.tasks_.jobs_.emplace(job.id_, std::move(job)).first->second);
    }
    return MeasureNanoseconds([&] {
      Effects effects;
      ReducePlacement(state.placement_,
                      state.View(),
                      TimerDue{ PlacementPass{} },
                      { kNow, {}, {} },
                      effects);
    });
  };
  const double without = measure(0);
  Print({ "job_decision_ns/placement_pass_shares/" + std::to_string(aWorkers) +
            "/" + std::to_string(aJobs) + "/" + std::to_string(aWorkspaces),
          measure(aWorkspaces),
          "ns",
          without,
          {},
          FLAGS_seed,
          kDecisions });
}

Job
MakeScheduledJob(std::uint32_t aNumber, std::uint32_t aOccurrences)
{
  Job job = MakeJob(aNumber);
  job.occurrences_.clear();
  job.openTasks_.clear();
  job.nextOccurrence_ = Occurrence{ 0 };
  job.definition_.steps_.resize(1);
  job.definition_.steps_[0].count_ = TaskCount{ 1 };
  job.definition_.schedule_ =
    Schedule{ TaskCount{ aOccurrences }, WallTime{}, 0ms };
  return job;
}

/// The longest event that creates due occurrences, compared with one that
/// creates all of them.
void
MeasureDueOccurrences(std::uint32_t aJobs, std::uint32_t aOccurrences)
{
  State state;
  state.ownership_.role_ = Owning{};
  for (std::uint32_t number = 0; number < aJobs; ++number) {
    Job job = MakeScheduledJob(number, aOccurrences);
    state.tasks_.jobs_.emplace(job.id_, std::move(job));
  }
  const auto elapsedSince = [](std::chrono::steady_clock::time_point aStart) {
    return std::chrono::duration<double, std::nano>(
             std::chrono::steady_clock::now() - aStart)
      .count();
  };
  double longest = 0;
  for (int tick = 0; tick < kDecisions; ++tick) {
    const auto start = std::chrono::steady_clock::now();
    Effects effects;
    ReduceTasks(state.tasks_,
                state.View(),
                TimerDue{ JobsTick{} },
                { kNow, WallTime{ 1h }, {} },
                effects);
    longest = std::max(longest, elapsedSince(start));
  }
  const auto start = std::chrono::steady_clock::now();
  for (std::uint32_t number = 0; number < aJobs; ++number) {
    Job job = MakeScheduledJob(number, aOccurrences);
    while (job.nextOccurrence_ < job.OccurrenceCount()) {
      AddOccurrence(job);
    }
  }
  Print({ "job_decision_ns/due_occurrences/" + std::to_string(aJobs) + "/" +
            std::to_string(aOccurrences),
          longest,
          "ns",
          elapsedSince(start),
          {},
          FLAGS_seed,
          kDecisions });
}

/// Memory of the largest number of learned groups, and the time to learn from a
/// run and to look up a run time among them.
void
MeasureLearnedRunTimes()
{
  const std::size_t before = mallinfo2().uordblks;
  RunTimeEstimates estimates;
  std::uint32_t image = 0;
  const auto kindOf = [](std::uint32_t aImage) {
    return RunKind{ QueueId{ "queue-of-a-service" },
                    ImageId{ "registry.example/image-" +
                             std::to_string(aImage) },
                    1s };
  };
  // Each new image adds two groups.
  while (estimates.GroupCount() + 2 <= RunTimeEstimates::kMaxGroups) {
    estimates.Add(kindOf(image++), WholeRun{ 2s }, kNow);
  }
  const std::size_t bytes = mallinfo2().uordblks - before;
  const RunKind known = kindOf(image / 2);
  Duration sum{};
  const double learn =
    MeasureNanoseconds([&] { estimates.Add(known, WholeRun{ 2s }, kNow); });
  const double expect =
    MeasureNanoseconds([&] { sum += estimates.Expect(known, kNow).runTime_; });
  const std::string size = "/" + std::to_string(estimates.GroupCount());
  Print({ "learned_run_times_bytes" + size,
          static_cast<double>(bytes),
          "bytes",
          0,
          {},
          FLAGS_seed,
          1 });
  Print({ "learned_run_times_ns/learn" + size,
          learn,
          "ns",
          0,
          {},
          FLAGS_seed,
          kDecisions });
  Print({ "learned_run_times_ns/expect" + size,
          expect,
          "ns",
          sum > Duration{} ? 0.0 : -1.0,
          {},
          FLAGS_seed,
          kDecisions });
}

} // namespace
} // namespace verbenawell::bench

int
main(int aCount, char** aArguments)
{
  using namespace verbenawell::bench;
  gflags::SetUsageMessage(
    "measures the decisions of an owner by numbers of workers and jobs");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  for (const std::uint32_t workers : { 50U, 500U, 1100U, 3500U }) {
    for (const std::uint32_t jobs : { 1000U, 10000U }) {
      Measure(workers, jobs);
    }
  }
  for (const std::uint32_t workers : { 350U, 3500U }) {
    for (const std::uint32_t workspaces : { 20U, 340U }) {
      MeasureShares(workers, 1000, workspaces);
    }
  }
  for (const std::uint32_t jobs : { 1U, 3U }) {
    for (const std::uint32_t occurrences : { 50U, 5000U, 50000U }) {
      MeasureDueOccurrences(jobs, occurrences);
    }
  }
  MeasureLearnedRunTimes();
  return 0;
}
