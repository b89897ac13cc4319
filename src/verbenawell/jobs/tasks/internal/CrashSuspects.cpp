#include "verbenawell/jobs/tasks/internal/CrashSuspects.h"

#include "verbenawell/jobs/tasks/JobRecords.h"
#include "verbenawell/jobs/tasks/TasksState.h"
#include "verbenawell/jobs/tasks/internal/JobOutcomes.h"
#include "verbenawell/jobs/workers/WorkersState.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <set>
#include <utility>
#include <vector>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// A task is given up after this many crashes if the last one leaves no other
// explanation, and after `kMaxCrashes` in any case.
constexpr WorkerCount kProvenCrashes{ 2 };
constexpr WorkerCount kMaxCrashes{ 3 };
// The same if other causes may explain the crashes. The starts of a task whose
// workers crash at once have no response, as on a worker that is down, and
// several of its workers may crash with others of their zone.
constexpr WorkerCount kMaxUnconfirmedCrashes{ 5 };
// A suspect runs without a crash for this multiple of the time after which its
// worker crashed before it counts as harmless.
constexpr int kProbationFactor = 2;
// Bounds the time for which a suspect keeps a worker for itself.
constexpr Duration kMaxProbation = 10s;
// This many other workers that may have crashed at the same moment show a
// common cause, such as the loss of a rack.
constexpr std::size_t kMassCrashWorkers = 2;
// Workers that crashed together are recognized within this time, when they
// return or when their addresses are used again.
constexpr Duration kMassCrashWindow = 10s;
// Other causes explain only the crash of a worker under a task that had run for
// this long. Most tasks that crash workers do so at once, and while many of
// them are there, several workers of a small zone crash at the same moment.
constexpr Duration kMinAgeForCommonCause = 1s;

bool
Overlaps(const CrashTime& aLeft, const CrashTime& aRight)
{
  return aLeft.from_ <= aRight.to_ && aRight.from_ <= aLeft.to_;
}

class CrashHandler
{
public:
  CrashHandler(TasksState& aState,
               const Views& aViews,
               const WorkerCrashed& aCrashed,
               const Context& aContext,
               Effects& aEffects)
    : state_(aState)
    , views_(aViews)
    , crashed_(aCrashed)
    , context_(aContext)
    , effects_(aEffects)
  {
  }

  void Apply()
  {
    const bool hasSuspect =
      std::ranges::any_of(crashed_.runs_, [&](const CrashedRun& aRun) {
        return state_.suspects_.contains(aRun.task_);
      });
    std::erase_if(state_.recentCrashes_, [&](const RecentCrash& aCrash) {
      return aCrash.time_.to_ < context_.now_ - kMassCrashWindow;
    });
    const std::vector<RecentCrash> others = CoincidingCrashes();
    const bool wasShared = hasSuspect && HadShortTasksBesideSuspects();
    const bool isProof = hasSuspect && !wasShared &&
                         SuspectJobs().size() == 1 &&
                         others.size() < kMassCrashWorkers;
    const std::size_t workersOfZone = CountWorkersOfZone();
    state_.recentCrashes_.push_back(ThisCrash());
    for (const CrashedRun& run : crashed_.runs_) {
      if (!hasSuspect || state_.suspects_.contains(run.task_) ||
          (wasShared && IsShort(run))) {
        Accuse(run, isProof, HasCommonCause(run, others, workersOfZone));
      }
    }
    Store();
  }

private:
  [[nodiscard]] std::set<JobId> SuspectJobs() const
  {
    std::set<JobId> jobs;
    for (const CrashedRun& run : crashed_.runs_) {
      if (state_.suspects_.contains(run.task_)) {
        jobs.insert(run.task_.job_);
      }
    }
    return jobs;
  }

  [[nodiscard]] bool IsShort(const CrashedRun& aRun) const
  {
    const auto job = state_.jobs_.find(aRun.task_.job_);
    return job != state_.jobs_.end() &&
           !job->second.definition_.steps_[aRun.task_.step_.Value()]
              .longRunning_;
  }

