#include "verbenawell/jobs/tasks/JobRecords.h"

#include "ExpectNoViolations.h"

#include <set>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

const std::string kLargeJob = "0000000000000001";
const std::string kSmallJob = "0000000000000002";
constexpr std::uint32_t kManyTasks = 26'000;
constexpr std::size_t kRecordBytes = 262'144;

/// Makes a job of tasks so small that hundreds of them run on a worker.
JobDefinition
MakeJobOfSmallTasks(std::uint32_t aTasks)
{
  JobDefinition job = MakeJob(aTasks, 1, 300ms);
  job.steps_[0].resources_ = { MilliCores{ 10 }, Megabytes{ 1 }, {} };
  return job;
}

// Guards against a job whose progress outgrows a record of the store. The
// append was refused and repeated for ever, and no job made progress any more.
TEST(LargeJob, IsCompletedBesideSmallJobs)
{
  SimulatedDeployment deployment{ 93, {} };
  deployment.RunFor(kStartUpTime);
  deployment.Submit(kLargeJob, MakeJobOfSmallTasks(kManyTasks));
  deployment.RunFor(30s);
  deployment.Submit(kSmallJob, MakeJob(4, 1, 300ms));
  deployment.RunFor(5s);
  EXPECT_EQ(deployment.store_.tooLarge_, 0U);
  EXPECT_EQ(deployment.StateOfJob(kLargeJob), JobState::Completed);
  EXPECT_EQ(deployment.StateOfJob(kSmallJob), JobState::Completed);
  ExpectNoViolations(deployment);
}

// Guards against a successor that reads only a part of a job's progress, and
// runs tasks again whose ends are persisted.
TEST(LargeJob, KeepsItsProgressWhenTheOwnerIsKilled)
{
  SimulatedDeployment deployment{ 94, {} };
  deployment.RunFor(kStartUpTime);
  deployment.Submit(kLargeJob, MakeJobOfSmallTasks(kManyTasks));
  deployment.RunFor(2500ms);
  const std::size_t startsBefore = deployment.oracle_.Starts();
  EXPECT_GT(startsBefore, 1000U);
  EXPECT_LT(startsBefore, kManyTasks);
  deployment.Kill(deployment.Owner());
  deployment.RunFor(20s);
  EXPECT_EQ(deployment.StateOfJob(kLargeJob), JobState::Completed);
  ExpectNoViolations(deployment);
}

/// Returns a stored job whose tasks have all been placed once.
Job
MakePlacedJob(std::uint32_t aTasks)
{
  Job job;
  job.id_ = JobId{ kLargeJob };
  job.definition_ = MakeJobOfSmallTasks(aTasks);
  AddOccurrence(job);
  for (std::uint32_t index = 0; index < aTasks; ++index) {
    const TaskId id{ job.id_, {}, {}, TaskIndex{ index } };
    job.Find(id)->lastRun_ = RunNumber{ 1 };
    SetStatus(job, id, Placed{ WorkerId{ "w" }, RunNumber{ 1 }, {} });
  }
  return job;
}

// Guards against progress of a job that stays in the store after its outcome.
TEST(LargeJob, DeletesAllItsProgressWithItsOutcome)
{
  const Job job = MakePlacedJob(1000);
  std::set<ProgressPart> parts;
  for (std::uint32_t index = 0; index < 1000; ++index) {
    parts.insert(PartOf(job, { job.id_, {}, {}, TaskIndex{ index } }));
  }
  std::vector<JournalRecord> records;
  AppendProgress(job, parts, records);
  std::size_t tasks = 0;
  std::set<std::string> keys;
  for (const JournalRecord& record : records) {
    tasks += std::get<ProgressStored>(record).tasks_.size();
    keys.insert(EncodeJournalRecord(record).at(0).key_);
  }
  EXPECT_EQ(tasks, 1000U);
  EXPECT_GT(keys.size(), 1U);
  for (const auto& [key, value] :
       EncodeJournalRecord(StoredOutcome(job, Context{}))) {
    if (value.empty()) {
      keys.erase(key);
    }
  }
  EXPECT_EQ(keys, std::set<std::string>{});
}

// Guards against progress that is lost when an owner of this version reads the
// record of an earlier one, which held all tasks of a job.
TEST(LargeJob, ReadsTheProgressOfAnEarlierVersion)
{
  Job job = MakePlacedJob(1000);
  std::vector<JournalRecord> records{ StoredJob(job, Context{}) };
  ProgressStored earlier{ job.id_, {} };
  for (std::uint32_t index = 0; index < 1000; ++index) {
    TaskProgress& task = earlier.tasks_.emplace_back();
    task.index_ = TaskIndex{ index };
    task.lastRun_ = RunNumber{ 1 };
    task.worker_ = WorkerId{ "w" };
  }
  const TaskId ended{ job.id_, {}, {}, TaskIndex{ 700 } };
  SetStatus(job, ended, Done{});
  AppendProgress(job, { PartOf(job, ended) }, records);
  // After the variant's index follows the header of an array of three fields.
  // An earlier version lacks the last one, which takes one byte.
  std::string bytes = EncodeJournalRecord(earlier).at(0).value_;
  ASSERT_EQ(static_cast<unsigned char>(bytes.at(2)), 0x83U);
  bytes.at(2) = static_cast<char>(0x82U);
  bytes.pop_back();
  records.push_back(DecodeJournalRecord(bytes));
  TasksState tasks;
  Restore(tasks, records, Context{});
  const Job& restored = tasks.jobs_.at(job.id_);
  EXPECT_TRUE(std::holds_alternative<Done>(restored.Find(ended)->status_));
  std::size_t placed = 0;
  for (const Task& task : restored.occurrences_.at({}).steps_[0].tasks_) {
    placed += std::holds_alternative<Placed>(task.status_) ? 1 : 0;
  }
  EXPECT_EQ(placed, 999U);
}

// Guards against a list of workers that the store refuses at 3,500 workers. No
// task starts on a worker that is not persisted.
TEST(LargeDeployment, StoresItsWorkersInRecordsThatFit)
{
  WorkersStored stored;
  for (int index = 0; index < 3500; ++index) {
    stored.workers_.push_back(
      { WorkerId{ "i-0123456789abcdef" + std::to_string(10'000 + index) },
        ServiceId{ "a-service-with-a-long-name" },
        { "10.200.100.100", 65'000 } });
  }
  std::set<std::string> stale;
  std::size_t workers = 0;
  for (const auto& [key, value] : EncodeJournalRecord(stored)) {
    EXPECT_LT(key.size() + value.size(), kRecordBytes);
    if (!value.empty()) {
      stale.insert(key);
      workers +=
        std::get<WorkersStored>(DecodeJournalRecord(value)).workers_.size();
    }
  }
  EXPECT_EQ(workers, 3500U);
  stored.workers_.resize(10);
  for (const auto& [key, value] : EncodeJournalRecord(stored)) {
    stale.erase(key);
  }
  EXPECT_EQ(stale, std::set<std::string>{});
}

} // namespace
} // namespace verbenawell::jobs
