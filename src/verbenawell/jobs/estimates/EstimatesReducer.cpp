#include "verbenawell/jobs/estimates/EstimatesReducer.h"

#include "verbenawell/jobs/estimates/EstimatesState.h"
#include "verbenawell/jobs/health/HealthState.h"
#include "verbenawell/jobs/ownership/OwnershipState.h"
#include "verbenawell/jobs/tasks/TasksState.h"
#include "verbenawell/jobs/workers/WorkersState.h"

#include <algorithm>
#include <chrono>
#include <string>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// A successor lacks what was learned since the last record.
constexpr Duration kRecordInterval = 5s;
constexpr Duration kReportInterval = 10s;
// Runs of a worker below this speed, relative to its peers, count as if they
// had run at the speed of the peers.
constexpr double kSlowSpeedRatio = 0.6;
// The speed of a worker is used only if other runs contributed most of it;
// otherwise a run that takes long would count as one on a slow worker.
constexpr double kMinSpeedEvidence = 3;
// Time that one run can contribute to the recent speed of its worker, which
// halves in weight every 2 s.
constexpr double kMaxSpeedShareSeconds = 3;

class Reducer
{
public:
  Reducer(EstimatesState& aState,
          const Views& aViews,
          const Context& aContext,
          Effects& aEffects)
    : state_(aState)
    , views_(aViews)
    , now_(aContext.now_)
    , effects_(aEffects)
  {
  }

  void On(const OwnershipTaken&) { Reset(); }
  void On(const OwnershipLost&) { Reset(); }

  void On(const JournalLoaded& aLoaded)
  {
    for (const JournalRecord& record : aLoaded.records_) {
      if (const auto* stored = std::get_if<RunTimesStored>(&record)) {
        for (const StoredRunGroup& group : stored->groups_) {
          state_.estimates_.Restore(group, now_);
        }
      }
    }
    state_.nextRecordAt_ = now_ + kRecordInterval;
    state_.nextReportAt_ = now_ + kReportInterval;
  }

  void On(const RunsEnded& aEnded)
  {
    for (const ListedEnd& end : aEnded.ended_) {
      const PlacedRun run = FindRun(end.task_, aEnded.worker_, end.run_);
      // A run whose stop was decided has been added with that decision.
      if (run.step_ == nullptr || run.task_->isStopping_) {
        continue;
      }
      const Duration elapsed =
        AtPeerSpeed(now_ - run.placed_->since_, aEnded.worker_);
      if (end.kind_ == EndKind::Done && !run.placed_->isContinued_) {
        AddWhole(run, elapsed);
      } else {
        AddPartial(run, elapsed);
      }
    }
  }

  void On(const StopDecided& aStop)
  {
    const PlacedRun run = FindRun(aStop.task_, aStop.worker_, aStop.run_);
    if (run.step_ != nullptr && !run.task_->isStopping_) {
      AddPartial(run, AtPeerSpeed(now_ - run.placed_->since_, aStop.worker_));
    }
  }

  void On(const WorkerCrashed& aCrashed)
  {
    for (const CrashedRun& crashed : aCrashed.runs_) {
      const PlacedRun run =
        FindRun(crashed.task_, aCrashed.worker_, crashed.run_);
      if (run.step_ != nullptr && !run.task_->isStopping_) {
        AddPartial(run, AtPeerSpeed(crashed.knownAge_, aCrashed.worker_));
      }
    }
  }

  // A lost run was seen until its worker's last response at most. The runs of
  // a crashed worker have been added with the crash.
  void On(const RunLost& aLost)
  {
    const PlacedRun run = FindRun(aLost.task_, aLost.worker_, aLost.run_);
    const Worker* worker = views_.workers_.Find(aLost.worker_);
    if (run.step_ == nullptr || run.task_->isStopping_ || worker == nullptr ||
        aLost.reason_ == LossReason{ LossCause::WorkerCrashed }) {
      return;
    }
    const TimePoint seenAt = std::min(now_, worker->lastResponseAt_);
    AddPartial(run, AtPeerSpeed(seenAt - run.placed_->since_, aLost.worker_));
  }

  void On(const TimerDue& aDue)
  {
    if (!std::holds_alternative<JobsTick>(aDue.key_) ||
        views_.ownership_.AsOwner() == nullptr) {
      return;
    }
    if (state_.isChanged_ && now_ >= state_.nextRecordAt_) {
      state_.isChanged_ = false;
      state_.nextRecordAt_ = now_ + kRecordInterval;
      // Nothing follows the write.
      effects_.push_back(Raise{ JournalWriteRequested{
        { RunTimesStored{ state_.estimates_.Newest(kMaxStoredRunGroups) } },
        StartsPersisted{} } });
    }
    if (state_.use_ != LearnedRunTimes::Off && now_ >= state_.nextReportAt_) {
      state_.nextReportAt_ = now_ + kReportInterval;
      Report();
    }
  }

