#include "verbenawell/jobs/tasks/internal/CallerActions.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/jobs/configuration/ConfigurationState.h"
#include "verbenawell/jobs/estimates/EstimatesState.h"
#include "verbenawell/jobs/journal/JournalState.h"
#include "verbenawell/jobs/ownership/OwnershipState.h"
#include "verbenawell/jobs/placement/Admission.h"
#include "verbenawell/jobs/quotas/QuotasState.h"
#include "verbenawell/jobs/tasks/JobRecords.h"
#include "verbenawell/jobs/tasks/TasksState.h"
#include "verbenawell/jobs/tasks/internal/JobOutcomes.h"
#include "verbenawell/jobs/tasks/internal/NewJob.h"
#include "verbenawell/jobs/workspaces/Access.h"

#include <algorithm>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration kStoreRetryAfter = 2s;
// The other workspace's job is stored under the id for 150 s after its end.
constexpr Duration kIdInUseRetryAfter = 150s;
// Only a new configuration raises a quota.
constexpr Duration kQuotaRetryAfter = 60s;
// The owner reports a job as unknown only while its last renewal is younger
// than this. An unresponsive owner is replaced 2.5 s after its last renewal at
// the earliest. A daemon on a larger VM may claim before, so the response to a
// read may be late by a second; a cancel is confirmed by a write.
constexpr Duration kMaxConfirmationAge = 1800ms;
JobState
StateOf(const Job& aJob)
{
  if (aJob.outcomeStored_) {
    switch (aJob.outcome_) {
      case JobOutcome::Completed:
        return JobState::Completed;
      case JobOutcome::Failed:
        return JobState::Failed;
      case JobOutcome::Cancelled:
        return JobState::Cancelled;
      case JobOutcome::Open:
        break;
    }
  }
  return aJob.started_ ? JobState::Running : JobState::Queued;
}

JobState
StateOf(const EndedJob& aJob)
{
  switch (aJob.outcome_) {
    case JobOutcome::Failed:
      return JobState::Failed;
    case JobOutcome::Cancelled:
      return JobState::Cancelled;
    case JobOutcome::Open:
    case JobOutcome::Completed:
      break;
  }
  return JobState::Completed;
}

std::string
Milliseconds(Duration aTime)
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count());
}

class RequestHandler
{
public:
  RequestHandler(TasksState& aState,
                 const Views& aViews,
                 const OwnerRequestReceived& aRequest,
                 const Context& aContext,
                 Effects& aEffects)
    : state_(aState)
    , views_(aViews)
    , request_(aRequest)
    , context_(aContext)
    , effects_(aEffects)
  {
  }

  void operator()(const SubmitJob& aSubmit)
  {
    if (IsHidden(aSubmit.job_)) {
      Respond(JobRejected{ RejectReason::IdInUse, kIdInUseRetryAfter });
      return;
    }
    if (const auto known = state_.jobs_.find(aSubmit.job_);
        known != state_.jobs_.end()) {
      if (known->second.stored_) {
        Respond(JobAccepted{});
      } else {
        state_.submitters_.emplace(aSubmit.job_, request_.key_);
      }
      return;
    }
    if (state_.endedJobs_.contains(aSubmit.job_) ||
        state_.HandedOverTo(aSubmit.job_)) {
      Respond(JobAccepted{});
      return;
    }
    if (views_.journal_.IsStoreUnresponsive(context_.now_)) {
      Respond(StoreUnavailableResponse());
      return;
    }
    Accept(aSubmit);
  }

  void operator()(const ReadJob& aRead)
  {
    if (IsHidden(aRead.job_)) {
      Respond(JobUnknown{});
    } else if (const Job* job = state_.Find(aRead.job_); job != nullptr) {
      if (job->stored_) {
        Respond(JobStateReported{ StateOf(*job) });
      } else {
        // No caller has received a response yet that the job is accepted.
        RespondUnknown();
      }
    } else if (const auto ended = state_.endedJobs_.find(aRead.job_);
               ended != state_.endedJobs_.end()) {
      Respond(JobStateReported{ StateOf(ended->second) });
    } else if (const auto other = state_.HandedOverTo(aRead.job_); other) {
      Respond(OtherShard{ *other });
    } else {
      RespondUnknown();
    }
  }

