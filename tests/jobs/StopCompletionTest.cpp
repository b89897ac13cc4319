#include "verbenawell/jobs/workers/WorkersReducer.h"

#include "ExpectNoViolations.h"

#include <algorithm>
#include <variant>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

const std::string kJob = "0000000000000001";

/// Applies events to an owner's worker that has one run.
class StoppedRun
{
public:
  explicit StoppedRun(WorkerIncarnation aIncarnation)
  {
    state_.workers_.isActive_ = true;
    worker_.entry_.worker_ = id_;
    worker_.incarnation_ = aIncarnation;
    worker_.runs_[task_].run_ = run_;
    worker_.runs_[task_].isStored_ = true;
  }

  /// Returns the stop commands that are sent, and advances the time.
  std::vector<StopTask> Apply(const Event& aEvent)
  {
    now_ += 1ms;
    Effects effects;
    ReduceWorkers(
      state_.workers_, state_.View(), aEvent, { now_, {}, {} }, effects);
    std::vector<StopTask> stops;
    for (const Effect& effect : effects) {
      if (const auto* stop = std::get_if<StopTask>(&effect)) {
        stops.push_back(*stop);
      }
    }
    return stops;
  }

  std::vector<StopTask> Stop()
  {
    return Apply(StopDecided{ id_, task_, run_, {} });
  }

  std::vector<StopTask> Retry()
  {
    return Apply(TimerDue{ CommandRetry{ id_ } });
  }

  void Complete(const StopTask& aStop, bool aHasResponse)
  {
    Apply(StopCommandCompleted{
      id_, task_, run_, aStop.incarnation_, aHasResponse });
  }

  void List(WorkerIncarnation aIncarnation)
  {
    WorkerEntry entry = worker_.entry_;
    entry.incarnation_ = aIncarnation;
    Apply(WorkersRead{ { entry } });
  }

  /// The worker sends a report without the run.
  void ReportMissing(WorkerIncarnation aIncarnation)
  {
    WorkerReported report;
    report.worker_ = id_;
    report.incarnation_ = aIncarnation;
    now_ += 1ms;
    report.sentAt_ = now_;
    Apply(report);
  }

  [[nodiscard]] bool IsLost() const { return worker_.runs_.empty(); }

private:
  const WorkerId id_{ "i-1" };
  const TaskId task_{ JobId{ kJob }, {}, {}, {} };
  const RunNumber run_{ 1 };
  State state_;
  Worker& worker_ = state_.workers_.workers_[id_];
  TimePoint now_;
};

// Guards against a task that runs twice. The response of an earlier incarnation
// to a stop settled the stop to the new one, so the run counted as lost while a
// delayed start command could still reach the new incarnation.
TEST(StopCompletions, OfAnEarlierIncarnationDoNotCount)
{
  StoppedRun run{ WorkerIncarnation{ 1 } };
  const auto first = run.Stop();
  ASSERT_EQ(first.size(), 1U);
  run.List(WorkerIncarnation{ 2 });
  const auto second = run.Retry();
  ASSERT_EQ(second.size(), 1U);
  run.Complete(first.front(), true);
  run.ReportMissing(WorkerIncarnation{ 2 });
  EXPECT_FALSE(run.IsLost());
  run.Complete(second.front(), true);
  run.ReportMissing(WorkerIncarnation{ 2 });
  EXPECT_TRUE(run.IsLost());
}

// Guards against a stop that is never repeated because it was sent before the
// worker's incarnation was known.
TEST(StopCompletions, OfAStopBeforeTheFirstReportCount)
{
  StoppedRun run{ WorkerIncarnation{} };
  const auto first = run.Stop();
  ASSERT_EQ(first.size(), 1U);
  run.ReportMissing(WorkerIncarnation{ 1 });
  run.Complete(first.front(), false);
  EXPECT_EQ(run.Retry().size(), 1U);
}

} // namespace
} // namespace verbenawell::jobs
