#include "verbenawell/jobs/workers/internal/WorkerLoss.h"

#include "verbenawell/jobs/workers/WorkersState.h"
#include "verbenawell/jobs/workers/internal/WorkerCrash.h"
#include "verbenawell/jobs/workers/internal/WorkerList.h"

#include <vector>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// A report that a worker sent before its end arrives within this time, unless
// this daemon is late.
constexpr Duration kMaxLastReportDelay = 300ms;
// The platform's list drops a worker after several seconds of silence. One that
// stays out of it for this long has ended.
constexpr Duration kMaxUnlistedTime = 3s;

// A late daemon may learn of the end of a worker before it reads the worker's
// last response. The ends in that response are handled first.
bool
AwaitsLastReport(const WorkersState& aState,
                 const Worker& aWorker,
                 TimePoint aNow)
{
  return aWorker.isRenewing_ && !aWorker.runs_.empty() &&
         (aNow - *aWorker.endKnownAt_ < kMaxLastReportDelay ||
          !aState.lateness_.WasInTime(*aWorker.endKnownAt_, aNow));
}

// A worker that was not seen to be silent may have listed ends in a response
// that this daemon has not read yet.
bool
MayHaveUnreadResponse(const WorkersState& aState,
                      const Worker& aWorker,
                      TimePoint aNow)
{
  if (!aWorker.isListed_ && aNow - aWorker.listedAt_ >= kMaxUnlistedTime) {
    return false;
  }
  return !aWorker.isSilent_ ||
         (aWorker.isRenewing_ && !aState.lateness_.WasInTime(aNow, aNow));
}

// A start command without a response may have started the run in an
// incarnation whose clock is unknown. Such a run has a lease of
// `kMaxLeaseDuration` at most.
void
MarkExpiredRunsLost(Worker& aWorker,
                    TimePoint aNow,
                    QuotaUsage& aUsage,
                    Effects& aEffects)
{
  std::vector<TaskId> expired;
  for (const auto& [task, run] : aWorker.runs_) {
    const bool isCoveredByLease = run.AcknowledgedAt() || !run.isStored_;
    if (isCoveredByLease ||
        aNow >= LatestExpiry(run.startSentAt_, kMaxLeaseDuration)) {
      expired.push_back(task);
    }
  }
  for (const TaskId& task : expired) {
    MarkRunLost(aWorker, task, LossCause::LeaseExpired, aUsage, aEffects);
  }
}

// A start command may wait for the store for any time. A run without one needs
// no lease to end, so it can start elsewhere at once.
void
TakeBackUnsentRuns(Worker& aWorker, QuotaUsage& aUsage, Effects& aEffects)
{
  std::vector<TaskId> unsent;
  for (const auto& [task, run] : aWorker.runs_) {
    if (run.IsUnsent()) {
      unsent.push_back(task);
    }
  }
  for (const TaskId& task : unsent) {
    MarkRunLost(aWorker, task, LossCause::StartNotSent, aUsage, aEffects);
  }
}

} // namespace

void
ApplyWorkerEnd(WorkersState& aState,
               const Views& aViews,
               const WorkerEnded& aEnded,
               const Context& aContext,
               Effects& aEffects)
{
  const auto found = aState.workers_.find(aEnded.worker_);
  if (found == aState.workers_.end() || found->second.endKnownAt_) {
    return;
  }
  aState.endedWorkers_.insert(aEnded.worker_);
  Worker& worker = found->second;
  worker.endKnownAt_ = aContext.now_;
  worker.hasCrashed_ = HasEndedByItself(worker, aEnded, aViews);
  worker.hasResponded_ = false;
  worker.isUnresponsive_ = true;
  worker.silentSince_ = worker.silentSince_.value_or(aContext.now_);
  RemoveIfEnded(aState, aEnded.worker_, aContext, aEffects);
}

bool
RemoveIfEnded(WorkersState& aState,
              const WorkerId& aWorker,
              const Context& aContext,
              Effects& aEffects)
{
  const auto found = aState.workers_.find(aWorker);
  if (found == aState.workers_.end() || !found->second.endKnownAt_ ||
      AwaitsLastReport(aState, found->second, aContext.now_)) {
    return false;
  }
  if (found->second.hasCrashed_) {
    ReportCrash(found->second, std::nullopt, aContext, aEffects);
  }
  MarkAllRunsLost(
    found->second, LossCause::WorkerEnded, aState.quotaUsage_, aEffects);
  aEffects.push_back(DisconnectWorker{ found->first });
  aState.workers_.erase(found);
  return true;
}

void
CheckEndedWorkers(WorkersState& aState,
                  const Context& aContext,
                  Effects& aEffects)
{
  for (auto entry = aState.workers_.begin(); entry != aState.workers_.end();) {
    const auto current = entry++;
    if (current->second.endKnownAt_) {
      RemoveIfEnded(aState, current->first, aContext, aEffects);
    }
  }
}

void
CheckLeases(WorkersState& aState, const Context& aContext, Effects& aEffects)
{
  const TimePoint now = aContext.now_;
  for (auto& [id, worker] : aState.workers_) {
    if (!TakesAssignedRuns(worker, now)) {
      TakeBackUnsentRuns(worker, aState.quotaUsage_, aEffects);
    }
    // A response after the end of the lease settles the runs of then, not those
    // that were assigned later or whose ends a full list left out.
    if (now >= worker.lease_.expiresAt_ &&
        !MayHaveUnreadResponse(aState, worker, now)) {
      MarkExpiredRunsLost(worker, now, aState.quotaUsage_, aEffects);
    }
  }
}

} // namespace verbenawell::jobs
