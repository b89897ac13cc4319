#include "SimulatedDeployment.h"

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

const JobId kJob{ "0000000000000001" };
const WorkerId kWorker{ "w1" };

/// Has one accepted job of two steps with two tasks each.
class JobOracleTest : public testing::Test
{
protected:
  JobOracleTest()
  {
    definition_ = MakeJob(2, 2, 1s);
    entry_.worker_ = kWorker;
    entry_.capacity_ = { MilliCores{ 8000 }, Megabytes{ 8000 }, {} };
    oracle_.Submitted(kJob, definition_);
    oracle_.Accepted(kJob);
  }

  static TaskId Task(std::uint32_t aStep, std::uint32_t aIndex)
  {
    return { kJob, {}, StepIndex{ aStep }, TaskIndex{ aIndex } };
  }

  void Start(const TaskId& aTask,
             TimePoint aAt = {},
             OrderTiming aTiming = OrderTiming::Prompt)
  {
    oracle_.Started(
      kWorker, entry_, Room{}, aTask, definition_.specification_, aTiming, aAt);
  }

  void ExpectBroken(const std::string& aRule) const
  {
    ASSERT_EQ(oracle_.Broken().size(), 1U);
    EXPECT_EQ(oracle_.Broken().front().substr(0, aRule.size()), aRule);
  }

  JobDefinition definition_;
  WorkerEntry entry_;
  JobOracle oracle_;
};

// Guards against an oracle that reports valid starts as violations.
TEST_F(JobOracleTest, AcceptsStartsInOrder)
{
  Start(Task(0, 0));
  Start(Task(0, 1));
  oracle_.Ended(Task(0, 0), EndKind::Done, {});
  oracle_.Ended(Task(0, 1), EndKind::Done, {});
  Start(Task(1, 0));
  EXPECT_TRUE(oracle_.Broken().empty());
}

// Guards against a check for concurrent runs that never fails.
TEST_F(JobOracleTest, SeesASecondRunOfATask)
{
  Start(Task(0, 0));
  Start(Task(0, 0));
  ExpectBroken("TWICE");
}

// Guards against a check for repeated work that never fails.
TEST_F(JobOracleTest, SeesAStartAfterAnAcknowledgedEnd)
{
  Start(Task(0, 0));
  oracle_.Ended(Task(0, 0), EndKind::Done, {});
  oracle_.Acknowledged(Task(0, 0), EndKind::Done);
  Start(Task(0, 0));
  ExpectBroken("TWICE");
}

// Guards against a check of the order of steps that never fails.
TEST_F(JobOracleTest, SeesAStepBeforeItsPredecessor)
{
  Start(Task(1, 0));
  ASSERT_FALSE(oracle_.Broken().empty());
  EXPECT_EQ(oracle_.Broken().front().substr(0, 5), "ORDER");
}

// Guards against a check of the number of attempts that never fails.
TEST_F(JobOracleTest, SeesAStartBeyondTheAttempts)
{
  for (int attempt = 0; attempt < 2; ++attempt) {
    Start(Task(0, 0));
    oracle_.Ended(Task(0, 0), EndKind::Failed, {});
    oracle_.Acknowledged(Task(0, 0), EndKind::Failed);
  }
  Start(Task(0, 0));
  ExpectBroken("BUDGET");
}

// Guards against a check for starts after a cancel that never fails.
TEST_F(JobOracleTest, SeesAStartAfterACancel)
{
  oracle_.Cancelled(kJob, TimePoint{});
  Start(Task(0, 0), TimePoint{} + 4s);
  ExpectBroken("UNASKED");
}

// Guards against an oracle that reports a start command that a worker executes
// late as a fault of the daemon, and against one that lets the run continue.
TEST_F(JobOracleTest, WantsALateStartOfACancelledJobStopped)
{
  oracle_.Cancelled(kJob, TimePoint{});
  Start(Task(0, 0), TimePoint{} + 4s, OrderTiming::Late);
  EXPECT_TRUE(oracle_.Broken().empty());
  oracle_.CalmReached(TimePoint{} + 8s);
  ExpectBroken("UNASKED");
}

// Guards against a check of a worker's capacity that never fails.
TEST_F(JobOracleTest, SeesAWorkerOverItsCapacity)
{
  oracle_.Started(kWorker,
                  entry_,
                  { MilliCores{ 8001 }, Megabytes{ 1 }, {} },
                  Task(0, 0),
                  definition_.specification_,
                  OrderTiming::Prompt,
                  {});
  ExpectBroken("LIMIT");
}

// Guards against a check for starts of rejected jobs that never fails.
TEST_F(JobOracleTest, SeesAStartOfARefusedJob)
{
  const JobId refused{ "0000000000000002" };
  oracle_.Submitted(refused, definition_);
  oracle_.Rejected(refused, RejectReason::Overload);
  Start({ refused, {}, {}, {} });
  ExpectBroken("REFUSED");
}

// Guards against a check of the states shown to callers that never fails.
TEST_F(JobOracleTest, SeesACompletionBeforeTheLastEnd)
{
  oracle_.Shown(kJob, JobState::Completed);
  ExpectBroken("MIXED");
}

} // namespace
} // namespace verbenawell::jobs
