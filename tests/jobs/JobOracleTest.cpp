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
             CommandTiming aTiming = CommandTiming::Prompt)
  {
    oracle_.Started(kWorker,
                    entry_,
                    Resources{},
                    aTask,
                    definition_.specification_,
                    aTiming,
                    aAt);
  }

  void ExpectViolation(const std::string& aRuleName) const
  {
    ASSERT_EQ(oracle_.Violations().size(), 1U);
    EXPECT_EQ(oracle_.Violations().front().substr(0, aRuleName.size()),
              aRuleName);
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
  EXPECT_TRUE(oracle_.Violations().empty());
}

// Guards against a check for concurrent runs that never fails.
TEST_F(JobOracleTest, ReportsAConcurrentRunOfATask)
{
  Start(Task(0, 0));
  Start(Task(0, 0));
  ExpectViolation("TWICE");
}

// Guards against a check for repeated work that never fails.
TEST_F(JobOracleTest, ReportsAStartAfterAnAcknowledgedEnd)
{
  Start(Task(0, 0));
  oracle_.Ended(Task(0, 0), EndKind::Done, {});
  oracle_.Acknowledged(Task(0, 0), EndKind::Done);
  Start(Task(0, 0));
  ExpectViolation("TWICE");
}

// Guards against a check of the order of steps that never fails.
TEST_F(JobOracleTest, ReportsAStepThatStartsBeforeItsPredecessor)
{
  Start(Task(1, 0));
  ASSERT_FALSE(oracle_.Violations().empty());
  EXPECT_EQ(oracle_.Violations().front().substr(0, 5), "ORDER");
}

// Guards against a check of the number of attempts that never fails.
TEST_F(JobOracleTest, ReportsAStartBeyondTheAllowedAttempts)
{
  for (int attempt = 0; attempt < 2; ++attempt) {
    Start(Task(0, 0));
    oracle_.Ended(Task(0, 0), EndKind::Failed, {});
    oracle_.Acknowledged(Task(0, 0), EndKind::Failed);
  }
  Start(Task(0, 0));
  ExpectViolation("BUDGET");
}

// Guards against a check for starts after a cancel that never fails.
TEST_F(JobOracleTest, ReportsAStartAfterACancel)
{
  oracle_.Cancelled(kJob, TimePoint{});
  Start(Task(0, 0), TimePoint{} + 4s);
  ExpectViolation("UNASKED");
}

// Guards against an oracle that reports a start command that a worker executes
// late as a fault of the daemon, and against one that lets the run continue.
TEST_F(JobOracleTest, RequiresThatADelayedStartOfACancelledJobIsStopped)
{
  oracle_.Cancelled(kJob, TimePoint{});
  Start(Task(0, 0), TimePoint{} + 4s, CommandTiming::Delayed);
  EXPECT_TRUE(oracle_.Violations().empty());
  oracle_.CheckCancelledJobsStopped(TimePoint{} + 8s);
  ExpectViolation("UNASKED");
}

// Guards against a check of a worker's capacity that never fails.
TEST_F(JobOracleTest, ReportsAWorkerOverItsCapacity)
{
  oracle_.Started(kWorker,
                  entry_,
                  { MilliCores{ 8001 }, Megabytes{ 1 }, {} },
                  Task(0, 0),
                  definition_.specification_,
                  CommandTiming::Prompt,
                  {});
  ExpectViolation("LIMIT");
}

// Guards against a check for starts of rejected jobs that never fails.
TEST_F(JobOracleTest, ReportsAStartOfARejectedJob)
{
  const JobId refused{ "0000000000000002" };
  oracle_.Submitted(refused, definition_);
  oracle_.Rejected(refused, RejectReason::Overload);
  Start({ refused, {}, {}, {} });
  ExpectViolation("REFUSED");
}

// Guards against a check of the states shown to callers that never fails.
TEST_F(JobOracleTest, ReportsACompletionBeforeTheLastEnd)
{
  oracle_.StateReported(kJob, JobState::Completed);
  ExpectViolation("MIXED");
}

// Guards against a check for runs of cancelled jobs that never fails, or that
// fails before the time to start and to stop is over.
TEST_F(JobOracleTest, ReportsAListedRunLongAfterTheCancelOnce)
{
  Start(Task(0, 0));
  oracle_.Cancelled(kJob, TimePoint{ 1s });
  oracle_.CheckListedRun(Task(0, 0), {}, TimePoint{ 5900ms });
  EXPECT_TRUE(oracle_.Violations().empty());
  oracle_.CheckListedRun(Task(0, 0), {}, TimePoint{ 5901ms });
  oracle_.CheckListedRun(Task(0, 0), {}, TimePoint{ 6s });
  ExpectViolation("UNASKED");
}

// Guards against a check that blames the job manager for a run whose worker it
// has not been in touch with.
TEST_F(JobOracleTest, AcceptsAListedRunUntilItsWorkerIsInTouch)
{
  Start(Task(0, 0));
  oracle_.Cancelled(kJob, TimePoint{ 1s });
  oracle_.CheckListedRun(Task(0, 0), TimePoint{ 5s }, TimePoint{ 8999ms });
  EXPECT_TRUE(oracle_.Violations().empty());
  oracle_.CheckListedRun(Task(0, 0), TimePoint{ 5s }, TimePoint{ 9s });
  ExpectViolation("UNASKED");
}

// Guards against a check that counts the time to stop a run from before a
// delayed command has started it.
TEST_F(JobOracleTest, CountsTheTimeOfADelayedRunFromItsStart)
{
  oracle_.Cancelled(kJob, TimePoint{ 1s });
  Start(Task(0, 0), TimePoint{ 6s }, CommandTiming::Delayed);
  oracle_.CheckListedRun(Task(0, 0), {}, TimePoint{ 10900ms });
  EXPECT_TRUE(oracle_.Violations().empty());
  oracle_.CheckListedRun(Task(0, 0), {}, TimePoint{ 10901ms });
  ExpectViolation("UNASKED");
}

} // namespace
} // namespace verbenawell::jobs