  template<typename Other>
  void On(const Other&)
  {
  }

private:
  /// A run that its task expects; null if the run shows no run time.
  struct PlacedRun
  {
    const Job* job_ = nullptr;
    const Step* step_ = nullptr;
    const Task* task_ = nullptr;
    const Placed* placed_ = nullptr;
  };

  void Reset()
  {
    const LearnedRunTimes use = state_.use_;
    state_ = {};
    state_.use_ = use;
  }

  [[nodiscard]] PlacedRun FindRun(const TaskId& aTask,
                                  const WorkerId& aWorker,
                                  RunNumber aRun) const
  {
    const Job* job = state_.use_ == LearnedRunTimes::Off
                       ? nullptr
                       : views_.tasks_.Find(aTask.job_);
    const Task* task = job == nullptr ? nullptr : job->Find(aTask);
    const auto* placed =
      task == nullptr ? nullptr : std::get_if<Placed>(&task->status_);
    if (placed == nullptr || placed->worker_ != aWorker ||
        placed->run_ != aRun) {
      return {};
    }
    // A best-effort run takes as long as other tasks leave it no processor.
    const Step& step = job->definition_.steps_[aTask.step_.Value()];
    return step.longRunning_ || step.bestEffort_
             ? PlacedRun{}
             : PlacedRun{ job, &step, task, placed };
  }

  static RunKind KindOf(const PlacedRun& aRun)
  {
    return { aRun.job_->queue_,
             aRun.step_->image_,
             aRun.step_->estimatedRunTime_ };
  }

  /// Time that the run would have taken on a worker as fast as the peers.
  [[nodiscard]] Duration AtPeerSpeed(Duration aElapsed,
                                     const WorkerId& aWorker) const
  {
    const auto stats = views_.health_.workerStats_.find(aWorker);
    if (stats == views_.health_.workerStats_.end()) {
      return aElapsed;
    }
    const Speed& own = stats->second.RecentSpeed();
    Speed peers =
      views_.health_.serviceStats_.at(stats->second.service_).speed_;
    peers.expectedSeconds_ -= own.expectedSeconds_;
    peers.elapsedSeconds_ -= own.elapsedSeconds_;
    const double share = std::min(
      std::chrono::duration<double>(aElapsed).count(), kMaxSpeedShareSeconds);
    if (peers.Ratio() <= 0 || own.elapsedSeconds_ < kMinSpeedEvidence * share) {
      return aElapsed;
    }
    const double ratio = own.Ratio() / peers.Ratio();
    return ratio < kSlowSpeedRatio
             ? std::chrono::duration_cast<Duration>(aElapsed * ratio)
             : aElapsed;
  }

  void AddWhole(const PlacedRun& aRun, Duration aElapsed)
  {
    const RunKind kind = KindOf(aRun);
    state_.declaredErrors_.Add(kind.declared_, aElapsed);
    state_.learnedErrors_.Add(state_.estimates_.Expect(kind, now_).runTime_,
                              aElapsed);
    state_.estimates_.Add(kind, WholeRun{ aElapsed }, now_);
    state_.isChanged_ = true;
  }

  void AddPartial(const PlacedRun& aRun, Duration aElapsed)
  {
    state_.estimates_.Add(KindOf(aRun), PartialRun{ aElapsed }, now_);
    ++state_.partialRuns_;
    state_.isChanged_ = true;
  }

  void Report()
  {
    effects_.push_back(LogLine{
      LogLevel::Info,
      "run_times_learned",
      { { "runs", std::to_string(state_.learnedErrors_.Count()) },
        { "partial_runs", std::to_string(state_.partialRuns_) },
        { "groups", std::to_string(state_.estimates_.GroupCount()) },
        { "declared_p50",
          std::to_string(state_.declaredErrors_.Percentile(0.5)) },
        { "declared_p95",
          std::to_string(state_.declaredErrors_.Percentile(0.95)) },
        { "learned_p50",
          std::to_string(state_.learnedErrors_.Percentile(0.5)) },
        { "learned_p95",
          std::to_string(state_.learnedErrors_.Percentile(0.95)) } } });
  }

  EstimatesState& state_;
  const Views& views_;
  TimePoint now_;
  Effects& effects_;
};

} // namespace

void
ReduceEstimates(EstimatesState& aState,
                const Views& aViews,
                const Event& aEvent,
                const Context& aContext,
                Effects& aEffects)
{
  Reducer reducer{ aState, aViews, aContext, aEffects };
  std::visit([&](const auto& aKnown) { reducer.On(aKnown); }, aEvent);
}

} // namespace verbenawell::jobs
