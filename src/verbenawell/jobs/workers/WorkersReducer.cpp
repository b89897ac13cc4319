#include "verbenawell/jobs/workers/WorkersReducer.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/jobs/journal/JournalState.h"
#include "verbenawell/jobs/ownership/OwnershipState.h"
#include "verbenawell/jobs/pools/PoolsState.h"
#include "verbenawell/jobs/tasks/TasksState.h"
#include "verbenawell/jobs/workers/WorkersState.h"
#include "verbenawell/jobs/workers/internal/RestoredWorkers.h"
#include "verbenawell/jobs/workers/internal/WorkerCommands.h"
#include "verbenawell/jobs/workers/internal/WorkerList.h"
#include "verbenawell/jobs/workers/internal/WorkerLoss.h"
#include "verbenawell/jobs/workers/internal/WorkerResponses.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration kListPollInterval = 500ms;
// Interval between reads of the worker list while VMs move. A moved VM is
// unused until its new worker is found in the list.
constexpr Duration kMovePollInterval = 150ms;
// Delay of the next lease renewal. It lets several ends share one renewal,
// since each renewal costs a call.
constexpr Duration kRenewalDelay = 80ms;
// Longest wait for reported ends to be written before the next lease renewal.
constexpr Duration kMaxRenewalDelay = 1s;

class Reducer
{
public:
  Reducer(WorkersState& aState,
          const Views& aViews,
          const Context& aContext,
          Effects& aEffects)
    : state_(aState)
    , views_(aViews)
    , context_(aContext)
    , effects_(aEffects)
    , commands_(aState, aViews, aContext, aEffects)
  {
  }

  void On(const OwnershipTaken& aTaken)
  {
    Clear();
    state_.epoch_ = aTaken.epoch_;
    state_.takenAt_ = context_.now_;
  }

  void On(const OwnershipLost&) { Clear(); }

  void On(const JournalLoaded& aLoaded)
  {
    state_.isActive_ = true;
    RestoreWorkers(state_, views_, aLoaded.records_, context_, effects_);
    effects_.push_back(
      Observe{ LatencyMetric::TakeOver, context_.now_ - state_.takenAt_ });
    effects_.push_back(ReadWorkers{});
    state_.lateness_.Start(context_.now_);
    effects_.push_back(SetTimer{ LeaseTick{}, LatenessMonitor::kInterval });
  }

  void On(const WorkersRead& aRead)
  {
    if (state_.isActive_) {
      ApplyWorkerList(state_, aRead, context_, effects_);
      effects_.push_back(SetTimer{
        WorkerListPoll{},
        views_.pools_.moves_.empty() ? kListPollInterval : kMovePollInterval });
    }
  }

  void On(const WorkersReadFailed&)
  {
    effects_.push_back(Count{ Counter::StoreCallsFailed });
    effects_.push_back(SetTimer{ WorkerListPoll{}, kListPollInterval });
  }

  void On(const WorkersPersisted& aStored)
  {
    for (const WorkerId& id : aStored.workers_) {
      if (const auto found = state_.workers_.find(id);
          found != state_.workers_.end()) {
        found->second.isStored_ = true;
      }
    }
    effects_.push_back(Raise{ CapacityChanged{} });
  }

  void On(const WorkerReported& aReport)
  {
    const Worker* before = state_.Find(aReport.worker_);
    const RunEndNumber previous =
      before == nullptr ? RunEndNumber{} : before->lastEnd_;
    if (!ApplyReport(state_, aReport, context_, effects_)) {
      RemoveIfEnded(state_, aReport.worker_, context_, effects_);
      effects_.push_back(SetTimer{ LeaseRenewal{ aReport.worker_ }, {} });
      return;
    }
    if (RemoveIfEnded(state_, aReport.worker_, context_, effects_)) {
      return;
    }
    if (const Worker* worker = state_.Find(aReport.worker_);
        worker != nullptr) {
      const bool hasEnds = worker->lastEnd_ != previous;
      effects_.push_back(SetTimer{ LeaseRenewal{ aReport.worker_ },
                                   NextRenewalDelay(*worker, hasEnds) });
    }
  }

