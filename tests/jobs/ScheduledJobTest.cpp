#include "verbenawell/codec/jobs/JournalCodec.h"
#include "verbenawell/jobs/core/State.h"
#include "verbenawell/jobs/tasks/JobRecords.h"
#include "verbenawell/jobs/tasks/TasksReducer.h"

#include "ExpectNoViolations.h"

#include <algorithm>
#include <limits>
#include <set>
#include <stdexcept>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

const std::string kScheduledJob = "0000000000000001";
const std::string kOtherScheduledJob = "0000000000000002";
const std::string kOrdinaryJob = "0000000000000003";
// The tasks that a scheduled job may have at a time, and those that one event
// may add.
constexpr std::size_t kMaxTasksHeld = 2000;
constexpr std::uint32_t kMaxTasksAdded = 500;

/// Makes a job of small tasks whose occurrences are all due when the time of
/// day of the deployment begins.
JobDefinition
MakeDueJob(std::uint32_t aRepetitions, std::uint32_t aTasks = 1)
{
  JobDefinition job = MakeJob(aTasks, 1, 100ms);
  job.steps_[0].resources_ = { MilliCores{ 10 }, Megabytes{ 1 }, {} };
  job.schedule_ =
    Schedule{ TaskCount{ aRepetitions }, WallAt(TimePoint{}), 1ms };
  return job;
}

const Job*
FindAtOwner(const SimulatedDeployment& aDeployment, const std::string& aJob)
{
  const std::string owner = aDeployment.Owner();
  return owner.empty() ? nullptr
                       : aDeployment.StateOf(owner).tasks_.Find(JobId{ aJob });
}

