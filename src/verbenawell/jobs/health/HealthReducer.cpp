#include "verbenawell/jobs/health/HealthReducer.h"

#include "verbenawell/jobs/health/HealthState.h"
#include "verbenawell/jobs/tasks/TasksState.h"
#include "verbenawell/jobs/workers/WorkersState.h"

#include <algorithm>
#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// A speed observed over less run time than this is ignored.
constexpr double kMinObservedSeconds = 1.0;
// Speeds relative to the peers below which a worker is ejected, and above which
// it is readmitted. Declared run times of single tasks are off by a factor of
// two and more; the mean over a worker's tasks is not.
constexpr double kEjectSpeedRatio = 0.4;
constexpr double kReadmitSpeedRatio = 0.6;
// A worker is ejected if a larger share of its recent runs has failed. Three
// consecutive failures exceed this share.
constexpr double kEjectFailedShare = 0.6;
// A worker is not ejected for its failures if its peers fail more often than
// this: the cause is then the jobs of the service and not the worker.
constexpr double kMaxPeerFailedShare = 0.3;
// A run without an end that no list has shown for this long was lost.
constexpr Duration kUnseenRunRetention = 5s;
// Estimated time from the stop of a task to its start on another worker. It
// includes the first worker's response and the new placement.
constexpr double kRestartDelaySeconds = 1.0;
// A restart has to be faster by this factor, because the estimates are rough.
constexpr double kMinRestartGain = 1.5;
// A long-running task that runs this long after its placement has not failed as
// the earlier ones on its worker did.
constexpr Duration kMinProofTime = 2s;

/// Means over the other workers of a service.
struct PeerMeans
{
  Speed speed_;
  double failedShare_ = 0;
  bool isEmpty_ = true;
};

/// A step whose tasks have an expected run time.
struct TimedStep
{
  const Step& step_;
  Duration expected_{};
};

void
Add(ServiceStats& aService, const WorkerStats& aStats, double aSign)
{
  const Speed& speed = aStats.RecentSpeed();
  aService.speed_.expectedSeconds_ += aSign * speed.expectedSeconds_;
  aService.speed_.elapsedSeconds_ += aSign * speed.elapsedSeconds_;
  aService.failedShareSum_ += aSign * aStats.FailedShare();
}

class Reducer
{
public:
  Reducer(HealthState& aState,
          const Views& aViews,
          const Context& aContext,
          Effects& aEffects)
    : state_(aState)
    , views_(aViews)
    , now_(aContext.now_)
    , effects_(aEffects)
  {
  }

  void On(const OwnershipTaken&) { state_ = {}; }
  void On(const OwnershipLost&) { state_ = {}; }

  void On(const RunsReported& aReported)
  {
    Update(aReported.worker_, [&](WorkerStats& aStats) {
      for (const ListedRun& run : aReported.running_) {
        if (const auto step = TimedStepOf(run.task_); step) {
          aStats.AddProgress(
            run.task_, run.run_, run.percent_, step->expected_, now_);
        }
      }
      aStats.DropRunsNotSeenSince(now_ - kUnseenRunRetention);
      AddStartUps(aStats, aReported);
    });
    if (state_.ejectedWorkers_.contains(aReported.worker_)) {
      RestartSlow(aReported.worker_, state_.workerStats_.at(aReported.worker_));
    }
  }

  void On(const RunsEnded& aEnded)
  {
    Update(aEnded.worker_, [&](WorkerStats& aStats) {
      for (const ListedEnd& end : aEnded.ended_) {
        AddEnd(aStats, end);
      }
    });
  }

  void On(const WorkerEnded& aEnded) { Remove(aEnded.worker_); }

  // A worker may leave the platform's list without a VM command that ended it.
  void On(const WorkersRead&)
  {
    std::vector<WorkerId> removed;
    for (const auto& [id, stats] : state_.workerStats_) {
      if (views_.workers_.Find(id) == nullptr) {
        removed.push_back(id);
      }
    }
    for (const WorkerId& id : removed) {
      Remove(id);
    }
  }

