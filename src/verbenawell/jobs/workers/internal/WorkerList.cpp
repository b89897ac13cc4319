#include "verbenawell/jobs/workers/internal/WorkerList.h"

#include "verbenawell/jobs/workers/WorkersState.h"

#include <algorithm>
#include <utility>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// Entries that lapsed while the store was away come back within 2 s.
constexpr Duration kUnlistedRetention = 3s;

void
AddOrUpdateWorker(WorkersState& aState,
                  const WorkerEntry& aEntry,
                  const Context& aContext,
                  Effects& aEffects)
{
  const auto [found, isNew] = aState.workers_.try_emplace(aEntry.worker_);
  Worker& worker = found->second;
  if (!isNew && aEntry.born_ > worker.born_ && worker.born_ != BirthTime{}) {
    StartNewIncarnation(worker, aEntry.born_, aContext, aEffects);
  }
  const bool wasDraining = worker.entry_.draining_;
  worker.entry_ = aEntry;
  worker.isListed_ = true;
  worker.listedAt_ = aContext.now_;
  if (isNew) {
    worker.born_ = aEntry.born_;
    // An entry that stays behind its worker, or names the address of another
    // one, is listed anew after each proof that its worker has ended.
    if (!aState.ended_.contains(aEntry.worker_)) {
      LogWorker("worker_listed", worker, aEffects);
    }
    aEffects.push_back(SetTimer{ WorkerHold{ aEntry.worker_ }, {} });
  } else if (aEntry.draining_ && !wasDraining) {
    LogWorker("worker_draining", worker, aEffects);
  }
}

void
RemoveGoneWorkers(WorkersState& aState,
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
    aEffects.push_back(ForgetWorker{ entry->first });
    entry = aState.workers_.erase(entry);
  }
}

// A successor must know of every worker that may hold a lease.
void
StoreNewWorkers(WorkersState& aState, Effects& aEffects)
{
  WorkersStored stored;
  WorkersSaved persisted;
  bool hasNew = false;
  for (const auto& [id, worker] : aState.workers_) {
    stored.workers_.push_back(
      { id, worker.entry_.service_, worker.entry_.address_ });
    persisted.workers_.push_back(id);
    // One that has ended gets no orders until it answers again.
    hasNew = hasNew || (!worker.isStored_ &&
                        (worker.isKnown_ || !aState.ended_.contains(id)));
  }
  if (hasNew) {
    aEffects.push_back(
      Raise{ SaveWanted{ { std::move(stored) }, std::move(persisted) } });
  }
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
               { "born", std::to_string(aWorker.born_.Value()) },
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
    // A worker that has ended may be listed for a while, or live again under
    // its id; it gets no tasks until it answers.
    AddOrUpdateWorker(aState, entry, aContext, aEffects);
  }
  RemoveGoneWorkers(aState, aContext, aEffects);
  StoreNewWorkers(aState, aEffects);
}

void
StartNewIncarnation(Worker& aWorker,
                    BirthTime aIncarnation,
                    const Context& aContext,
                    Effects& aEffects)
{
  aWorker.born_ = aIncarnation;
  LogWorker("worker_reborn", aWorker, aEffects);
  // A start may have reached the new life, or may reach it yet, also where a
  // repeat was answered; a stop that the new life answers settles that, while
  // an answer of the old life tells nothing. Of the other runs the next list
  // shows the end.
  for (auto& [task, run] : aWorker.runs_) {
    if (auto* stopping = std::get_if<Stopping>(&run.phase_)) {
      stopping->isInFlight_ = false;
      stopping->answeredAt_.reset();
    } else if (auto* present = std::get_if<Present>(&run.phase_);
               present != nullptr && !present->hasUnconfirmedStart_) {
      present->presentSince_ = aContext.now_;
    } else if (run.isStored_) {
      run.phase_.emplace<Stopping>().requestedAt_ = aContext.now_;
    }
  }
  aEffects.push_back(
    SetTimer{ OrderRetry{ aWorker.entry_.worker_ }, Duration{} });
  aWorker.lastListedEnd_ = EndNumber{};
  aWorker.acknowledged_ = EndNumber{};
  aWorker.isKnown_ = false;
  aWorker.lease_.reading_.reset();
  // Orders that reached the new life named times of the old clock.
  aWorker.lease_.expiresAt_ = std::max(
    aWorker.lease_.expiresAt_, LatestExpiry(aContext.now_, kMaxLeaseDuration));
  aWorker.lease_.end_ = WorkerTime{};
  aEffects.push_back(SetTimer{ WorkerHold{ aWorker.entry_.worker_ }, {} });
}

void
MarkRunLost(Worker& aWorker,
            const TaskId& aTask,
            const char* aReason,
            Effects& aEffects)
{
  // The node keeps the id alive where the caller's reference is its key.
  const auto node = aWorker.runs_.extract(aTask);
  const Assignment& run = node.mapped();
  aWorker.used_ -= run.room_;
  aEffects.push_back(LogLine{ LogLevel::Warning,
                              "run_lost",
                              { { "task", ToString(node.key()) },
                                { "run", std::to_string(run.run_.Value()) },
                                { "worker", aWorker.entry_.worker_.Value() },
                                { "reason", aReason } } });
  aEffects.push_back(
    Raise{ RunLost{ aWorker.entry_.worker_, node.key(), run.run_, aReason } });
}

void
MarkAllRunsLost(Worker& aWorker, const char* aReason, Effects& aEffects)
{
  while (!aWorker.runs_.empty()) {
    MarkRunLost(aWorker, aWorker.runs_.begin()->first, aReason, aEffects);
  }
}

} // namespace verbenawell::jobs
