#include "verbenawell/jobs/journal/JournalReducer.h"
#include "verbenawell/jobs/journal/JournalState.h"

#include "SimulatedDeployment.h"

#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

class JournalAppends : public testing::Test
{
protected:
  JournalAppends() { state_.journal_.phase_ = JournalReady{}; }

  /// Returns the records of the append that the event causes.
  std::vector<JournalRecord> Apply(const Event& aEvent)
  {
    Effects effects;
    ReduceJournal(state_.journal_,
                  state_.View(),
                  aEvent,
                  { TimePoint{} + 1s, {}, {} },
                  effects);
    for (const Effect& effect : effects) {
      if (const auto* append = std::get_if<AppendJournal>(&effect)) {
        return append->records_;
      }
    }
    return {};
  }

  void Write(JournalRecord aRecord)
  {
    Apply(JournalWriteRequested{ { std::move(aRecord) }, StartsPersisted{} });
  }

  static ProgressStored Progress(const char* aJob, std::uint32_t aRun)
  {
    ProgressStored progress{ JobId{ aJob }, {} };
    progress.tasks_.emplace_back().lastRun_ = RunNumber{ aRun };
    return progress;
  }

  State state_;
};

// Guards against a busy owner that encodes and stores the progress of a job
// once for each task that started or ended since the append before.
TEST_F(JournalAppends, ContainOnlyTheLastProgressOfAJob)
{
  Write(Progress("first", 1));
  Write(Progress("a", 1));
  Write(Progress("b", 1));
  Write(Progress("a", 2));
  Write(OutcomeStored{ JobId{ "c" }, {}, JobOutcome::Completed, {} });
  Write(Progress("a", 3));
  const auto records = Apply(JournalAppended{ state_.journal_.sequence_ });
  ASSERT_EQ(records.size(), 3U);
  EXPECT_EQ(std::get<ProgressStored>(records[0]).job_, JobId{ "b" });
  EXPECT_EQ(std::get<OutcomeStored>(records[1]).job_, JobId{ "c" });
  const auto& last = std::get<ProgressStored>(records[2]);
  EXPECT_EQ(last.job_, JobId{ "a" });
  EXPECT_EQ(last.tasks_.at(0).lastRun_, RunNumber{ 3 });
}

// Guards against a repeated append with other records than the first, which the
// store would take for the same.
TEST_F(JournalAppends, RepeatTheSameRecords)
{
  Write(Progress("first", 1));
  Write(Progress("a", 1));
  Write(Progress("a", 2));
  const auto records = Apply(JournalAppended{ state_.journal_.sequence_ });
  Write(Progress("a", 3));
  Apply(JournalAppendFailed{ state_.journal_.sequence_ });
  const auto repeated = Apply(TimerDue{ JournalRetry{} });
  ASSERT_EQ(records.size(), 1U);
  ASSERT_EQ(repeated.size(), 1U);
  EXPECT_EQ(std::get<ProgressStored>(records[0]).tasks_.at(0).lastRun_,
            std::get<ProgressStored>(repeated[0]).tasks_.at(0).lastRun_);
}

// Guards against a journal that stops for all jobs, because it repeats an
// append that the store never accepts.
TEST_F(JournalAppends, LeaveOutAWriteThatTheStoreRejects)
{
  Write(Progress("first", 1));
  Write(Progress("a", 1));
  Write(Progress("b", 1));
  EXPECT_EQ(Apply(JournalAppended{ state_.journal_.sequence_ }).size(), 2U);
  auto records = Apply(JournalAppendRejected{ state_.journal_.sequence_ });
  ASSERT_EQ(records.size(), 1U);
  EXPECT_EQ(std::get<ProgressStored>(records[0]).job_, JobId{ "a" });
  records = Apply(JournalAppendRejected{ state_.journal_.sequence_ });
  ASSERT_EQ(records.size(), 1U);
  EXPECT_EQ(std::get<ProgressStored>(records[0]).job_, JobId{ "b" });
}

// Guards against an append over the store's limit for one call, of 2,097,152
// bytes.
TEST_F(JournalAppends, AreSplitByTheirSize)
{
  JournalWriteRequested write{ {}, StartsPersisted{} };
  for (int job = 0; job < 30; ++job) {
    ProgressStored progress = Progress(std::to_string(job).c_str(), 1);
    progress.tasks_.back().checkpoint_ = std::string(100'000, 'x');
    write.records_.emplace_back(std::move(progress));
  }
  std::size_t records = 0;
  for (auto append = Apply(write); !append.empty();
       append = Apply(JournalAppended{ state_.journal_.sequence_ })) {
    EXPECT_LE(append.size(), 20U);
    records += append.size();
  }
  EXPECT_EQ(records, 30U);
}

} // namespace
} // namespace verbenawell::jobs
