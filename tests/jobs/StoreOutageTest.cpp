#include "verbenawell/jobs/core/Reduce.h"
#include "verbenawell/jobs/core/State.h"

#include "ExpectNoViolations.h"

#include <algorithm>
#include <variant>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

const std::string kJob = "0000000000000001";
constexpr int kWorkers = 6;

/// Makes a job of which one task fits on a worker at a time.
JobDefinition
MakeJobOfLargeTasks(std::uint32_t aTasks, Duration aRunTime)
{
  JobDefinition job = MakeJob(aTasks, 1, aRunTime);
  job.steps_[0].resources_.cpu_ = MilliCores{ 8000 };
  return job;
}

class StoreOutageTimes : public testing::TestWithParam<Duration>
{};

// Guards against tasks that never start again: their runs had lapsed while the
// store was down, they were assigned to workers that were lost before the store
// was back, and a response after the end of the lease counted for them too.
TEST_P(StoreOutageTimes, DoNotStrandTasksOnAWorkerThatIsLostMeanwhile)
{
  for (std::size_t lost = 0; lost < kWorkers; ++lost) {
    SCOPED_TRACE(lost);
    SimulatedDeployment deployment{ 211, { .workers_ = kWorkers } };
    deployment.RunFor(kStartUpTime);
    deployment.Submit(kJob, MakeJobOfLargeTasks(5, 25s));
    deployment.RunFor(3s);
    deployment.store_.faults_.isDown_ = true;
    deployment.RunFor(GetParam() - 2s);
    deployment.KillWorker(lost);
    deployment.RunFor(2s);
    deployment.store_.faults_.isDown_ = false;
    deployment.RunFor(60s);
    EXPECT_EQ(deployment.StateOfJob(kJob), JobState::Completed);
    ExpectNoViolations(deployment);
  }
}

INSTANTIATE_TEST_SUITE_P(Seconds,
                         StoreOutageTimes,
                         testing::Values(3s, 9s, 13s, 25s));

/// An owner with one task that is assigned to a worker. The start command waits
/// for the journal.
class UnsentStart : public testing::Test
{
protected:
  UnsentStart()
  {
    Owning owning;
    owning.renewalSentAt_ = now_;
    state_.ownership_.role_ = owning;
    state_.journal_.phase_ = JournalReady{};
    Job job;
    job.id_ = task_.job_;
    job.service_ = kService;
    job.definition_ = MakeJob(1, 1, 1s);
    job.stored_ = true;
    AddOccurrence(job);
    state_.tasks_.jobs_.emplace(job.id_, job);
    state_.workers_.isActive_ = true;
    state_.workers_.lateness_.Start(now_);
    Worker& worker = WorkerOfTask();
    worker.entry_ = Entry(false);
    worker.isListed_ = true;
    worker.isStored_ = true;
    worker.hasResponded_ = true;
    worker.listedAt_ = now_;
    worker.lastResponseAt_ = now_;
    worker.lease_.reading_ = ClockReading{ WorkerTime{ 0 }, now_ };
    Apply(StartsDecided{ { Start() } });
  }

  [[nodiscard]] StartDecision Start() const
  {
    return { task_, RunNumber{ 1 }, worker_, {}, false, {} };
  }

  [[nodiscard]] WorkerEntry Entry(bool aIsDraining) const
  {
    WorkerEntry entry;
    entry.worker_ = worker_;
    entry.service_ = kService;
    entry.draining_ = aIsDraining;
    return entry;
  }

  Worker& WorkerOfTask() { return state_.workers_.workers_[worker_]; }

  Effects Apply(const Event& aEvent)
  {
    return Reduce(state_, aEvent, { now_, {}, {} });
  }

  /// Checks the leases after this time. Returns whether the task waits again.
  bool IsTakenBackAfter(Duration aTime)
  {
    now_ += aTime;
    Apply(TimerDue{ LeaseTick{} });
    return std::holds_alternative<Waiting>(
      state_.tasks_.jobs_.at(task_.job_).Find(task_)->status_);
  }

  /// Stores the start. Returns whether its command is sent.
  bool IsSentWhenStored()
  {
    return std::ranges::any_of(
      Apply(StartsPersisted{ { Start() } }), [](const Effect& aEffect) {
        return std::holds_alternative<StartTask>(aEffect);
      });
  }

  const WorkerId worker_{ "w" };
  const TaskId task_{ JobId{ kJob }, {}, {}, {} };
  TimePoint now_ = TimePoint{} + 100s;
  State state_;
};

// Guards against a task that is taken from a worker that can run it.
TEST_F(UnsentStart, IsSentToAWorkerThatStillTakesIt)
{
  EXPECT_FALSE(IsTakenBackAfter(200ms));
  EXPECT_TRUE(IsSentWhenStored());
  WorkerOfTask().isUnresponsive_ = true;
  EXPECT_FALSE(IsTakenBackAfter(200ms));
}

// Guards against a task that waits for a lease which its run never had.
TEST_F(UnsentStart, IsTakenBackFromAWorkerThatDoesNotRespond)
{
  Apply(LeaseRenewalFailed{ worker_ });
  EXPECT_FALSE(IsSentWhenStored());
  EXPECT_TRUE(IsTakenBackAfter(200ms));
}

// Guards against a task that is neither sent nor taken back, since its worker
// was silent only while the start was stored.
TEST_F(UnsentStart, IsSentToAWorkerThatRespondsAgain)
{
  Apply(LeaseRenewalFailed{ worker_ });
  const Effects effects = Apply(StartsPersisted{ { Start() } });
  EXPECT_TRUE(std::ranges::any_of(effects, [&](const Effect& aEffect) {
    const auto* timer = std::get_if<SetTimer>(&aEffect);
    return timer != nullptr &&
           timer->key_ == TimerKey{ CommandRetry{ worker_ } };
  }));
  WorkerOfTask().isUnresponsive_ = false;
  EXPECT_FALSE(IsTakenBackAfter(200ms));
  const Effects retried = Apply(TimerDue{ CommandRetry{ worker_ } });
  EXPECT_TRUE(std::ranges::any_of(retried, [](const Effect& aEffect) {
    return std::holds_alternative<StartTask>(aEffect);
  }));
}

// Guards against a start on a worker that has begun to drain since the task was
// assigned.
TEST_F(UnsentStart, IsTakenBackFromAWorkerThatDrains)
{
  Apply(WorkersRead{ { Entry(true) } });
  EXPECT_FALSE(IsSentWhenStored());
  EXPECT_TRUE(IsTakenBackAfter(200ms));
}

// Guards against a start on a worker that has left since the task was assigned.
TEST_F(UnsentStart, IsTakenBackFromAWorkerThatIsNotListed)
{
  Apply(WorkersRead{});
  EXPECT_FALSE(IsSentWhenStored());
  EXPECT_TRUE(IsTakenBackAfter(200ms));
  now_ += 3s;
  Apply(WorkersRead{});
  EXPECT_EQ(state_.workers_.Find(worker_), nullptr);
}

} // namespace
} // namespace verbenawell::jobs