  template<typename Other>
  void On(const Other&)
  {
  }

private:
  // A long-running task never ends without a failure. Where all others have
  // ended, only its start-up shows that an ejected worker has recovered.
  void AddStartUps(WorkerStats& aStats, const RunsReported& aReported)
  {
    const auto ejection = state_.ejectedWorkers_.find(aReported.worker_);
    if (ejection == state_.ejectedWorkers_.end()) {
      return;
    }
    for (const ListedRun& run : aReported.running_) {
      if (HasStartedUpSince(ejection->second.since_, run) &&
          ejection->second.provenRuns_.emplace(run.task_, run.run_).second) {
        aStats.AddStartUp(now_);
      }
    }
  }

  [[nodiscard]] bool HasStartedUpSince(TimePoint aSince,
                                       const ListedRun& aRun) const
  {
    const Job* job = views_.tasks_.Find(aRun.task_.job_);
    const Task* task = job == nullptr ? nullptr : job->Find(aRun.task_);
    const auto* placed =
      task == nullptr ? nullptr : std::get_if<Placed>(&task->status_);
    return placed != nullptr && placed->run_ == aRun.run_ &&
           job->definition_.steps_[aRun.task_.step_.Value()].longRunning_ &&
           aRun.percent_ == kCompletePercent && placed->since_ > aSince &&
           now_ - placed->since_ >= kMinProofTime;
  }

  void AddEnd(WorkerStats& aStats, const ListedEnd& aEnd) const
  {
    const bool wasSeen = aStats.Runs().contains(aEnd.task_);
    if (const auto step = TimedStepOf(aEnd.task_);
        aEnd.kind_ == EndKind::Done && wasSeen && step) {
      aStats.AddProgress(
        aEnd.task_, aEnd.run_, kCompletePercent, step->expected_, now_);
    }
    if (aEnd.kind_ == EndKind::Done || aEnd.kind_ == EndKind::Failed) {
      aStats.AddEnd(aEnd.task_, aEnd.kind_ == EndKind::Failed, now_);
    }
  }

  /// The step of a task, if the task's progress shows the speed of its worker;
  /// otherwise empty.
  [[nodiscard]] std::optional<TimedStep> TimedStepOf(const TaskId& aTask) const
  {
    const Job* job = views_.tasks_.Find(aTask.job_);
    if (job == nullptr || job->Find(aTask) == nullptr) {
      return std::nullopt;
    }
    const Step& step = job->definition_.steps_[aTask.step_.Value()];
    const Duration expected = job->ExpectedRunTime(aTask.step_);
    return step.longRunning_ || step.bestEffort_ || step.gang_ ||
               expected <= Duration{}
             ? std::nullopt
             : std::optional{ TimedStep{ step, expected } };
  }

  /// Changes the statistics of a worker and updates the sums of its service.
  template<typename Change>
  void Update(const WorkerId& aWorker, Change aChange)
  {
    const Worker* worker = views_.workers_.Find(aWorker);
    if (worker == nullptr) {
      return;
    }
    if (const auto known = state_.workerStats_.find(aWorker);
        known != state_.workerStats_.end() &&
        known->second.service_ != worker->entry_.service_) {
      Remove(aWorker);
    }
    ServiceStats& service = state_.serviceStats_[worker->entry_.service_];
    const auto [entry, isNew] = state_.workerStats_.try_emplace(aWorker);
    WorkerStats& stats = entry->second;
    stats.service_ = worker->entry_.service_;
    service.workers_ += isNew ? 1 : 0;
    Add(service, stats, -1);
    aChange(stats);
    Add(service, stats, 1);
    UpdateStatus(aWorker, stats, PeersOf(stats));
  }

  void Remove(const WorkerId& aWorker)
  {
    const auto found = state_.workerStats_.find(aWorker);
    if (found == state_.workerStats_.end()) {
      return;
    }
    ServiceStats& service = state_.serviceStats_[found->second.service_];
    Add(service, found->second, -1);
    --service.workers_;
    // Without workers the sums are zero except for rounding errors.
    if (service.workers_ == 0) {
      state_.serviceStats_.erase(found->second.service_);
    }
    state_.workerStats_.erase(found);
    state_.ejectedWorkers_.erase(aWorker);
  }

  [[nodiscard]] PeerMeans PeersOf(const WorkerStats& aStats) const
  {
    ServiceStats peers = state_.serviceStats_.at(aStats.service_);
    Add(peers, aStats, -1);
    --peers.workers_;
    if (peers.workers_ == 0) {
      return {};
    }
    return { peers.speed_, peers.failedShareSum_ / peers.workers_, false };
  }