  void operator()(const FindAdoptedJob& aFind)
  {
    (*this)(ReadJob{ aFind.job_ });
  }

  void operator()(const AdoptJob& aAdopt)
  {
    const JobStored& stored = *aAdopt.job_;
    if (const auto known = state_.jobs_.find(stored.job_);
        known != state_.jobs_.end() && !known->second.stored_) {
      state_.submitters_.emplace(stored.job_, request_.key_);
    } else if (known != state_.jobs_.end() ||
               state_.endedJobs_.contains(stored.job_)) {
      Respond(JobAccepted{});
    } else if (views_.journal_.IsStoreUnresponsive(context_.now_)) {
      Respond(StoreUnavailableResponse());
    } else {
      Job job = RestoredJob(stored, context_);
      job.stored_ = false;
      RefreshExpectedRunTimes(job, views_.estimates_, context_.now_);
      Store(std::move(job), stored);
    }
  }

  void operator()(const CancelJob& aCancel)
  {
    if (IsHidden(aCancel.job_)) {
      Respond(JobUnknown{});
      return;
    }
    const auto found = state_.jobs_.find(aCancel.job_);
    if (found == state_.jobs_.end()) {
      if (state_.endedJobs_.contains(aCancel.job_)) {
        Respond(CancelAccepted{});
      } else if (const auto other = state_.HandedOverTo(aCancel.job_); other) {
        Respond(OtherShard{ *other });
      } else {
        RespondUnknownToCanceller(aCancel.job_);
      }
      return;
    }
    Job& job = found->second;
    state_.cancellers_.emplace(job.id_, request_.key_);
    // A job that is being handed over may run in the other shard already, which
    // gets the cancel once it is known to have the job.
    if (job.outcome_ == JobOutcome::Open && !job.isHandedOver_) {
      DecideOutcome(state_, job, JobOutcome::Cancelled, context_, effects_);
    }
  }

  void operator()(const CountPending&)
  {
    Respond(PendingJobsReported{ state_.openJobs_.Pending(request_.queue_) });
  }

  // Handled with the quotas.
  void operator()(const ReportQuotas&) {}

private:
  void Accept(const SubmitJob& aSubmit)
  {
    const Queue* queue =
      views_.configuration_.configuration_->Find(request_.queue_);
    if (queue == nullptr) {
      Respond(QueueUnknown{});
      return;
    }
    Job job =
      NewJob(aSubmit, *queue, request_.workspace_, views_.estimates_, context_);
    if (const auto refusal = RefusalOf(job); refusal) {
      effects_.push_back(LogLine{
        LogLevel::Info,
        "job_rejected",
        { { "job", job.id_.Value() },
          { "queue", queue->id_.Value() },
          { "workspace", job.workspace_.Value() },
          { "reason", std::string(ToString(refusal->reason_)) },
          { "loop_delay_ms", Milliseconds(state_.shedding_.LoopDelay()) },
          { "retry_after_ms", Milliseconds(refusal->retryAfter_) } } });
      Respond(*refusal);
      return;
    }
    effects_.push_back(LogLine{
      LogLevel::Info,
      "job_accepted",
      { { "job", job.id_.Value() },
        { "queue", queue->id_.Value() },
        { "workspace", job.workspace_.Value() },
        { "service", job.service_.Value() },
        { "configuration",
          std::to_string(
            views_.configuration_.configuration_->version_.Value()) } } });
    const JobStored stored = StoredJob(job, context_);
    Store(std::move(job), stored);
  }

  void Store(Job aJob, const JobStored& aStored)
  {
    effects_.push_back(Raise{
      JournalWriteRequested{ { aStored }, SubmissionPersisted{ aJob.id_ } } });
    state_.submitters_.emplace(aJob.id_, request_.key_);
    const JobId id = aJob.id_;
    state_.openJobs_.Update(
      state_.jobs_.emplace(id, std::move(aJob)).first->second);
  }

  std::optional<JobRejected> RefusalOf(const Job& aJob)
  {
    if (!FitsQuota(aJob, views_.quotas_)) {
      return JobRejected{ RejectReason::QuotaTooSmall, kQuotaRetryAfter };
    }
    const bool mayReject = !aJob.IsLongRunning() && !aJob.definition_.schedule_;
    if (mayReject) {
      if (const auto reason = ShedNext(aJob.workspace_); reason) {
        return JobRejected{ *reason, state_.shedding_.RetryAfter() };
      }
    }
    return Admit(aJob, views_, context_);
  }