  // Short tasks run beside a suspect only where no other worker had room. Then
  // either of them may have crashed the worker.
  [[nodiscard]] bool HadShortTasksBesideSuspects() const
  {
    return std::ranges::any_of(crashed_.runs_, [&](const CrashedRun& aRun) {
      return !state_.suspects_.contains(aRun.task_) && IsShort(aRun);
    });
  }

  [[nodiscard]] RecentCrash ThisCrash() const
  {
    RecentCrash crash{ { crashed_.lastResponseAt_, crashed_.silentSince_ },
                       ZoneOfCrash(),
                       {} };
    for (const CrashedRun& run : crashed_.runs_) {
      crash.jobs_.insert(run.task_.job_);
    }
    return crash;
  }

  /// The other workers that may have crashed at the same moment.
  [[nodiscard]] std::vector<RecentCrash> CoincidingCrashes() const
  {
    const CrashTime time{ crashed_.lastResponseAt_, crashed_.silentSince_ };
    std::vector<RecentCrash> others;
    std::ranges::copy_if(
      state_.recentCrashes_,
      std::back_inserter(others),
      [&](const RecentCrash& aOther) { return Overlaps(time, aOther.time_); });
    // The others may still be down.
    for (const auto& [id, worker] : views_.workers_.workers_) {
      if (id == crashed_.worker_ || !worker.silentSince_) {
        continue;
      }
      RecentCrash other{ { worker.lastResponseAt_, *worker.silentSince_ },
                         { worker.entry_.service_, worker.entry_.zone_ },
                         {} };
      if (Overlaps(time, other.time_)) {
        for (const auto& [task, run] : worker.runs_) {
          other.jobs_.insert(task.job_);
        }
        others.push_back(std::move(other));
      }
    }
    return others;
  }

  [[nodiscard]] PoolZone ZoneOfCrash() const
  {
    return { crashed_.service_, crashed_.zone_ };
  }

  [[nodiscard]] std::size_t CountWorkersOfZone() const
  {
    return static_cast<std::size_t>(std::ranges::count_if(
      views_.workers_.workers_, [zone = ZoneOfCrash()](const auto& aWorker) {
        const WorkerEntry& entry = aWorker.second.entry_;
        return PoolZone{ entry.service_, entry.zone_ } == zone;
      }));
  }

  // Most workers of one zone crash together only for a common cause, such as
  // the loss of the zone. Workers that ran tasks of the same job show none: all
  // of its tasks may crash their workers.
  [[nodiscard]] bool HasCommonCause(const CrashedRun& aRun,
                                    const std::vector<RecentCrash>& aOthers,
                                    std::size_t aWorkersOfZone) const
  {
    const PoolZone zone = ZoneOfCrash();
    const auto crashed = static_cast<std::size_t>(
      std::ranges::count_if(aOthers, [&](const RecentCrash& aOther) {
        return aOther.zone_ == zone && !aOther.jobs_.contains(aRun.task_.job_);
      }));
    return aRun.knownAge_ >= kMinAgeForCommonCause &&
           crashed >= kMassCrashWorkers && 2 * (crashed + 1) > aWorkersOfZone;
  }

  void Accuse(const CrashedRun& aRun, bool aIsProof, bool aHasCommonCause)
  {
    const auto found = state_.jobs_.find(aRun.task_.job_);
    if (found == state_.jobs_.end() ||
        found->second.outcome_ != JobOutcome::Open) {
      return;
    }
    Job& job = found->second;
    Task* task = job.Find(aRun.task_);
    auto* placed =
      task == nullptr ? nullptr : std::get_if<Placed>(&task->status_);
    if (placed == nullptr || placed->worker_ != crashed_.worker_ ||
        placed->run_ != aRun.run_) {
      return;
    }
    ++task->crashes_;
    // A successor must not count the same crash again.
    placed->incarnation_ = WorkerIncarnation{};
    // A crash of another worker tells more about the task: this one may crash
    // by itself.
    task->failedOn_ = crashed_.worker_;
    task->probation_ = std::clamp(
      kProbationFactor * aRun.knownAge_, kMinProbation, kMaxProbation);
    state_.suspects_.insert(aRun.task_);
    changed_[job.id_].insert(PartOf(job, aRun.task_));
    // A worker that was down already carries out no start.
    if (!aRun.isConfirmed_ || aHasCommonCause) {
      ++task->unconfirmedCrashes_;
    }
    const WorkerCount confirmed = task->crashes_ - task->unconfirmedCrashes_;
    if ((aIsProof && confirmed >= kProvenCrashes) || confirmed >= kMaxCrashes ||
        task->crashes_ >= kMaxUnconfirmedCrashes) {
      GiveUp(job, aRun.task_, *task);
    }
  }