  void On(const WorkerEnded& aEnded)
  {
    ApplyWorkerEnd(state_, views_, aEnded, context_, effects_);
  }

  void On(const EndsPersisted& aStored)
  {
    const auto found = state_.workers_.find(aStored.worker_);
    if (found != state_.workers_.end() &&
        found->second.incarnation_ == aStored.incarnation_) {
      Worker& worker = found->second;
      worker.acknowledged_ = std::max(worker.acknowledged_, aStored.through_);
      effects_.push_back(
        SetTimer{ LeaseRenewal{ aStored.worker_ }, kRenewalDelay });
    }
  }

  void On(const LeaseRenewalFailed& aFailed)
  {
    effects_.push_back(Count{ Counter::LeaseRenewalsFailed });
    if (const auto found = state_.workers_.find(aFailed.worker_);
        found != state_.workers_.end() && found->second.isRenewing_ &&
        state_.lateness_.WasInTime(found->second.renewalSentAt_,
                                   context_.now_)) {
      found->second.isSilent_ = true;
    }
    RetryRenewal(aFailed.worker_);
  }

  void On(const LeaseRenewalRefused& aRefused)
  {
    if (const auto found = state_.workers_.find(aRefused.worker_);
        found != state_.workers_.end()) {
      found->second.isSilent_ = true;
      if (std::exchange(found->second.loggedRefusal_, aRefused.reason_) !=
          aRefused.reason_) {
        effects_.push_back(LogLine{ LogLevel::Warning,
                                    "hold_refused",
                                    { { "worker", aRefused.worker_.Value() },
                                      { "reason", aRefused.reason_ } } });
      }
    }
    RetryRenewal(aRefused.worker_);
  }

  void On(const StartsDecided& aDecided)
  {
    for (const StartDecision& start : aDecided.starts_) {
      Assign(start);
    }
  }

  void On(const StartsPersisted& aStored)
  {
    for (const StartDecision& start : aStored.starts_) {
      const auto worker = state_.workers_.find(start.worker_);
      if (worker == state_.workers_.end()) {
        continue;
      }
      const auto run = worker->second.runs_.find(start.task_);
      if (run == worker->second.runs_.end() || run->second.run_ != start.run_) {
        continue;
      }
      if (auto* starting = std::get_if<Starting>(&run->second.phase_)) {
        run->second.isStored_ = true;
        commands_.SendStart(
          worker->second, start.task_, run->second, *starting);
      }
    }
  }

  void On(const StopDecided& aStop)
  {
    const auto found = state_.workers_.find(aStop.worker_);
    if (found == state_.workers_.end()) {
      return;
    }
    const auto [entry, isUnknownRun] =
      found->second.runs_.try_emplace(aStop.task_);
    Assignment& run = entry->second;
    if (isUnknownRun) {
      run.run_ = aStop.run_;
      run.isUnknownRun_ = true;
    } else if (run.run_ != aStop.run_ ||
               std::holds_alternative<Stopping>(run.phase_)) {
      return;
    }
    auto& stopping = run.phase_.emplace<Stopping>();
    stopping.requestedAt_ = context_.now_;
    effects_.push_back(Count{ Counter::StopCommandsSent });
    effects_.push_back(LogLine{ LogLevel::Info,
                                "task_stop",
                                { { "task", ToString(aStop.task_) },
                                  { "run", std::to_string(aStop.run_.Value()) },
                                  { "worker", aStop.worker_.Value() },
                                  { "reason", aStop.reason_ } } });
    commands_.SendStop(found->second, aStop.task_, run.run_, stopping);
  }

  void On(const StartCommandCompleted& aCompletion)
  {
    ApplyStartCompletion(state_, aCompletion, context_, effects_);
  }

