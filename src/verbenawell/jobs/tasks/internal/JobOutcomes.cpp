#include "verbenawell/jobs/tasks/internal/JobOutcomes.h"

#include "verbenawell/jobs/tasks/JobRecords.h"
#include "verbenawell/jobs/tasks/TasksState.h"
#include "verbenawell/jobs/tasks/internal/CallerActions.h"
#include "verbenawell/jobs/tasks/internal/CrashSuspects.h"

namespace verbenawell::jobs {

namespace {

Counter
CounterOf(JobOutcome aOutcome)
{
  switch (aOutcome) {
    case JobOutcome::Failed:
      return Counter::JobsFailed;
    case JobOutcome::Cancelled:
      return Counter::JobsCancelled;
    case JobOutcome::Open:
    case JobOutcome::Completed:
      break;
  }
  return Counter::JobsCompleted;
}

void
StopRuns(const Job& aJob, Effects& aEffects)
{
  for (const auto& [task, placed] : PlacedTasks(aJob)) {
    aEffects.push_back(
      Raise{ StopDecided{ placed.worker_,
                          task,
                          placed.run_,
                          "job " + std::string(ToString(aJob.outcome_)) } });
  }
}

} // namespace

void
DecideOutcome(TasksState& aState,
              Job& aJob,
              JobOutcome aOutcome,
              const Context& aContext,
              Effects& aEffects)
{
  aJob.outcome_ = aOutcome;
  aJob.endedAt_ = aContext.now_;
  aState.openJobs_.Update(aJob);
  ForgetSuspects(aState, aJob.id_);
  aEffects.push_back(Raise{ JournalWriteRequested{
    { StoredOutcome(aJob, aContext) }, OutcomePersisted{ aJob.id_ } } });
}

void
ApplyStoredOutcome(TasksState& aState,
                   const JobId& aJob,
                   const Context& aContext,
                   Effects& aEffects)
{
  const auto found = aState.jobs_.find(aJob);
  if (found == aState.jobs_.end()) {
    return;
  }
  const Job& job = found->second;
  aEffects.push_back(Count{ CounterOf(job.outcome_) });
  aEffects.push_back(
    Observe{ LatencyMetric::JobTime, aContext.now_ - job.acceptedAt_ });
  aEffects.push_back(LogLine{
    LogLevel::Info,
    "job_ended",
    { { "job", job.id_.Value() },
      { "outcome", std::string(ToString(job.outcome_)) },
      { "age_ms",
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                         aContext.now_ - job.acceptedAt_)
                         .count()) } } });
  StopRuns(job, aEffects);
  RespondToCancellers(aState, aJob, CancelAccepted{}, aEffects);
  aState.endedJobs_.insert_or_assign(
    aJob, EndedJob{ job.queue_, job.outcome_, aContext.now_, job.workspace_ });
  aState.openJobs_.Remove(aJob);
  aState.jobs_.erase(found);
}

} // namespace verbenawell::jobs
