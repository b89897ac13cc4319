#include "verbenawell/jobs/workers/internal/WorkerList.h"

#include "verbenawell/jobs/workers/WorkersState.h"
#include "verbenawell/jobs/workers/internal/WorkerCrash.h"

#include <algorithm>
#include <utility>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// Time for which a worker without an entry in the list is kept. Entries that
// expired while the store was unavailable are listed again within 2 s of its
// return.
constexpr Duration kUnlistedRetention = 3s;

void
AddOrUpdateWorker(WorkersState& aState,
                  const WorkerEntry& aEntry,
                  const Context& aContext,
                  Effects& aEffects)
{
  const auto [found, isNew] = aState.workers_.try_emplace(aEntry.worker_);
  Worker& worker = found->second;
  if (worker.incarnation_ == WorkerIncarnation{}) {
    // A worker known from the journal may have a new incarnation before it
    // responds, whose leases may have any permitted length.
    LearnIncarnation(worker, aEntry.incarnation_, aContext, aEffects);
  } else if (aEntry.incarnation_ > worker.highestIncarnation_) {
    // The list may be seconds old, so an incarnation that may be a former one
    // needs the proof of a report.
    StartNewIncarnation(worker, aEntry.incarnation_, aContext, aEffects);
  }
  const bool wasDraining = worker.entry_.draining_;
  worker.entry_ = aEntry;
  worker.isListed_ = true;
  worker.listedAt_ = aContext.now_;
  if (isNew) {
    // An entry that outlasts its worker, or that names the address of another
    // worker, is added again after each proof that its worker has ended; it is
    // not logged again.
    if (!aState.endedWorkers_.contains(aEntry.worker_)) {
      LogWorker("worker_listed", worker, aEffects);
    }
    aEffects.push_back(SetTimer{ LeaseRenewal{ aEntry.worker_ }, {} });
  } else if (aEntry.draining_ && !wasDraining) {
    LogWorker("worker_draining", worker, aEffects);
  }
}

void
RemoveEndedWorkers(WorkersState& aState,
                   const Context& aContext,
                   Effects& aEffects)
{
  for (auto entry = aState.workers_.begin(); entry != aState.workers_.end();) {
    Worker& worker = entry->second;
    if (worker.isListed_ ||
        aContext.now_ - worker.listedAt_ < kUnlistedRetention ||
        !worker.runs_.empty() || aContext.now_ < worker.lease_.expiresAt_) {
      ++entry;
      continue;
    }
    LogWorker("worker_gone", worker, aEffects);
    aEffects.push_back(DisconnectWorker{ entry->first });
    entry = aState.workers_.erase(entry);
  }
}

// A successor must know of every worker that may hold a lease.
void
StoreNewWorkers(WorkersState& aState, Effects& aEffects)
{
  const bool hasNew =
    std::ranges::any_of(aState.workers_, [&](const auto& aEntry) {
      const auto& [id, worker] = aEntry;
      // A worker that has ended gets no commands until it responds again.
      return !worker.isStored_ &&
             (worker.hasResponded_ || !aState.endedWorkers_.contains(id));
    });
  if (!hasNew) {
    return;
  }
  WorkersStored stored;
  WorkersPersisted persisted;
  for (const auto& [id, worker] : aState.workers_) {
    stored.workers_.push_back(
      { id, worker.entry_.service_, worker.entry_.address_ });
    persisted.workers_.push_back(id);
  }
  aEffects.push_back(Raise{
    JournalWriteRequested{ { std::move(stored) }, std::move(persisted) } });
}

} // namespace

void
LogWorker(const char* aEvent, const Worker& aWorker, Effects& aEffects)
{
  aEffects.push_back(
    LogLine{ LogLevel::Info,
             aEvent,
             { { "worker", aWorker.entry_.worker_.Value() },
               { "service", aWorker.entry_.service_.Value() },
               { "born", std::to_string(aWorker.incarnation_.Value()) },
               { "runs", std::to_string(aWorker.runs_.size()) } } });
}

void
ApplyWorkerList(WorkersState& aState,
                const WorkersRead& aRead,
                const Context& aContext,
                Effects& aEffects)
{
  for (auto& [id, worker] : aState.workers_) {
    worker.isListed_ = false;
  }
  for (const WorkerEntry& entry : aRead.workers_) {
    // A worker that has ended may stay listed for a while or return under its
    // id. It gets no tasks until it responds.
    AddOrUpdateWorker(aState, entry, aContext, aEffects);
  }
  RemoveEndedWorkers(aState, aContext, aEffects);
  StoreNewWorkers(aState, aEffects);
}

