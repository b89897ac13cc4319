#include "verbenawell/jobs/health/HealthReducer.h"

#include "verbenawell/jobs/health/HealthState.h"
#include "verbenawell/jobs/tasks/TasksState.h"
#include "verbenawell/jobs/workers/WorkersState.h"

#include <algorithm>
#include <chrono>
#include <string>

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
constexpr double kWhole = 100;

struct Others
{
  Speed speed_;
  double failedShare_ = 0;
  int workers_ = 0;
};

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
    WorkerRecord& record = state_.records_[aSeen.worker_];
    for (const ListedRun& run : aSeen.running_) {
      if (const Step* step = TimedStep(run.task_); step != nullptr) {
        record.AddProgress(
          run.task_, run.run_, run.percent_, step->estimate_, now_);
      }
    }
    record.KeepRunsSince(now_ - kKeepRuns);
    Judge(aSeen.worker_, record);
    if (state_.suspects_.contains(aSeen.worker_)) {
      RestartSlow(aSeen.worker_, record);
    }
  }

  void On(const RunsEnded& aEnded)
  {
    WorkerRecord& record = state_.records_[aEnded.worker_];
    for (const ListedEnd& end : aEnded.ended_) {
      if (const auto seen = record.Runs().find(end.task_);
          end.kind_ == EndKind::Done && seen != record.Runs().end()) {
        if (const Step* step = TimedStep(end.task_); step != nullptr) {
          record.AddProgress(end.task_,
                             end.run_,
                             Percent{ static_cast<std::uint32_t>(kWhole) },
                             step->estimate_,
                             now_);
        }
      }
      if (end.kind_ == EndKind::Done || end.kind_ == EndKind::Failed) {
        record.AddEnd(end.task_, end.kind_ == EndKind::Failed, now_);
      }
    }
    Judge(aEnded.worker_, record);
  }

  void On(const WorkerEnded& aEnded)
  {
    state_.records_.erase(aEnded.worker_);
    state_.suspects_.erase(aEnded.worker_);
  }

  template<typename Other>
  void On(const Other&)
  {
  }

private:
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

  [[nodiscard]] Others OthersOf(const WorkerId& aWorker) const
  {
    Others others;
    const Worker* worker = views_.workers_.Find(aWorker);
    if (worker == nullptr) {
      return others;
    }
    for (const auto& [id, record] : state_.records_) {
      const Worker* other = views_.workers_.Find(id);
      if (id == aWorker || other == nullptr ||
          other->entry_.service_ != worker->entry_.service_) {
        continue;
      }
      others.speed_.declaredSeconds_ += record.RecentSpeed().declaredSeconds_;
      others.speed_.takenSeconds_ += record.RecentSpeed().takenSeconds_;
      others.failedShare_ += record.FailedShare();
      ++others.workers_;
    }
    if (others.workers_ > 0) {
      others.failedShare_ /= others.workers_;
    }
    return others;
  }

  void Judge(const WorkerId& aWorker, const WorkerRecord& aRecord)
  {
    const Others others = OthersOf(aWorker);
    if (others.workers_ == 0) {
      return;
    }
    const bool wasSuspect = state_.suspects_.contains(aWorker);
    const bool isFailing = aRecord.FailedShare() > kFailingShare &&
                           others.failedShare_ < kMostFailedElsewhere;
    const bool isMeasured =
      aRecord.RecentSpeed().takenSeconds_ >= kLeastSeconds &&
      others.speed_.takenSeconds_ >= kLeastSeconds;
    const double ratio =
      isMeasured ? aRecord.RecentSpeed().Ratio() / others.speed_.Ratio() : 1;
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
    const double elsewhere = OthersOf(aWorker).speed_.Ratio();
    if (worker == nullptr || elsewhere <= 0 || here >= kSlowShare * elsewhere) {
      return;
    }
    for (const auto& [task, seen] : aRecord.Runs()) {
      const Step* step = TimedStep(task);
      const auto run = worker->runs_.find(task);
      if (step == nullptr || run == worker->runs_.end() ||
          run->second.run_ != seen.run_ ||
          run->second.phase_ != RunPhase::Running) {
        continue;
      }
      const double declared =
        std::chrono::duration<double>(step->estimate_).count();
      const double left = 1 - seen.percent_.Value() / kWhole;
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