// Guards against an event that creates all occurrences that are due: the owner
// and each successor were busy for minutes, and no caller got a response.
TEST(ScheduledJob, CreatesManyDueOccurrencesInParts)
{
  SimulatedDeployment deployment{ 201, {} };
  deployment.RunFor(kStartUpTime);
  deployment.Submit(kOrdinaryJob, MakeJob(2, 2, 1s));
  deployment.Submit(kScheduledJob, MakeDueJob(6000));
  deployment.Submit(kOtherScheduledJob, MakeDueJob(6000));
  Occurrence created;
  Occurrence createdOfOther;
  for (int step = 0; step < 5000; ++step) {
    deployment.RunFor(10ms);
    const Job* job = FindAtOwner(deployment, kScheduledJob);
    const Job* other = FindAtOwner(deployment, kOtherScheduledJob);
    if (job == nullptr || other == nullptr) {
      continue;
    }
    const std::uint32_t added =
      (job->nextOccurrence_ - created).Value() +
      (other->nextOccurrence_ - createdOfOther).Value();
    EXPECT_LE(added, kMaxTasksAdded);
    EXPECT_LE(job->occurrences_.size(), kMaxTasksHeld);
    EXPECT_LE(other->occurrences_.size(), kMaxTasksHeld);
    created = job->nextOccurrence_;
    createdOfOther = other->nextOccurrence_;
  }
  EXPECT_EQ(deployment.StateOfJob(kOrdinaryJob), JobState::Completed);
  EXPECT_EQ(deployment.StateOfJob(kScheduledJob), JobState::Completed);
  EXPECT_EQ(deployment.StateOfJob(kOtherScheduledJob), JobState::Completed);
  EXPECT_EQ(deployment.oracle_.Starts(), 12'004U);
  ExpectNoViolations(deployment);
}

// Guards against occurrences that a successor runs again or leaves out, since
// the tasks of those that are done are removed.
TEST(ScheduledJob, RunsEachOccurrenceOnceAcrossOwners)
{
  SimulatedDeployment deployment{ 202, {} };
  deployment.RunFor(kStartUpTime);
  deployment.Submit(kScheduledJob, MakeDueJob(20'000));
  for (int owner = 0; owner < 3; ++owner) {
    deployment.RunFor(500ms);
    EXPECT_GT(deployment.oracle_.Starts(), 0U);
    EXPECT_LT(deployment.oracle_.Starts(), 20'000U);
    const std::string killed = deployment.NewestOwner();
    deployment.Kill(killed);
    deployment.RunFor(5s);
    deployment.Start(killed);
  }
  deployment.RunFor(60s);
  EXPECT_EQ(deployment.StateOfJob(kScheduledJob), JobState::Completed);
  ExpectNoViolations(deployment);
}

// Guards against a cancel that is not answered, or runs that go on, while
// occurrences are still to be created.
TEST(ScheduledJob, StopsWhenItIsCancelledBetweenParts)
{
  SimulatedDeployment deployment{ 203, {} };
  deployment.RunFor(kStartUpTime);
  deployment.Submit(kScheduledJob, MakeDueJob(50'000));
  deployment.RunFor(1500ms);
  deployment.Cancel(kScheduledJob);
  deployment.RunFor(5s);
  EXPECT_EQ(deployment.StateOfJob(kScheduledJob), JobState::Cancelled);
  const std::size_t starts = deployment.oracle_.Starts();
  deployment.RunFor(5s);
  EXPECT_EQ(deployment.oracle_.Starts(), starts);
  ExpectNoViolations(deployment);
}

// Guards against occurrences that come due while all daemons are down and stop
// the next owner.
TEST(ScheduledJob, CatchesUpAfterAllDaemonsWereDown)
{
  SimulatedDeployment deployment{ 204, {} };
  deployment.RunFor(kStartUpTime);
  JobDefinition definition = MakeDueJob(3600);
  definition.schedule_->first_ = WallAt(deployment.time_.Now());
  definition.schedule_->interval_ = 100ms;
  deployment.Submit(kScheduledJob, definition);
  deployment.RunFor(2s);
  const std::vector<std::string> daemons = deployment.Running();
  for (const std::string& daemon : daemons) {
    deployment.Kill(daemon);
  }
  deployment.RunFor(300s);
  for (const std::string& daemon : daemons) {
    deployment.Start(daemon);
  }
  deployment.RunFor(90s);
  EXPECT_EQ(deployment.StateOfJob(kScheduledJob), JobState::Completed);
  ExpectNoViolations(deployment);
}

// Guards against jobs that are rejected for the backlog of a scheduled job,
// though they would start before it.
TEST(ScheduledJob, DoesNotMakeOthersBeRejected)
{
  SimulatedDeployment deployment{ 205, {} };
  deployment.RunFor(kStartUpTime);
  JobDefinition definition = MakeDueJob(2000);
  definition.steps_[0].resources_.cpu_ = MilliCores{ 8000 };
  definition.steps_[0].estimatedRunTime_ = 1s;
  deployment.Submit(kScheduledJob, definition);
  deployment.RunFor(3s);
  deployment.Submit(kOrdinaryJob, MakeJob(2, 1, 500ms));
  deployment.RunFor(5s);
  EXPECT_EQ(deployment.StateOfJob(kOrdinaryJob), JobState::Completed);
  ExpectNoViolations(deployment);
}

// Guards against progress records of a job that grow for as long as it repeats.
TEST(ScheduledJob, DeletesTheRecordsOfDoneOccurrences)
{
  Job job;
  job.id_ = JobId{ kScheduledJob };
  job.definition_ = MakeDueJob(100'000, 3);
  std::set<std::string> keys;
  std::vector<JournalRecord> records{ StoredJob(job, Context{}) };
  const auto store = [&](const JournalRecord& aRecord) {
    for (const auto& [key, value] : EncodeJournalRecord(aRecord)) {
      value.empty() ? keys.erase(key) : keys.insert(key).second;
    }
  };
  for (std::uint32_t occurrence = 0; occurrence < 1000; ++occurrence) {
    AddOccurrence(job);
    std::set<ProgressPart> parts;
    for (std::uint32_t index = 0; index < 3; ++index) {
      const TaskId id{
        job.id_, Occurrence{ occurrence }, {}, TaskIndex{ index }
      };
      job.Find(id)->lastRun_ = RunNumber{ 1 };
      SetStatus(job, id, Done{});
      parts.insert(PartOf(job, id));
    }
    records.resize(1);
    if (occurrence < 999) {
      const auto done = RemoveDone(job);
      ASSERT_TRUE(done);
      records.emplace_back(*done);
    }
    AppendProgress(job, parts, records);
    std::ranges::for_each(records, store);
    EXPECT_LE(keys.size(), 4U);
  }
  TasksState tasks;
  Restore(tasks, records, Context{});
  const Job& restored = tasks.jobs_.at(job.id_);
  EXPECT_EQ(restored.nextOccurrence_, Occurrence{ 1000 });
  store(StoredOutcome(job, Context{}));
  EXPECT_EQ(keys, std::set<std::string>{ "p/" + kScheduledJob });
}

// Guards against a job of an earlier version that is never continued: more of
// its occurrences are done than a job may have at a time.
TEST(ScheduledJob, ContinuesAfterManyDoneOccurrencesOfAnEarlierVersion)
{
  constexpr std::uint32_t kDone = 3000;
  Job job;
  job.id_ = JobId{ kScheduledJob };
  job.definition_ = MakeDueJob(5000);
  std::vector<JournalRecord> records{ StoredJob(job, Context{}) };
  for (std::uint32_t occurrence = 0; occurrence < kDone; ++occurrence) {
    TaskProgress task;
    task.occurrence_ = Occurrence{ occurrence };
    task.lastRun_ = RunNumber{ 1 };
    task.done_ = true;
    records.emplace_back(
      ProgressStored{ job.id_, { task }, ProgressPart{ occurrence } });
  }
  State state;
  state.ownership_.role_ = Owning{};
  Restore(state.tasks_, records, Context{});
  Effects effects;
  ReduceTasks(state.tasks_,
              state.View(),
              TimerDue{ JobsTick{} },
              { TimePoint{}, WallAt(TimePoint{ 1h }), {} },
              effects);
  const Job& restored = state.tasks_.jobs_.at(job.id_);
  EXPECT_EQ(restored.doneOccurrences_, Occurrence{ kDone });
  EXPECT_EQ(restored.nextOccurrence_, Occurrence{ kDone + kMaxTasksAdded });
  EXPECT_TRUE(std::ranges::any_of(effects, [](const Effect& aEffect) {
    const auto* raised = std::get_if<Raise>(&aEffect);
    const auto* write = raised == nullptr
                          ? nullptr
                          : std::get_if<JournalWriteRequested>(&raised->event_);
    return write != nullptr &&
           std::holds_alternative<OccurrencesDone>(write->records_.at(0));
  }));
}

// Guards against a record that makes each owner create billions of tasks.
TEST(ScheduledJob, IgnoresProgressOfAnOccurrenceThatCannotExist)
{
  Job job;
  job.id_ = JobId{ kScheduledJob };
  job.definition_ = MakeDueJob(std::numeric_limits<std::uint32_t>::max());
  ProgressStored progress{ job.id_, {}, ProgressPart{ 0 } };
  progress.tasks_.emplace_back().occurrence_ = Occurrence{ 4'000'000'000U };
  TasksState tasks;
  Restore(tasks, { StoredJob(job, Context{}), progress }, Context{});
  EXPECT_EQ(tasks.jobs_.at(job.id_).nextOccurrence_, Occurrence{ 0 });
}

// Guards against a job that is accepted though no owner can hold the tasks that
// exist at a time.
TEST(ScheduledJob, IsRefusedIfItsLongRunningTasksOutgrowTheLimit)
{
  JobDefinition job = MakeDueJob(50'000, 3);
  EXPECT_NO_THROW(ValidateDefinition(job));
  job.steps_[0].longRunning_ = true;
  EXPECT_THROW(ValidateDefinition(job), std::invalid_argument);
  job.schedule_->repetitions_ = TaskCount{ 30'000 };
  EXPECT_NO_THROW(ValidateDefinition(job));
}

// Guards against due times that overflow: such an occurrence would be due at
// once or never.
TEST(ScheduledJob, HasDueTimesUpToTheEndOfTheRange)
{
  Schedule schedule{ TaskCount{ 10 }, WallTime{ 5ms }, 1500us };
  EXPECT_EQ(DueTime(schedule, Occurrence{ 4 }), WallTime{ 11ms });
  schedule.interval_ = 24h * 3650;
  EXPECT_EQ(DueTime(schedule, Occurrence{ 4'000'000'000U }), WallTime::max());
  schedule.interval_ = 1ms;
  schedule.first_ = WallTime::max() - 3ms;
  EXPECT_EQ(DueTime(schedule, Occurrence{ 9 }), WallTime::max());
  schedule.first_ = WallTime::min();
  EXPECT_EQ(DueTime(schedule, Occurrence{ 9 }), WallTime::min() + 9ms);
}

} // namespace
} // namespace verbenawell::jobs
