#include "verbenawell/jobs/tasks/internal/NewJob.h"

#include "verbenawell/jobs/estimates/EstimatesState.h"

#include <chrono>

namespace verbenawell::jobs {

namespace {

// The objective of a job includes, for each step, one call to the advice
// service about this many workers.
constexpr int kWorkersPerAdviceCall = 30;

} // namespace

Job
NewJob(const SubmitJob& aSubmit,
       const Queue& aQueue,
       const WorkspaceId& aWorkspace,
       const EstimatesState& aEstimates,
       const Context& aContext)
{
  Job job;
  job.workspace_ = aWorkspace;
  job.id_ = aSubmit.job_;
  job.queue_ = aQueue.id_;
  job.service_ = aQueue.service_;
  job.definition_ = *aSubmit.definition_;
  RefreshExpectedRunTimes(job, aEstimates, aContext.now_);
  const Duration criticalPath = CriticalPathTime(
    job,
    aQueue.advice_ ? aQueue.advice_->callTime_ +
                       kWorkersPerAdviceCall * aQueue.advice_->timePerWorker_
                   : Duration{});

  job.policy_ = { aQueue.priority_,
                  aQueue.maxAttempts_,
                  aQueue.slack_ + std::chrono::duration_cast<Duration>(
                                    criticalPath * aQueue.stretch_),
                  aQueue.advice_.has_value() };
  job.acceptedAt_ = aContext.now_;
  if (!job.definition_.schedule_) {
    AddOccurrence(job);
  }
  return job;
}

} // namespace verbenawell::jobs
