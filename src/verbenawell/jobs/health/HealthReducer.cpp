#include "verbenawell/jobs/health/HealthReducer.h"

#include "verbenawell/jobs/health/HealthState.h"
#include "verbenawell/jobs/tasks/TasksState.h"
#include "verbenawell/jobs/workers/WorkersState.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <vector>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// Less observed run time than this tells nothing.
constexpr double kLeastSeconds = 1.0;
// Declared run times are off by a factor of two and more for single tasks; the
// mean of a worker's tasks is not.
constexpr double kSlowShare = 0.4;
constexpr double kSoundShare = 0.6;
// Three failures in a row.
constexpr double kFailingShare = 0.6;
// Above it the jobs of the service fail, not its workers.
constexpr double kMostFailedElsewhere = 0.3;
// A run that no list shows any more and that has no end was lost.
constexpr Duration kKeepRuns = 5s;
// A stopped task waits for its worker's answer and for a place.
constexpr double kRestartSeconds = 1.0;
// A restart has to win this factor, since the estimates are rough.
constexpr double kLeastGain = 1.5;
constexpr Percent kWholeTask{ 100 };

/// The means over the other workers of a service.
struct Others
{
  Speed speed_;
  double failedShare_ = 0;
  bool isEmpty_ = true;
};

void
Add(ServiceRecord& aService, const WorkerRecord& aRecord, double aSign)
{
  const Speed& speed = aRecord.RecentSpeed();
  aService.speed_.declaredSeconds_ += aSign * speed.declaredSeconds_;
  aService.speed_.takenSeconds_ += aSign * speed.takenSeconds_;
  aService.failedShares_ += aSign * aRecord.FailedShare();
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

  void On(const RunsSeen& aSeen)
  {
    Update(aSeen.worker_, [&](WorkerRecord& aRecord) {
      for (const ListedRun& run : aSeen.running_) {
        if (const Step* step = TimedStep(run.task_); step != nullptr) {
          aRecord.AddProgress(
            run.task_, run.run_, run.percent_, step->estimate_, now_);
        }
      }
      aRecord.KeepRunsSince(now_ - kKeepRuns);
    });
    if (state_.suspects_.contains(aSeen.worker_)) {
      RestartSlow(aSeen.worker_, state_.records_.at(aSeen.worker_));
    }
  }

  void On(const RunsEnded& aEnded)
  {
    Update(aEnded.worker_, [&](WorkerRecord& aRecord) {
      for (const ListedEnd& end : aEnded.ended_) {
        AddEnd(aRecord, end);
      }
    });
  }

  void On(const WorkerEnded& aEnded) { Forget(aEnded.worker_); }

  // A worker may leave the list without an order that ended it.
  void On(const WorkersRead&)
  {
    std::vector<WorkerId> gone;
    for (const auto& [id, record] : state_.records_) {
      if (views_.workers_.Find(id) == nullptr) {
        gone.push_back(id);
      }
    }
    for (const WorkerId& id : gone) {
      Forget(id);
    }
  }

  template<typename Other>
  void On(const Other&)
  {
  }

private:
  void AddEnd(WorkerRecord& aRecord, const ListedEnd& aEnd) const
  {
    const bool wasSeen = aRecord.Runs().contains(aEnd.task_);
    if (const Step* step = TimedStep(aEnd.task_);
        aEnd.kind_ == EndKind::Done && wasSeen && step != nullptr) {
      aRecord.AddProgress(
        aEnd.task_, aEnd.run_, kWholeTask, step->estimate_, now_);
    }
    if (aEnd.kind_ == EndKind::Done || aEnd.kind_ == EndKind::Failed) {
      aRecord.AddEnd(aEnd.task_, aEnd.kind_ == EndKind::Failed, now_);
    }
  }

  /// The step of a task whose progress shows the speed of its worker.
  [[nodiscard]] const Step* TimedStep(const TaskId& aTask) const
  {
    const Job* job = views_.tasks_.Find(aTask.job_);
    if (job == nullptr || job->Find(aTask) == nullptr) {
      return nullptr;
    }
    const Step& step = job->definition_.steps_[aTask.step_.Value()];
    return step.longRunning_ || step.fills_ || step.gang_ ||
               step.estimate_ <= Duration{}
             ? nullptr
             : &step;
  }

  /// Changes the record of a worker and keeps its service's sums.
  template<typename Change>
  void Update(const WorkerId& aWorker, Change aChange)
  {
    const Worker* worker = views_.workers_.Find(aWorker);
    if (worker == nullptr) {
      return;
    }
    if (const auto known = state_.records_.find(aWorker);
        known != state_.records_.end() &&
        known->second.service_ != worker->entry_.service_) {
      Forget(aWorker);
    }
    ServiceRecord& service = state_.services_[worker->entry_.service_];
    const auto [entry, isNew] = state_.records_.try_emplace(aWorker);
    WorkerRecord& record = entry->second;
    record.service_ = worker->entry_.service_;
    service.workers_ += isNew ? 1 : 0;
    Add(service, record, -1);
    aChange(record);
    Add(service, record, 1);
    Judge(aWorker, record, OthersOf(record));
  }

  void Forget(const WorkerId& aWorker)
  {
    const auto found = state_.records_.find(aWorker);
    if (found == state_.records_.end()) {
      return;
    }
    ServiceRecord& service = state_.services_[found->second.service_];
    Add(service, found->second, -1);
    --service.workers_;
    // Sums of no records are zero but for rounding.
    if (service.workers_ == 0) {
      state_.services_.erase(found->second.service_);
    }
    state_.records_.erase(found);
    state_.suspects_.erase(aWorker);
  }

  [[nodiscard]] Others OthersOf(const WorkerRecord& aRecord) const
  {
    ServiceRecord others = state_.services_.at(aRecord.service_);
    Add(others, aRecord, -1);
    --others.workers_;
    if (others.workers_ == 0) {
      return {};
    }
    return { others.speed_, others.failedShares_ / others.workers_, false };
  }

  void Judge(const WorkerId& aWorker,
             const WorkerRecord& aRecord,
             const Others& aOthers)
  {
    if (aOthers.isEmpty_) {
      return;
    }
    const bool wasSuspect = state_.suspects_.contains(aWorker);
    const bool isFailing = aRecord.FailedShare() > kFailingShare &&
                           aOthers.failedShare_ < kMostFailedElsewhere;
    const bool isMeasured =
      aRecord.RecentSpeed().takenSeconds_ >= kLeastSeconds &&
      aOthers.speed_.takenSeconds_ >= kLeastSeconds;
    const double ratio =
      isMeasured ? aRecord.RecentSpeed().Ratio() / aOthers.speed_.Ratio() : 1;
    const bool isSlow = ratio < (wasSuspect ? kSoundShare : kSlowShare);
    if ((isFailing || isSlow) == wasSuspect) {
      return;
    }
    if (wasSuspect) {
      state_.suspects_.erase(aWorker);
    } else {
      state_.suspects_.insert(aWorker);
    }
    effects_.push_back(Count{ wasSuspect ? Counter::WorkersCleared
                                         : Counter::WorkersSuspected });
    effects_.push_back(LogLine{
      LogLevel::Info,
      wasSuspect ? "worker_cleared" : "worker_suspected",
      { { "worker", aWorker.Value() },
        { "speed_ratio", std::to_string(ratio) },
        { "observed_s", std::to_string(aRecord.RecentSpeed().takenSeconds_) },
        { "failed_share", std::to_string(aRecord.FailedShare()) } } });
  }

  [[nodiscard]] bool HasRoomElsewhere(const Worker& aWorker,
                                      const Room& aRoom) const
  {
    return std::ranges::any_of(
      views_.workers_.workers_, [&](const auto& aEntry) {
        const Worker& other = aEntry.second;
        return other.entry_.service_ == aWorker.entry_.service_ &&
               !state_.suspects_.contains(aEntry.first) &&
               TakesStarts(other, now_) && other.Free().Fits(aRoom);
      });
  }

  // A task that needs far longer here than a new start elsewhere is stopped.
  void RestartSlow(const WorkerId& aWorker, const WorkerRecord& aRecord)
  {
    const Worker* worker = views_.workers_.Find(aWorker);
    const double here = aRecord.RecentSpeed().Ratio();
    const double elsewhere = OthersOf(aRecord).speed_.Ratio();
    if (worker == nullptr || elsewhere <= 0 || here >= kSlowShare * elsewhere) {
      return;
    }
    for (const auto& [task, seen] : aRecord.Runs()) {
      const Step* step = TimedStep(task);
      const auto run = worker->runs_.find(task);
      if (step == nullptr || run == worker->runs_.end() ||
          run->second.run_ != seen.run_ || !run->second.IsPresent()) {
        continue;
      }
      const double declared =
        std::chrono::duration<double>(step->estimate_).count();
      const double left =
        1 - static_cast<double>(seen.percent_.Value()) / kWholeTask.Value();
      const double again =
        kRestartSeconds +
        declared * (step->checkpointing_ ? left : 1) / elsewhere;
      const bool wins = declared * left > kLeastGain * again * here;
      if (wins && HasRoomElsewhere(*worker, RoomOnWorker(*step))) {
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