  /// Decides whether the next submission is rejected because this owner lacks
  /// processor time.
  std::optional<RejectReason> ShedNext(const WorkspaceId& aWorkspace)
  {
    if (aWorkspace.IsEmpty()) {
      return state_.shedding_.RejectNext()
               ? std::optional{ RejectReason::Overload }
               : std::nullopt;
    }
    WorkspaceShedding& shedding = state_.workspaceShedding_;
    shedding.Count(aWorkspace, context_.now_);
    if (!shedding.RejectNext(aWorkspace)) {
      return std::nullopt;
    }
    return shedding.RejectedShare(aWorkspace) > state_.shedding_.RejectedShare()
             ? RejectReason::WorkspaceOverload
             : RejectReason::Overload;
  }

  // A daemon on a larger VM may have claimed the ownership since the last
  // renewal and may have accepted the job. The store refuses the write then,
  // and the request goes to the successor. The record changes nothing, since no
  // job is stored under this id.
  void RespondUnknownToCanceller(const JobId& aJob)
  {
    const CallerResponse response = UnknownJobResponse(views_, context_);
    if (std::holds_alternative<JobUnknown>(response)) {
      effects_.push_back(Raise{ JournalWriteRequested{
        { JobRemoved{ aJob } }, RequestDecided{ request_.key_, response } } });
    } else {
      Respond(response);
    }
  }

  /// Returns whether the job belongs to another workspace than the caller.
  [[nodiscard]] bool IsHidden(const JobId& aJob) const
  {
    if (const Job* job = state_.Find(aJob); job != nullptr) {
      return !IsVisibleTo(request_.workspace_, job->workspace_);
    }
    const auto ended = state_.endedJobs_.find(aJob);
    return ended != state_.endedJobs_.end() &&
           !IsVisibleTo(request_.workspace_, ended->second.workspace_);
  }

  void RespondUnknown() { Respond(UnknownJobResponse(views_, context_)); }

  void Respond(const CallerResponse& aResponse)
  {
    effects_.push_back(Raise{ RequestDecided{ request_.key_, aResponse } });
  }

  TasksState& state_;
  const Views& views_;
  const OwnerRequestReceived& request_;
  const Context& context_;
  Effects& effects_;
};

} // namespace

// An owner that was replaced without noticing lacks the jobs of its successor,
// so it must not report a job as unknown.
CallerResponse
UnknownJobResponse(const Views& aViews, const Context& aContext)
{
  const Owning* owning = aViews.ownership_.AsOwner();
  if (owning != nullptr &&
      aContext.now_ - owning->renewalSentAt_ < kMaxConfirmationAge) {
    return JobUnknown{};
  }
  return NotOwner{};
}

CallerResponse
StoreUnavailableResponse()
{
  return JobRejected{ RejectReason::StoreUnavailable, kStoreRetryAfter };
}

void
HandleCallerRequest(TasksState& aState,
                    const Views& aViews,
                    const OwnerRequestReceived& aRequest,
                    const Context& aContext,
                    Effects& aEffects)
{
  RequestHandler handler{ aState, aViews, aRequest, aContext, aEffects };
  std::visit(handler, aRequest.action_);
}

void
RespondToSubmitters(TasksState& aState,
                    const JobId& aJob,
                    const CallerResponse& aResponse,
                    Effects& aEffects)
{
  const auto [first, last] = aState.submitters_.equal_range(aJob);
  for (auto entry = first; entry != last; ++entry) {
    aEffects.push_back(Raise{ RequestDecided{ entry->second, aResponse } });
  }
  aState.submitters_.erase(first, last);
}

void
RespondToCancellers(TasksState& aState,
                    const JobId& aJob,
                    const CallerResponse& aResponse,
                    Effects& aEffects)
{
  const auto [first, last] = aState.cancellers_.equal_range(aJob);
  for (auto entry = first; entry != last; ++entry) {
    aEffects.push_back(Raise{ RequestDecided{ entry->second, aResponse } });
  }
  aState.cancellers_.erase(first, last);
}

} // namespace verbenawell::jobs