  void On(const StopCommandCompleted& aCompletion)
  {
    ApplyStopCompletion(state_, aCompletion, context_, effects_);
  }

  void On(const TimerDue& aDue)
  {
    if (!state_.isActive_) {
      return;
    }
    std::visit(
      Overloaded{
        [&](const WorkerListPoll&) { effects_.push_back(ReadWorkers{}); },
        [&](const LeaseRenewal& aKey) { commands_.SendRenewal(aKey.worker_); },
        [&](const CommandRetry& aKey) { commands_.Resend(aKey.worker_); },
        [&](const LeaseTick&) {
          state_.lateness_.Tick(context_.now_);
          CheckLeases(state_, context_, effects_);
          CheckEndedWorkers(state_, context_, effects_);
          effects_.push_back(
            SetTimer{ LeaseTick{}, LatenessMonitor::kInterval });
        },
        [](const auto&) {} },
      aDue.key_);
  }

  template<typename Other>
  void On(const Other&)
  {
  }

private:
  void Clear()
  {
    for (const auto& [id, worker] : state_.workers_) {
      effects_.push_back(DisconnectWorker{ id });
    }
    state_ = {};
  }

  [[nodiscard]] Duration NextRenewalDelay(const Worker& aWorker,
                                          bool aHasNewEnds) const
  {
    if (commands_.NeedsLease(aWorker)) {
      return {};
    }
    if (aHasNewEnds) {
      return kMaxRenewalDelay;
    }
    return aWorker.runs_.empty() ? kIdleRenewalDelay : kRenewalDelay;
  }

  void RetryRenewal(const WorkerId& aWorker)
  {
    if (const auto found = state_.workers_.find(aWorker);
        found != state_.workers_.end()) {
      Worker& worker = found->second;
      worker.isRenewing_ = false;
      if (RemoveIfEnded(state_, aWorker, context_, effects_)) {
        return;
      }
      worker.silentSince_ = worker.silentSince_.value_or(context_.now_);
      if (!std::exchange(worker.isUnresponsive_, true)) {
        LogWorker("worker_silent", worker, effects_);
      }
      effects_.push_back(
        SetTimer{ LeaseRenewal{ aWorker }, kWorkerRetryDelay });
    }
  }

  void Assign(const StartDecision& aStart)
  {
    Worker& worker = state_.workers_.at(aStart.worker_);
    const bool wasIdle = worker.runs_.empty();
    Assignment run;
    run.run_ = aStart.run_;
    run.resources_ = aStart.resources_;
    run.isLongRunning_ = aStart.isLongRunning_;
    run.ticket_ = aStart.ticket_;
    run.startedAt_ = context_.now_;
    run.incarnation_ = worker.incarnation_;
    run.quota_ = aStart.quota_;
    AddRun(state_, worker, aStart.task_, std::move(run));
    effects_.push_back(Count{ Counter::TasksStarted });
    effects_.push_back(
      LogLine{ LogLevel::Info,
               "task_start",
               { { "task", ToString(aStart.task_) },
                 { "run", std::to_string(aStart.run_.Value()) },
                 { "worker", aStart.worker_.Value() },
                 { "epoch", std::to_string(state_.epoch_.Value()) } } });
    if (wasIdle) {
      effects_.push_back(
        SetTimer{ LeaseRenewal{ aStart.worker_ }, kRenewalDelay });
    }
  }

  WorkersState& state_;
  const Views& views_;
  const Context& context_;
  Effects& effects_;
  WorkerCommands commands_;
};

} // namespace

void
ReduceWorkers(WorkersState& aState,
              const Views& aViews,
              const Event& aEvent,
              const Context& aContext,
              Effects& aEffects)
{
  Reducer reducer{ aState, aViews, aContext, aEffects };
  std::visit([&](const auto& aKnown) { reducer.On(aKnown); }, aEvent);
}

} // namespace verbenawell::jobs
