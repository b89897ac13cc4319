#include "verbenawell/jobs/tasks/TasksReducer.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/jobs/configuration/ConfigurationState.h"
#include "verbenawell/jobs/estimates/EstimatesState.h"
#include "verbenawell/jobs/ownership/OwnershipState.h"
#include "verbenawell/jobs/tasks/JobRecords.h"
#include "verbenawell/jobs/tasks/TasksState.h"
#include "verbenawell/jobs/tasks/internal/CallerActions.h"
#include "verbenawell/jobs/tasks/internal/CrashSuspects.h"
#include "verbenawell/jobs/tasks/internal/HandOvers.h"
#include "verbenawell/jobs/tasks/internal/JobOutcomes.h"
#include "verbenawell/jobs/tasks/internal/RunUpdates.h"
#include "verbenawell/jobs/workers/WorkersState.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <utility>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration kTickInterval = 250ms;
// Many occurrences may come due at once, if a first time has passed or all
// daemons were down. An event adds occurrences until they have this many tasks;
// other events are handled before the next ones are added.
constexpr std::uint64_t kMaxTasksAddedPerEvent = 500;
constexpr Duration kNextPartDelay = 20ms;
// Jobs per tick whose expected run times are looked up, which takes some
// microseconds each.
constexpr std::size_t kMaxJobsRefreshedPerTick = 100;
// Time for which an ended job is stored. Callers may ask for its state for 120
// s. It is counted on the owner's monotonic clock, since the time of day may be
// set, and begins anew with each owner.
constexpr Duration kEndedJobRetention = 150s;

class Reducer
{
public:
  Reducer(TasksState& aState,
          const Views& aViews,
          const Context& aContext,
          Effects& aEffects)
    : state_(aState)
    , views_(aViews)
    , context_(aContext)
    , effects_(aEffects)
  {
  }

  void On(const OwnershipTaken&) { state_ = {}; }
  void On(const OwnershipLost&) { state_ = {}; }

  void On(const JournalLoaded& aLoaded)
  {
    Restore(state_, aLoaded.records_, context_);
    for (auto& [id, job] : state_.jobs_) {
      RefreshExpectedRunTimes(job, views_.estimates_, context_.now_);
      state_.openJobs_.Update(job);
    }
    effects_.push_back(
      LogLine{ LogLevel::Info,
               "jobs_restored",
               { { "open", std::to_string(state_.jobs_.size()) },
                 { "ended", std::to_string(state_.endedJobs_.size()) } } });
    effects_.push_back(SetTimer{ JobsTick{}, kTickInterval });
  }

  void On(const OwnerRequestReceived& aRequest)
  {
    HandleCallerRequest(state_, views_, aRequest, context_, effects_);
  }

  void On(const LoopDelayMeasured& aMeasured)
  {
    state_.shedding_.Add(aMeasured.delay_);
    if (const auto& configuration = views_.configuration_.configuration_;
        configuration) {
      state_.workspaceShedding_.Divide(
        state_.shedding_.RejectedShare(), *configuration, context_.now_);
    }
  }

  void On(const SubmissionPersisted& aStored)
  {
    const auto found = state_.jobs_.find(aStored.job_);
    if (found == state_.jobs_.end()) {
      return;
    }
    found->second.stored_ = true;
    state_.openJobs_.Update(found->second);
    effects_.push_back(Count{ Counter::JobsAccepted });
    RespondToSubmitters(state_, aStored.job_, JobAccepted{}, effects_);
    effects_.push_back(Raise{ CapacityChanged{} });
  }

  void On(const SubmissionDropped& aDropped)
  {
    state_.jobs_.erase(aDropped.job_);
    state_.openJobs_.Remove(aDropped.job_);
    RespondToSubmitters(
      state_, aDropped.job_, StoreUnavailableResponse(), effects_);
    RespondToCancellers(
      state_, aDropped.job_, UnknownJobResponse(views_, context_), effects_);
  }

  void On(const OutcomePersisted& aStored)
  {
    ApplyStoredOutcome(state_, aStored.job_, context_, effects_);
  }

  void On(const JobsStranded& aStranded)
  {
    BeginHandOvers(state_, aStranded, effects_);
  }

  void On(const HandOverPersisted& aStored)
  {
    OfferJob(state_, aStored.job_, context_, effects_);
  }

  void On(const ShardResponded& aResponse)
  {
    ApplyShardResponse(state_, aResponse, effects_);
  }

  void On(const HandOverConfirmed& aStored)
  {
    CompleteHandOver(state_, aStored.job_, context_, effects_);
  }

  void On(const RunsReported& aReported)
  {
    ApplyReportedRuns(state_, aReported, context_, effects_);
  }

  void On(const RunsEnded& aEnded)
  {
    ApplyEnds(state_, aEnded, context_, effects_);
  }

  void On(const WorkerCrashed& aCrashed)
  {
    ApplyWorkerCrash(state_, views_, aCrashed, context_, effects_);
  }

  void On(const RunLost& aLost) { ApplyLostRun(state_, aLost, effects_); }