void
SetIncarnation(Worker& aWorker, WorkerIncarnation aIncarnation, TimePoint aNow)
{
  aWorker.incarnation_ = aIncarnation;
  aWorker.incarnationKnownSince_ = aNow;
  aWorker.highestIncarnation_ =
    std::max(aWorker.highestIncarnation_, aIncarnation);
}

void
LearnIncarnation(Worker& aWorker,
                 WorkerIncarnation aIncarnation,
                 const Context& aContext,
                 Effects& aEffects)
{
  const bool hasRunsOfEarlier =
    std::ranges::any_of(aWorker.runs_, [&](const auto& aRun) {
      const WorkerIncarnation started = aRun.second.incarnation_;
      return started != WorkerIncarnation{} && started < aIncarnation;
    });
  if (hasRunsOfEarlier) {
    ReportCrash(aWorker, std::nullopt, aContext, aEffects);
  }
  SetIncarnation(aWorker, aIncarnation, aContext.now_);
}

void
StartNewIncarnation(Worker& aWorker,
                    WorkerIncarnation aIncarnation,
                    const Context& aContext,
                    Effects& aEffects)
{
  if (!aWorker.entry_.draining_) {
    ReportCrash(aWorker, aIncarnation, aContext, aEffects);
  }
  SetIncarnation(aWorker, aIncarnation, aContext.now_);
  LogWorker("worker_reborn", aWorker, aEffects);
  // An unconfirmed start command may have reached the new incarnation or may
  // still reach it, even if a repetition was confirmed, so the run is stopped.
  // Only a response of the new incarnation to the stop settles this; a response
  // of the old one proves nothing. The other runs are missing from the next
  // report and are then lost.
  for (auto& [task, run] : aWorker.runs_) {
    if (auto* stopping = std::get_if<Stopping>(&run.phase_)) {
      stopping->isInFlight_ = false;
      stopping->respondedAt_.reset();
    } else if (auto* present = std::get_if<Present>(&run.phase_);
               present != nullptr && !present->hasUnconfirmedStart_) {
      present->presentSince_ = aContext.now_;
    } else if (run.isStored_) {
      run.phase_.emplace<Stopping>().requestedAt_ = aContext.now_;
    }
  }
  aEffects.push_back(
    SetTimer{ CommandRetry{ aWorker.entry_.worker_ }, Duration{} });
  aWorker.lastEnd_ = RunEndNumber{};
  aWorker.acknowledged_ = RunEndNumber{};
  aWorker.hasResponded_ = false;
  aWorker.isSilent_ = false;
  aWorker.lease_.reading_.reset();
  // Commands that reached the new incarnation named lease ends on the clock of
  // the old one, so their leases may have any permitted length.
  aWorker.lease_.expiresAt_ = std::max(
    aWorker.lease_.expiresAt_, LatestExpiry(aContext.now_, kMaxLeaseDuration));
  aWorker.lease_.end_ = WorkerTime{};
  aEffects.push_back(SetTimer{ LeaseRenewal{ aWorker.entry_.worker_ }, {} });
}

void
MarkRunLost(Worker& aWorker,
            const TaskId& aTask,
            LossReason aReason,
            QuotaUsage& aUsage,
            Effects& aEffects)
{
  // The extracted node keeps the id alive if `aTask` refers to its key.
  const auto node = aWorker.runs_.extract(aTask);
  const Assignment& run = node.mapped();
  if (run.hasCrashed_) {
    aReason = LossCause::WorkerCrashed;
  }
  aWorker.used_ -= run.resources_;
  aUsage.Remove(run.quota_);
  aEffects.push_back(
    LogLine{ LogLevel::Warning,
             "run_lost",
             { { "task", ToString(node.key()) },
               { "run", std::to_string(run.run_.Value()) },
               { "worker", aWorker.entry_.worker_.Value() },
               { "reason", std::string(ToString(aReason)) } } });
  aEffects.push_back(
    Raise{ RunLost{ aWorker.entry_.worker_, node.key(), run.run_, aReason } });
}

void
MarkAllRunsLost(Worker& aWorker,
                LossReason aReason,
                QuotaUsage& aUsage,
                Effects& aEffects)
{
  while (!aWorker.runs_.empty()) {
    MarkRunLost(
      aWorker, aWorker.runs_.begin()->first, aReason, aUsage, aEffects);
  }
}

} // namespace verbenawell::jobs
