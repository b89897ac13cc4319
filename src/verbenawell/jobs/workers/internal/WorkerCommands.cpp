#include "verbenawell/jobs/workers/internal/WorkerCommands.h"

#include "verbenawell/jobs/ownership/OwnershipState.h"
#include "verbenawell/jobs/tasks/TasksState.h"

#include <utility>
#include <variant>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// How long a worker may wait for an end before it responds to a lease renewal.
constexpr Duration kMaxRenewalWait = 1s;
// While the owner's own renewals fail, the lease end stays the same apart from
// the jitter of clock readings, which is smaller than this.
constexpr WorkerTime kMinExtension{ 100 };

} // namespace

void
WorkerCommands::SendRenewal(const WorkerId& aId)
{
  const auto found = state_.workers_.find(aId);
  if (found == state_.workers_.end() || found->second.isRenewing_) {
    return;
  }
  Worker& worker = found->second;
  RenewLease renewal{ aId,
                      worker.entry_.address_,
                      state_.epoch_,
                      worker.incarnation_,
                      worker.acknowledged_,
                      std::nullopt,
                      Duration{} };
  // A lease renewal without a response may still extend the lease, and until
  // the lease expires the runs of a lost worker cannot start elsewhere. So an
  // unresponsive worker is polled without an extension.
  if (worker.lease_.reading_ && !worker.isUnresponsive_) {
    renewal.leaseEnd_ = LeaseEnd(worker);
    worker.lease_.Extend(*renewal.leaseEnd_);
  }
  // The worker would respond at once while ends are unacknowledged.
  if (!worker.runs_.empty() && worker.lastEnd_ == worker.acknowledged_ &&
      worker.hasResponded_) {
    renewal.wait_ = kMaxRenewalWait;
  }
  worker.isRenewing_ = true;
  worker.renewalSentAt_ = context_.now_;
  effects_.push_back(Count{ Counter::LeaseRenewalsSent });
  effects_.push_back(std::move(renewal));
}

WorkerTime
WorkerCommands::LeaseEnd(const Worker& aWorker) const
{
  if (aWorker.isUnresponsive_) {
    return aWorker.lease_.end_;
  }
  const Owning* owning = views_.ownership_.AsOwner();
  return aWorker.lease_.EndFor(owning == nullptr ? state_.takenAt_
                                                 : owning->renewalSentAt_);
}

// A first response, or one after an outage, brings the clock reading that an
// extension needs. The runs may include ended ones that a full list of ends
// leaves out.
bool
WorkerCommands::NeedsLease(const Worker& aWorker) const
{
  const bool isShort =
    aWorker.lease_.expiresAt_ < context_.now_ + kLeaseDuration / 2;
  return !aWorker.runs_.empty() && isShort && aWorker.lease_.reading_ &&
         LeaseEnd(aWorker) >= aWorker.lease_.end_ + kMinExtension;
}

// A successor may have accepted the cancel of a job whose start this daemon has
// stored, and the worker accepts the start if the successor has not reached it.
// A daemon on a larger VM may claim before the confirmation expires, but after
// the renewal, so a start is sent at most 2.5 s after any cancel it accepts.
bool
WorkerCommands::IsOwnershipConfirmed() const
{
  const Owning* owning = views_.ownership_.AsOwner();
  return owning != nullptr && owning->IsConfirmed(context_.now_);
}

void
WorkerCommands::SendStart(Worker& aWorker,
                          const TaskId& aTask,
                          Assignment& aRun,
                          Starting& aStarting)
{
  const Job* job = views_.tasks_.Find(aTask.job_);
  const Task* task = job == nullptr ? nullptr : job->Find(aTask);
  // The next lease check takes an unsent run back, unless its worker has become
  // fit again by then.
  const bool isUnfit =
    aRun.IsUnsent() && !TakesAssignedRuns(aWorker, context_.now_);
  if (isUnfit || task == nullptr || !aWorker.lease_.reading_ ||
      !IsOwnershipConfirmed()) {
    effects_.push_back(
      SetTimer{ CommandRetry{ aWorker.entry_.worker_ }, kWorkerRetryDelay });
    return;
  }
  if (aStarting.hasUnconfirmedStart_) {
    effects_.push_back(Count{ Counter::StartsRepeated });
  }
  aStarting.isInFlight_ = true;
  aRun.startSentAt_ = context_.now_;
  const WorkerTime leaseEnd = LeaseEnd(aWorker);
  aWorker.lease_.Extend(leaseEnd);
  effects_.push_back(
    StartTask{ aWorker.entry_.worker_,
               aWorker.entry_.address_,
               aTask,
               aRun.run_,
               state_.epoch_,
               leaseEnd,
               job->definition_.specification_,
               task->checkpoint_,
               aRun.ticket_,
               aWorker.incarnation_,
               views_.ownership_.AsOwner()->ConfirmedUntil() });
}

void
WorkerCommands::SendStop(const Worker& aWorker,
                         const TaskId& aTask,
                         RunNumber aRun,
                         Stopping& aStopping)
{
  aStopping.isInFlight_ = true;
  ++aStopping.sendCount_;
  effects_.push_back(StopTask{ aWorker.entry_.worker_,
                               aWorker.entry_.address_,
                               aTask,
                               aRun,
                               state_.epoch_,
                               aWorker.incarnation_ });
}

// A command without a response may still be carried out, so it is repeated with
// the same run number until its result is known.
void
WorkerCommands::Resend(const WorkerId& aId)
{
  const auto found = state_.workers_.find(aId);
  if (found == state_.workers_.end()) {
    return;
  }
  // A start command may be repeated only to the incarnation that it was meant
  // for, since its lease end is a time on that incarnation's clock.
  if (found->second.isUnresponsive_) {
    effects_.push_back(SetTimer{ CommandRetry{ aId }, kWorkerRetryDelay });
    return;
  }
  for (auto& [task, run] : found->second.runs_) {
    if (auto* starting = std::get_if<Starting>(&run.phase_);
        starting != nullptr && run.isStored_ && !starting->isInFlight_) {
      SendStart(found->second, task, run, *starting);
    } else if (auto* stopping = std::get_if<Stopping>(&run.phase_);
               stopping != nullptr && !stopping->respondedAt_ &&
               !stopping->isInFlight_) {
      effects_.push_back(Count{ Counter::StopsRepeated });
      SendStop(found->second, task, run.run_, *stopping);
    }
  }
}

} // namespace verbenawell::jobs
