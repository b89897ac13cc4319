#include "verbenawell/jobs/maintenance/DisruptionBudget.h"

#include "verbenawell/jobs/core/Reduce.h"
#include "verbenawell/jobs/core/State.h"

#include "SimulatedDeployment.h"

#include <cstdint>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

// Guards against two owners that each stop a task of a step: a worker lists a
// run that the former owner has stopped until the run ends, and the next owner
// took it for available.
TEST(DisruptionBudget, CountsNoRunWhileAStopOfAFormerOwnerMayEndIt)
{
  const TimePoint now = TimePoint{} + 100s;
  State state;
  Job job;
  job.id_ = JobId{ "0000000000000001" };
  job.definition_ = MakeJob(2, 1, 1s);
  job.definition_.steps_[0].longRunning_ = true;
  job.definition_.steps_[0].disruptionBudget_ = TaskCount{ 1 };
  AddOccurrence(job);
  state.tasks_.jobs_.emplace(job.id_, job);
  state.workers_.isActive_ = true;
  state.workers_.takenAt_ = now;
  Job& stored = state.tasks_.jobs_.at(job.id_);
  const auto taskOf = [&](std::uint32_t aIndex) {
    return TaskId{ job.id_, {}, {}, TaskIndex{ aIndex } };
  };
  const auto report = [&](std::uint32_t aIndex, TimePoint aAt) {
    WorkerReported lists;
    lists.worker_ = WorkerId{ "w" + std::to_string(aIndex) };
    lists.sentAt_ = aAt;
    lists.running_.push_back(
      { taskOf(aIndex), RunNumber{ 1 }, {}, Percent{ 100 }, 0 });
    Reduce(state, lists, { aAt, {}, {} });
  };
  for (std::uint32_t index = 0; index < 2; ++index) {
    const WorkerId id{ "w" + std::to_string(index) };
    SetStatus(stored, taskOf(index), Placed{ id, RunNumber{ 1 }, now });
    Worker& worker = state.workers_.workers_[id];
    worker.entry_.worker_ = id;
    Assignment& run = worker.runs_[taskOf(index)];
    run.run_ = RunNumber{ 1 };
    run.phase_ = Present{ now };
    report(index, now + 10ms);
  }
  const auto mayDisruptFirst = [&](TimePoint aAt) {
    return MayDisrupt(stored, taskOf(0), state.workers_, aAt);
  };
  EXPECT_FALSE(mayDisruptFirst(now + 200ms));
  report(1, now + 900ms);
  EXPECT_FALSE(mayDisruptFirst(now + 910ms));
  report(1, now + 1400ms);
  EXPECT_TRUE(mayDisruptFirst(now + 1410ms));
}

} // namespace
} // namespace verbenawell::jobs
