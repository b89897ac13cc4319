#include "verbenawell/jobs/core/Reduce.h"
#include "verbenawell/jobs/core/State.h"

#include "SimulatedDeployment.h"

#include <algorithm>
#include <variant>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

/// An owner of one job with one task, which is present on a worker. A lease
/// renewal is in flight.
class LateReports : public testing::Test
{
protected:
  LateReports()
  {
    Owning owning;
    owning.renewalSentAt_ = now_;
    state_.ownership_.role_ = owning;
    state_.journal_.phase_ = JournalReady{};
    state_.maintenance_.isActive_ = true;
    Job job;
    job.id_ = task_.job_;
    job.service_ = kService;
    job.policy_.maxAttempts_ = TaskCount{ 1 };
    job.definition_ = MakeJob(1, 1, 1s);
    job.stored_ = true;
    AddOccurrence(job);
    SetStatus(job, task_, Placed{ worker_, RunNumber{ 1 }, now_ });
    state_.tasks_.jobs_.emplace(job.id_, job);
    state_.workers_.isActive_ = true;
    state_.workers_.lateness_.Start(now_);
    Worker& worker = state_.workers_.workers_[worker_];
    worker.entry_.worker_ = worker_;
    worker.entry_.service_ = kService;
    worker.isListed_ = true;
    worker.isStored_ = true;
    worker.hasResponded_ = true;
    worker.incarnation_ = kIncarnation;
    worker.highestIncarnation_ = kIncarnation;
    worker.lease_.reading_ = ClockReading{ WorkerTime{ 0 }, now_ };
    worker.lease_.expiresAt_ = now_ + 8s;
    worker.isRenewing_ = true;
    worker.renewalSentAt_ = now_;
    worker.lastResponseAt_ = now_;
    Assignment& run = worker.runs_[task_];
    run.run_ = RunNumber{ 1 };
    run.isStored_ = true;
    run.phase_ = Present{ now_ };
  }

  Effects ApplyAt(TimePoint aAt, const Event& aEvent)
  {
    now_ = aAt;
    return Reduce(state_, aEvent, { now_, {}, {} });
  }

  /// Handles lease ticks in time until then.
  void RunTicksUntil(TimePoint aEnd)
  {
    while (now_ < aEnd) {
      ApplyAt(now_ + LatenessMonitor::kInterval, TimerDue{ LeaseTick{} });
    }
  }

  /// The worker's response, which lists the end of the run.
  [[nodiscard]] WorkerReported Report() const
  {
    WorkerReported report;
    report.worker_ = worker_;
    report.incarnation_ = kIncarnation;
    report.sentAt_ = now_;
    report.ended_.push_back(
      { RunEndNumber{ 1 }, task_, RunNumber{ 1 }, EndKind::Done, {} });
    return report;
  }

  [[nodiscard]] bool IsPlaced() const
  {
    return std::holds_alternative<Placed>(
      state_.tasks_.jobs_.at(task_.job_).Find(task_)->status_);
  }

  [[nodiscard]] bool IsDone() const
  {
    return std::holds_alternative<Done>(
      state_.tasks_.jobs_.at(task_.job_).Find(task_)->status_);
  }

  static constexpr WorkerIncarnation kIncarnation{ 1 };
  const WorkerId worker_{ "w" };
  const VmId vm_{ "vm" };
  const TaskId task_{ JobId{ "0000000000000001" }, {}, {}, {} };
  TimePoint now_ = TimePoint{} + 100s;
  State state_;
};

// Guards against a task that starts again after it is done. The owner learned
// that the worker had ended before it read the worker's last report.
TEST_F(LateReports, CompleteATaskWhoseWorkerHasEnded)
{
  ApplyAt(now_ + 1s, WorkerEnded{ worker_ });
  EXPECT_TRUE(IsPlaced());
  ApplyAt(now_ + 5s, Report());
  EXPECT_TRUE(IsDone());
  EXPECT_EQ(state_.workers_.Find(worker_), nullptr);
}

// Guards against a task that waits for its lease although its worker has ended
// and sends no report any more.
TEST_F(LateReports, AreNotAwaitedForLongByAnOwnerThatIsInTime)
{
  RunTicksUntil(now_ + 1s);
  ApplyAt(now_ + 10ms, WorkerEnded{ worker_ });
  EXPECT_TRUE(IsPlaced());
  RunTicksUntil(now_ + 600ms);
  EXPECT_FALSE(IsPlaced());
  EXPECT_EQ(state_.workers_.Find(worker_), nullptr);
}

// Guards against the same task if the lease renewal fails first.
TEST_F(LateReports, AreNotAwaitedAfterTheirRenewalHasFailed)
{
  ApplyAt(now_ + 1s, WorkerEnded{ worker_ });
  ApplyAt(now_ + 10ms, LeaseRenewalFailed{ worker_ });
  EXPECT_FALSE(IsPlaced());
  EXPECT_EQ(state_.workers_.Find(worker_), nullptr);
}

// Guards against a task that starts again after it is done. The owner was late,
// and the lease counted as over before the owner read the worker's report.
TEST_F(LateReports, CompleteATaskWhoseLeaseHasExpiredUnread)
{
  ApplyAt(now_ + 9s, TimerDue{ LeaseTick{} });
  EXPECT_TRUE(IsPlaced());
  ApplyAt(now_ + 10ms, Report());
  EXPECT_TRUE(IsDone());
}

// Guards against the same task if the late owner gave up the lease renewal.
TEST_F(LateReports, AreAwaitedAfterARenewalThatALateOwnerGaveUp)
{
  ApplyAt(now_ + 3s, LeaseRenewalFailed{ worker_ });
  ApplyAt(now_ + 10ms, TimerDue{ LeaseTick{} });
  RunTicksUntil(now_ + 7s);
  ASSERT_GT(now_, state_.workers_.Find(worker_)->lease_.expiresAt_);
  EXPECT_TRUE(IsPlaced());
}

// Guards against a task that never runs again after the loss of its worker.
TEST_F(LateReports, AreNotAwaitedFromASilentWorkerWhoseLeaseIsOver)
{
  RunTicksUntil(now_ + 2s);
  ApplyAt(now_ + 10ms, LeaseRenewalFailed{ worker_ });
  RunTicksUntil(now_ + 7s);
  EXPECT_FALSE(IsPlaced());
}

// Guards against a maintenance command to a VM whose worker may have listed
// ends that the owner has not read.
TEST_F(LateReports, DelayTheMaintenanceOfAnOverdueVm)
{
  const auto commands = [&] {
    state_.maintenance_.readAt_ = now_;
    const Effects effects = ApplyAt(
      now_ + 10ms, VmsRead{ { { vm_, kService, VmState::Up, worker_ } } });
    return std::ranges::count_if(effects, [](const Effect& aEffect) {
      return std::holds_alternative<StartMaintenance>(aEffect);
    });
  };
  ApplyAt(now_,
          WaveRequested{ { WaveNumber{ 1 }, { vm_ }, 30s, VmCount{ 1 } } });
  now_ += 10ms;
  EXPECT_EQ(commands(), 0);
  now_ += 6s;
  auto& owning = std::get<Owning>(state_.ownership_.role_);
  owning.renewalSentAt_ = now_;
  EXPECT_EQ(commands(), 0);
  WorkerReported report = Report();
  report.running_.push_back({ task_, RunNumber{ 1 }, {}, {}, 0 });
  report.ended_.clear();
  ApplyAt(now_ + 10ms, report);
  EXPECT_EQ(commands(), 1);
}

} // namespace
} // namespace verbenawell::jobs