  // Each start is written to the journal before its start command is sent. A
  // successor then knows where a task may run and waits for the lease of that
  // worker only.
  void On(const StartsDecided& aDecided)
  {
    std::map<JobId, std::set<ProgressPart>> changed;
    for (const StartDecision& start : aDecided.starts_) {
      Job& job = state_.jobs_.at(start.task_.job_);
      if (job.definition_.steps_[start.task_.step_.Value()].gang_) {
        ShareCheckpoint(job.occurrences_.at(start.task_.occurrence_)
                          .steps_[start.task_.step_.Value()]);
      }
      Task* task = job.Find(start.task_);
      task->lastRun_ = start.run_;
      task->percent_ = Percent{ 0 };
      const Worker* worker = views_.workers_.Find(start.worker_);
      SetStatus(
        job,
        start.task_,
        Placed{ start.worker_,
                start.run_,
                context_.now_,
                worker == nullptr ? WorkerIncarnation{} : worker->incarnation_,
                !task->checkpoint_.empty() });
      changed[job.id_].insert(PartOf(job, start.task_));
    }
    JournalWriteRequested write{ {}, StartsPersisted{ aDecided.starts_ } };
    for (const auto& [id, parts] : changed) {
      const Job& job = state_.jobs_.at(id);
      state_.openJobs_.Update(job);
      AppendProgress(job, parts, write.records_);
    }
    effects_.push_back(Raise{ std::move(write) });
  }

  void On(const StartCommandCompleted& aCompletion)
  {
    ApplyAcceptedStart(state_, aCompletion);
  }
  void On(const StopDecided& aStop) { ApplyStopDecision(state_, aStop); }

  void On(const TimerDue& aDue)
  {
    if (std::holds_alternative<JobsTick>(aDue.key_) &&
        views_.ownership_.AsOwner() != nullptr) {
      const bool areMoreDue = AddDueOccurrences();
      RemoveOldJobs();
      ContinueHandOvers(state_, context_, effects_);
      RefreshJobs();
      effects_.push_back(
        SetTimer{ JobsTick{}, areMoreDue ? kNextPartDelay : kTickInterval });
    }
  }

  template<typename Other>
  void On(const Other&)
  {
  }

private:
  /// Adds due occurrences of each job in turn, up to the limit of an event.
  /// Returns whether the limit has left some out.
  bool AddDueOccurrences()
  {
    std::uint64_t added = 0;
    auto entry = state_.jobs_.lower_bound(state_.nextScheduledJob_);
    for (std::size_t left = state_.jobs_.size(); left > 0; --left, ++entry) {
      if (entry == state_.jobs_.end()) {
        entry = state_.jobs_.begin();
      }
      Job& job = entry->second;
      if (!job.definition_.schedule_ || job.isHandedOver_ ||
          job.outcome_ != JobOutcome::Open) {
        continue;
      }
      RemoveDoneOf(job);
      const Occurrence before = job.nextOccurrence_;
      const std::uint64_t tasks = TasksPerOccurrence(job.definition_);
      while (added < kMaxTasksAddedPerEvent &&
             job.MayAddOccurrence(context_.wallNow_)) {
        AddOccurrence(job);
        added += tasks;
      }
      if (job.nextOccurrence_ != before) {
        state_.openJobs_.Update(job);
      }
      if (added >= kMaxTasksAddedPerEvent) {
        break;
      }
    }
    if (added > 0) {
      effects_.push_back(Raise{ CapacityChanged{} });
    }
    if (added < kMaxTasksAddedPerEvent) {
      return false;
    }
    state_.nextScheduledJob_ =
      ++entry == state_.jobs_.end() ? JobId{} : entry->first;
    return true;
  }

  /// Looks up the expected run times of some jobs, in turn. The load is that of
  /// a long queue, where a look at every job would delay other events.
  void RefreshJobs()
  {
    if (views_.estimates_.use_ != LearnedRunTimes::On) {
      return;
    }
    auto entry = state_.jobs_.lower_bound(state_.nextRefreshedJob_);
    std::size_t left = std::min(state_.jobs_.size(), kMaxJobsRefreshedPerTick);
    for (; left > 0; --left, ++entry) {
      if (entry == state_.jobs_.end()) {
        entry = state_.jobs_.begin();
      }
      if (RefreshExpectedRunTimes(
            entry->second, views_.estimates_, context_.now_)) {
        state_.openJobs_.Update(entry->second);
      }
    }
    state_.nextRefreshedJob_ =
      entry == state_.jobs_.end() ? JobId{} : entry->first;
  }

  // The records of an earlier version may hold any number of occurrences that
  // are done. Nothing follows the write.
  void RemoveDoneOf(Job& aJob)
  {
    if (auto done = RemoveDone(aJob); done) {
      ForgetSuspects(state_, aJob.id_, aJob.doneOccurrences_);
      effects_.push_back(Raise{
        JournalWriteRequested{ { std::move(*done) }, StartsPersisted{} } });
    }
  }

  void RemoveOldJobs()
  {
    for (auto entry = state_.endedJobs_.begin();
         entry != state_.endedJobs_.end();) {
      if (context_.now_ - entry->second.knownSince_ < kEndedJobRetention) {
        ++entry;
        continue;
      }
      // Nothing follows the write, since the job may have been submitted again
      // by then.
      effects_.push_back(Raise{ JournalWriteRequested{
        { JobRemoved{ entry->first } }, StartsPersisted{} } });
      entry = state_.endedJobs_.erase(entry);
    }
  }

  TasksState& state_;
  const Views& views_;
  const Context& context_;
  Effects& effects_;
};

} // namespace

void
ReduceTasks(TasksState& aState,
            const Views& aViews,
            const Event& aEvent,
            const Context& aContext,
            Effects& aEffects)
{
  Reducer reducer{ aState, aViews, aContext, aEffects };
  std::visit([&](const auto& aKnown) { reducer.On(aKnown); }, aEvent);
}

} // namespace verbenawell::jobs