  void GiveUp(Job& aJob, const TaskId& aId, const Task& aTask)
  {
    effects_.push_back(Count{ Counter::TasksGivenUp });
    effects_.push_back(
      LogLine{ LogLevel::Warning,
               "task_given_up",
               { { "task", ToString(aId) },
                 { "queue", aJob.queue_.Value() },
                 { "crashes", std::to_string(aTask.crashes_.Value()) },
                 { "worker", crashed_.worker_.Value() } } });
    DecideOutcome(state_, aJob, JobOutcome::Failed, context_, effects_);
  }

  // No command follows the write. The next starts are stored behind it.
  void Store()
  {
    JournalWriteRequested write{ {}, StartsPersisted{} };
    for (const auto& [id, parts] : changed_) {
      if (const Job& job = state_.jobs_.at(id);
          job.outcome_ == JobOutcome::Open) {
        AppendProgress(job, parts, write.records_);
      }
    }
    if (!write.records_.empty()) {
      effects_.push_back(Raise{ std::move(write) });
    }
  }

  TasksState& state_;
  const Views& views_;
  const WorkerCrashed& crashed_;
  const Context& context_;
  Effects& effects_;
  std::map<JobId, std::set<ProgressPart>> changed_;
};

} // namespace

void
ApplyWorkerCrash(TasksState& aState,
                 const Views& aViews,
                 const WorkerCrashed& aCrashed,
                 const Context& aContext,
                 Effects& aEffects)
{
  CrashHandler handler{ aState, aViews, aCrashed, aContext, aEffects };
  handler.Apply();
}

void
ClearSuspect(TasksState& aState, const TaskId& aId, Task& aTask)
{
  if (aTask.IsSuspect()) {
    aTask.crashes_ = WorkerCount{};
    aTask.unconfirmedCrashes_ = WorkerCount{};
    aState.suspects_.erase(aId);
  }
}

void
ClearAfterProbation(TasksState& aState,
                    const TaskId& aId,
                    Task& aTask,
                    TimePoint aNow)
{
  const auto* placed = std::get_if<Placed>(&aTask.status_);
  if (aTask.IsSuspect() && placed != nullptr &&
      aNow - placed->since_ >= aTask.probation_) {
    ClearSuspect(aState, aId, aTask);
  }
}

void
ForgetSuspects(TasksState& aState, const JobId& aJob)
{
  const auto begin = aState.suspects_.lower_bound({ aJob, {}, {}, {} });
  auto end = begin;
  while (end != aState.suspects_.end() && end->job_ == aJob) {
    ++end;
  }
  aState.suspects_.erase(begin, end);
}

void
ForgetSuspects(TasksState& aState, const JobId& aJob, Occurrence aEnd)
{
  aState.suspects_.erase(aState.suspects_.lower_bound({ aJob, {}, {}, {} }),
                         aState.suspects_.lower_bound({ aJob, aEnd, {}, {} }));
}

void
RestoreSuspects(TasksState& aState)
{
  for (const auto& [id, job] : aState.jobs_) {
    for (const auto& [occurrence, tasks] : job.occurrences_) {
      for (std::uint32_t step = 0; step < tasks.steps_.size(); ++step) {
        const auto& items = tasks.steps_[step].tasks_;
        for (std::uint32_t index = 0; index < items.size(); ++index) {
          if (items[index].IsSuspect()) {
            aState.suspects_.insert(
              { id, occurrence, StepIndex{ step }, TaskIndex{ index } });
          }
        }
      }
    }
  }
}

} // namespace verbenawell::jobs
