#include "verbenawell/jobs/core/Reduce.h"
#include "verbenawell/jobs/core/State.h"
#include "verbenawell/jobs/tasks/JobRecords.h"
#include "verbenawell/jobs/tasks/TasksReducer.h"

#include "SimulatedDeployment.h"

#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

constexpr std::uint32_t kMembers = 3;

/// The jobs of an owner with one gang, each member of which runs on a worker of
/// its own.
class GangCheckpoint : public testing::Test
{
protected:
  GangCheckpoint()
  {
    Job job;
    job.id_ = job_;
    job.service_ = kService;
    job.definition_ = MakeJob(kMembers, 1, 10s);
    job.definition_.steps_[0].gang_ = true;
    job.stored_ = true;
    AddOccurrence(job);
    state_.tasks_.jobs_.emplace(job.id_, job);
    StartAll(RunNumber{ 1 });
  }

  [[nodiscard]] TaskId Member(std::uint32_t aIndex) const
  {
    return { job_, {}, {}, TaskIndex{ aIndex } };
  }

  static WorkerId WorkerOf(std::uint32_t aIndex)
  {
    return WorkerId{ "w" + std::to_string(aIndex) };
  }

  Effects Apply(const Event& aEvent)
  {
    now_ += 10ms;
    Effects effects;
    ReduceTasks(
      state_.tasks_, state_.View(), aEvent, { now_, {}, {} }, effects);
    return effects;
  }

  Effects StartAll(RunNumber aRun)
  {
    StartsDecided decided;
    for (std::uint32_t index = 0; index < kMembers; ++index) {
      decided.starts_.push_back(
        { Member(index), aRun, WorkerOf(index), {}, false, {} });
    }
    return Apply(decided);
  }

  void Report(std::uint32_t aIndex, const std::string& aCheckpoint)
  {
    Apply(RunsReported{
      WorkerOf(aIndex),
      { { Member(aIndex), RunNumber{ 1 }, aCheckpoint, Percent{ 10 }, 0 } } });
  }

  void LoseAll()
  {
    for (std::uint32_t index = 0; index < kMembers; ++index) {
      Apply(RunLost{ WorkerOf(index),
                     Member(index),
                     RunNumber{ 1 },
                     LossCause::WorkerCrashed });
    }
  }

  static std::set<std::string> Checkpoints(const Job& aJob)
  {
    std::set<std::string> checkpoints;
    for (const Task& task : aJob.occurrences_.at({}).steps_[0].tasks_) {
      checkpoints.insert(task.checkpoint_);
    }
    return checkpoints;
  }

  const JobId job_{ "0000000000000001" };
  TimePoint now_ = TimePoint{} + 100s;
  State state_;
};

// Guards against members that carry different checkpoints, of which each then
// waits for the others: the job never ended after a crash of one worker.
TEST_F(GangCheckpoint, IsTheSameForAllMembersOfARun)
{
  Report(0, "first");
  Report(2, "last");
  Report(1, "");
  LoseAll();
  StartAll(RunNumber{ 2 });
  EXPECT_EQ(Checkpoints(state_.tasks_.jobs_.at(job_)),
            std::set<std::string>{ "last" });
}

// Guards against a successor that starts the members from the checkpoints that
// each of them had before.
TEST_F(GangCheckpoint, IsStoredWithTheStart)
{
  Report(1, "first");
  Report(0, "last");
  LoseAll();
  std::vector<JournalRecord> records{ StoredJob(state_.tasks_.jobs_.at(job_),
                                                Context{}) };
  for (const Effect& effect : StartAll(RunNumber{ 2 })) {
    if (const auto* raised = std::get_if<Raise>(&effect)) {
      if (const auto* write =
            std::get_if<JournalWriteRequested>(&raised->event_)) {
        records.insert(
          records.end(), write->records_.begin(), write->records_.end());
      }
    }
  }
  TasksState restored;
  Restore(restored, records, Context{});
  EXPECT_EQ(Checkpoints(restored.jobs_.at(job_)),
            std::set<std::string>{ "last" });
}

} // namespace
} // namespace verbenawell::jobs