  void UpdateStatus(const WorkerId& aWorker,
                    const WorkerStats& aStats,
                    const PeerMeans& aPeers)
  {
    if (aPeers.isEmpty_) {
      return;
    }
    const bool wasEjected = state_.ejectedWorkers_.contains(aWorker);
    const bool isFailing = aStats.FailedShare() > kEjectFailedShare &&
                           aPeers.failedShare_ < kMaxPeerFailedShare;
    const bool isMeasured =
      aStats.RecentSpeed().elapsedSeconds_ >= kMinObservedSeconds &&
      aPeers.speed_.elapsedSeconds_ >= kMinObservedSeconds;
    const double ratio =
      isMeasured ? aStats.RecentSpeed().Ratio() / aPeers.speed_.Ratio() : 1;
    const bool isSlow =
      ratio < (wasEjected ? kReadmitSpeedRatio : kEjectSpeedRatio);
    if ((isFailing || isSlow) == wasEjected) {
      return;
    }
    if (wasEjected) {
      state_.ejectedWorkers_.erase(aWorker);
    } else {
      state_.ejectedWorkers_[aWorker].since_ = now_;
    }
    effects_.push_back(Count{ wasEjected ? Counter::WorkersRecovered
                                         : Counter::WorkersEjected });
    effects_.push_back(LogLine{
      LogLevel::Info,
      wasEjected ? "worker_cleared" : "worker_suspected",
      { { "worker", aWorker.Value() },
        { "speed_ratio", std::to_string(ratio) },
        { "observed_s", std::to_string(aStats.RecentSpeed().elapsedSeconds_) },
        { "failed_share", std::to_string(aStats.FailedShare()) } } });
  }

  [[nodiscard]] bool HasCapacityElsewhere(const Worker& aWorker,
                                          const Resources& aResources) const
  {
    return std::ranges::any_of(
      views_.workers_.workers_, [&](const auto& aEntry) {
        const Worker& other = aEntry.second;
        return other.entry_.service_ == aWorker.entry_.service_ &&
               !state_.ejectedWorkers_.contains(aEntry.first) &&
               IsSchedulable(other, now_) && other.Free().Fits(aResources);
      });
  }

  // Stops the runs that would take far longer to finish on this worker than a
  // restart takes on another one.
  void RestartSlow(const WorkerId& aWorker, const WorkerStats& aStats)
  {
    const Worker* worker = views_.workers_.Find(aWorker);
    const double ownRatio = aStats.RecentSpeed().Ratio();
    const double peerRatio = PeersOf(aStats).speed_.Ratio();
    if (worker == nullptr || peerRatio <= 0 ||
        ownRatio >= kEjectSpeedRatio * peerRatio) {
      return;
    }
    for (const auto& [task, seen] : aStats.Runs()) {
      const auto step = TimedStepOf(task);
      const auto run = worker->runs_.find(task);
      if (!step || run == worker->runs_.end() ||
          run->second.run_ != seen.run_ || !run->second.IsPresent()) {
        continue;
      }
      const double expected =
        std::chrono::duration<double>(step->expected_).count();
      const double remainingShare =
        1 -
        static_cast<double>(seen.percent_.Value()) / kCompletePercent.Value();
      const double restartSeconds =
        kRestartDelaySeconds +
        expected * (step->step_.checkpointing_ ? remainingShare : 1) /
          peerRatio;
      const bool isWorthwhile =
        expected * remainingShare > kMinRestartGain * restartSeconds * ownRatio;
      if (isWorthwhile &&
          HasCapacityElsewhere(*worker, ResourcesOnWorker(step->step_))) {
        effects_.push_back(Count{ Counter::SlowRunsStopped });
        effects_.push_back(Raise{
          StopDecided{ aWorker, task, seen.run_, "its worker is too slow" } });
      }
    }
  }

  HealthState& state_;
  const Views& views_;
  TimePoint now_;
  Effects& effects_;
};

} // namespace

void
ReduceHealth(HealthState& aState,
             const Views& aViews,
             const Event& aEvent,
             const Context& aContext,
             Effects& aEffects)
{
  Reducer reducer{ aState, aViews, aContext, aEffects };
  std::visit([&](const auto& aKnown) { reducer.On(aKnown); }, aEvent);
}

} // namespace verbenawell::jobs
