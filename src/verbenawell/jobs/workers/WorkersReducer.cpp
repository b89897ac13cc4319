#include "verbenawell/jobs/workers/WorkersReducer.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/jobs/journal/JournalState.h"
#include "verbenawell/jobs/ownership/OwnershipState.h"
#include "verbenawell/jobs/pools/PoolsState.h"
#include "verbenawell/jobs/tasks/TasksState.h"
#include "verbenawell/jobs/workers/WorkersState.h"
#include "verbenawell/jobs/workers/internal/WorkerAnswers.h"
#include "verbenawell/jobs/workers/internal/WorkerList.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration kListPoll = 500ms;
// A VM that moves is waited for, and its new worker is known from the list.
constexpr Duration kListPollDuringMoves = 150ms;
constexpr Duration kLeaseTick = 200ms;
// How long a worker waits for an end before it answers a hold.
constexpr Duration kHoldWait = 1s;
// Lets further ends gather, since each hold is priced.
constexpr Duration kHoldGap = 80ms;
// An idle worker is asked rarely: only its clock and its life matter.
constexpr Duration kIdleHold = 2s;
constexpr Duration kHoldRetry = 100ms;
// A hold goes out at the latest after this long without stored ends.
constexpr Duration kUnsavedHold = 1s;

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
    for (const JournalRecord& record : aLoaded.records_) {
      if (const auto* stored = std::get_if<WorkersStored>(&record)) {
        for (const StoredWorker& worker : stored->workers_) {
          Inherit(worker);
        }
      }
    }
    InheritRuns();
    effects_.push_back(
      Observe{ LatencyMetric::TakeOver, context_.now_ - state_.takenAt_ });
    effects_.push_back(ReadWorkers{});
    effects_.push_back(SetTimer{ LeaseTick{}, kLeaseTick });
  }

  void On(const WorkersRead& aRead)
  {
    if (state_.isActive_) {
      ApplyList(state_, aRead, context_, effects_);
      effects_.push_back(SetTimer{
        WorkerListPoll{},
        views_.pools_.moves_.empty() ? kListPoll : kListPollDuringMoves });
    }
  }

  void On(const WorkersReadFailed&)
  {
    effects_.push_back(Count{ Counter::StoreCallsFailed });
    effects_.push_back(SetTimer{ WorkerListPoll{}, kListPoll });
  }

  void On(const WorkersSaved& aSaved)
  {
    for (const WorkerId& id : aSaved.workers_) {
      if (const auto found = state_.workers_.find(id);
          found != state_.workers_.end()) {
        found->second.isStored_ = true;
      }
    }
    effects_.push_back(Raise{ RoomChanged{} });
  }

  void On(const WorkerLists& aLists)
  {
    const Worker* before = state_.Find(aLists.worker_);
    const EndNumber seen = before == nullptr ? EndNumber{} : before->seen_;
    ApplyLists(state_, aLists, context_, effects_);
    if (const Worker* worker = state_.Find(aLists.worker_); worker != nullptr) {
      const bool hasEnds = worker->seen_ != seen;
      effects_.push_back(
        SetTimer{ WorkerHold{ aLists.worker_ },
                  hasEnds ? kUnsavedHold : NextHold(*worker, aLists) });
    }
  }

  void On(const WorkerEnded& aEnded)
  {
    const auto found = state_.workers_.find(aEnded.worker_);
    if (found == state_.workers_.end()) {
      return;
    }
    LoseAllRuns(found->second, "its worker has ended", effects_);
    effects_.push_back(ForgetWorker{ aEnded.worker_ });
    state_.ended_.insert(aEnded.worker_);
    state_.workers_.erase(found);
  }

  void On(const EndsSaved& aSaved)
  {
    const auto found = state_.workers_.find(aSaved.worker_);
    if (found != state_.workers_.end() && found->second.born_ == aSaved.born_) {
      Worker& worker = found->second;
      worker.acknowledged_ = std::max(worker.acknowledged_, aSaved.through_);
      effects_.push_back(SetTimer{ WorkerHold{ aSaved.worker_ }, kHoldGap });
    }
  }

  void On(const HoldFailed& aFailed)
  {
    effects_.push_back(Count{ Counter::HoldsFailed });
    RepeatHold(aFailed.worker_);
  }

  void On(const HoldRefused& aRefused)
  {
    const auto found = state_.workers_.find(aRefused.worker_);
    if (found != state_.workers_.end() &&
        std::exchange(found->second.refusal_, aRefused.reason_) !=
          aRefused.reason_) {
      effects_.push_back(LogLine{ LogLevel::Warning,
                                  "hold_refused",
                                  { { "worker", aRefused.worker_.Value() },
                                    { "reason", aRefused.reason_ } } });
    }
    RepeatHold(aRefused.worker_);
  }

  void On(const StartsDecided& aDecided)
  {
    for (const StartDecision& start : aDecided.starts_) {
      Assign(start);
    }
  }

  void On(const StartsSaved& aSaved)
  {
    for (const StartDecision& start : aSaved.starts_) {
      const auto worker = state_.workers_.find(start.worker_);
      if (worker == state_.workers_.end()) {
        continue;
      }
      const auto run = worker->second.runs_.find(start.task_);
      if (run == worker->second.runs_.end() || run->second.run_ != start.run_ ||
          run->second.phase_ != RunPhase::Ordered) {
        continue;
      }
      run->second.isStored_ = true;
      SendStart(worker->second, start.task_, run->second);
    }
  }

  void On(const StopDecided& aStop)
  {
    const auto found = state_.workers_.find(aStop.worker_);
    if (found == state_.workers_.end()) {
      return;
    }
    const auto [entry, isStranger] =
      found->second.runs_.try_emplace(aStop.task_);
    Assignment& run = entry->second;
    if (isStranger) {
      run.run_ = aStop.run_;
      run.isStranger_ = true;
    } else if (run.run_ != aStop.run_ || run.phase_ == RunPhase::Stopping) {
      return;
    }
    run.phase_ = RunPhase::Stopping;
    run.answeredAt_.reset();
    effects_.push_back(Count{ Counter::StopsOrdered });
    effects_.push_back(LogLine{ LogLevel::Info,
                                "task_stop",
                                { { "task", ToString(aStop.task_) },
                                  { "run", std::to_string(aStop.run_.Value()) },
                                  { "worker", aStop.worker_.Value() },
                                  { "reason", aStop.reason_ } } });
    SendStop(found->second, aStop.task_, run);
  }

  void On(const StartAnswered& aAnswer)
  {
    ApplyStartAnswer(state_, aAnswer, context_, effects_);
  }

  void On(const StopAnswered& aAnswer)
  {
    ApplyStopAnswer(state_, aAnswer, context_, effects_);
  }

  void On(const TimerDue& aDue)
  {
    if (!state_.isActive_) {
      return;
    }
    std::visit(
      Overloaded{
        [&](const WorkerListPoll&) { effects_.push_back(ReadWorkers{}); },
        [&](const WorkerHold& aHold) { Hold(aHold.worker_); },
        [&](const OrderRetry& aRetry) { RepeatOrders(aRetry.worker_); },
        [&](const LeaseTick&) { CheckLeases(); },
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
      effects_.push_back(ForgetWorker{ id });
    }
    state_ = {};
  }

  void Inherit(const StoredWorker& aStored)
  {
    Worker& worker = state_.workers_[aStored.worker_];
    worker.entry_.worker_ = aStored.worker_;
    worker.entry_.service_ = aStored.service_;
    worker.entry_.address_ = aStored.address_;
    worker.isStored_ = true;
    worker.listedAt_ = context_.now_;
    worker.lease_.overAt_ = LapseOf(state_.takenAt_, kLeaseTime);
    effects_.push_back(SetTimer{ WorkerHold{ aStored.worker_ }, {} });
  }

  // The first list of each worker is asked for under the new epoch, so a run
  // that it lacks cannot start any more.
  void InheritRuns()
  {
    for (const auto& [id, job] : views_.tasks_.jobs_) {
      for (const auto& [task, placed] : PlacedTasks(job)) {
        const auto worker = state_.workers_.find(placed.worker_);
        if (worker == state_.workers_.end()) {
          effects_.push_back(Raise{ RunLost{
            placed.worker_, task, placed.run_, "its worker is not known" } });
          continue;
        }
        Assignment run;
        run.run_ = placed.run_;
        const Step& step = job.definition_.steps_[task.step_.Value()];
        run.room_ = RoomOnWorker(step);
        run.isLongRunning_ = step.longRunning_;

        run.phase_ = RunPhase::Running;
        run.isStored_ = true;
        run.answeredAt_ = state_.takenAt_;
        worker->second.used_ += run.room_;
        worker->second.runs_.emplace(task, std::move(run));
      }
    }
  }

  Duration NextHold(const Worker& aWorker, const WorkerLists& aLists) const
  {
    // The first answer gives the clock that a lease needs.
    const bool needsLease =
      !aLists.running_.empty() &&
      aWorker.lease_.overAt_ < context_.now_ + kLeaseTime / 2;
    if (needsLease) {
      return {};
    }
    return aWorker.runs_.empty() ? kIdleHold : kHoldGap;
  }

  void RepeatHold(const WorkerId& aWorker)
  {
    if (const auto found = state_.workers_.find(aWorker);
        found != state_.workers_.end()) {
      found->second.isHolding_ = false;
      found->second.isSilent_ = true;
      effects_.push_back(SetTimer{ WorkerHold{ aWorker }, kHoldRetry });
    }
  }

  void Hold(const WorkerId& aId)
  {
    const auto found = state_.workers_.find(aId);
    if (found == state_.workers_.end() || found->second.isHolding_) {
      return;
    }
    Worker& worker = found->second;
    HoldWorker hold{
      aId,
      worker.entry_.address_,
      state_.epoch_, // A silent worker may have a new life, whose ends
      // have numbers of their own.
      worker.isSilent_ ? EndNumber{} : worker.acknowledged_,
      std::nullopt,
      Duration{}
    };
    // A hold without an answer may still extend the lease, which keeps the
    // runs of a lost worker from starting elsewhere; so a silent worker is only
    // asked.
    if (worker.lease_.reading_ && !worker.isSilent_) {
      hold.leaseEnd_ = LeaseEnd(worker);
      worker.lease_.Extend(*hold.leaseEnd_);
    }
    // Ends that are not acknowledged would be listed at once.
    if (!worker.runs_.empty() && worker.seen_ == worker.acknowledged_ &&
        worker.isKnown_) {
      hold.wait_ = kHoldWait;
    }
    worker.isHolding_ = true;
    effects_.push_back(Count{ Counter::HoldsSent });
    effects_.push_back(std::move(hold));
  }

  [[nodiscard]] WorkerTime LeaseEnd(const Worker& aWorker) const
  {
    if (aWorker.isSilent_) {
      return aWorker.lease_.end_;
    }
    const Owning* owning = views_.ownership_.AsOwner();
    return aWorker.lease_.EndFor(owning == nullptr ? state_.takenAt_
                                                   : owning->confirmedAt_);
  }

  void Assign(const StartDecision& aStart)
  {
    Worker& worker = state_.workers_.at(aStart.worker_);
    const bool wasIdle = worker.runs_.empty();
    Assignment& run = worker.runs_[aStart.task_];
    run = Assignment{};
    run.run_ = aStart.run_;
    run.room_ = aStart.room_;
    run.isLongRunning_ = aStart.isLongRunning_;

    run.ticket_ = aStart.ticket_;
    worker.used_ += run.room_;
    effects_.push_back(Count{ Counter::TasksStarted });
    effects_.push_back(
      LogLine{ LogLevel::Info,
               "task_start",
               { { "task", ToString(aStart.task_) },
                 { "run", std::to_string(aStart.run_.Value()) },
                 { "worker", aStart.worker_.Value() },
                 { "epoch", std::to_string(state_.epoch_.Value()) } } });
    if (wasIdle) {
      effects_.push_back(SetTimer{ WorkerHold{ aStart.worker_ }, kHoldGap });
    }
  }

  void SendStart(Worker& aWorker, const TaskId& aTask, Assignment& aRun)
  {
    const Job* job = views_.tasks_.Find(aTask.job_);
    const Task* task = job == nullptr ? nullptr : job->Find(aTask);
    if (task == nullptr || !aWorker.lease_.reading_) {
      effects_.push_back(
        SetTimer{ OrderRetry{ aWorker.entry_.worker_ }, kHoldRetry });
      return;
    }
    aRun.isSending_ = true;
    aRun.sentAt_ = context_.now_;
    const WorkerTime leaseEnd = LeaseEnd(aWorker);
    aWorker.lease_.Extend(leaseEnd);
    effects_.push_back(StartTask{ aWorker.entry_.worker_,
                                  aWorker.entry_.address_,
                                  aTask,
                                  aRun.run_,
                                  state_.epoch_,
                                  leaseEnd,
                                  job->definition_.specification_,
                                  task->checkpoint_,
                                  aRun.ticket_ });
  }

  void SendStop(const Worker& aWorker, const TaskId& aTask, Assignment& aRun)
  {
    aRun.isSending_ = true;
    effects_.push_back(StopTask{ aWorker.entry_.worker_,
                                 aWorker.entry_.address_,
                                 aTask,
                                 aRun.run_,
                                 state_.epoch_ });
  }

  // An order without an answer may still be carried out, so it is settled by
  // repeating it with the same run.
  void RepeatOrders(const WorkerId& aId)
  {
    const auto found = state_.workers_.find(aId);
    if (found == state_.workers_.end()) {
      return;
    }
    // A start may only be repeated to the life that it was meant for, since
    // its lease is a time on that life's clock.
    if (found->second.isSilent_) {
      effects_.push_back(SetTimer{ OrderRetry{ aId }, kHoldRetry });
      return;
    }
    for (auto& [task, run] : found->second.runs_) {
      if (run.answeredAt_ || run.isSending_) {
        continue;
      }
      if (run.phase_ == RunPhase::Ordered && run.isStored_) {
        effects_.push_back(Count{ Counter::StartsRepeated });
        SendStart(found->second, task, run);
      } else if (run.phase_ == RunPhase::Stopping) {
        SendStop(found->second, task, run);
      }
    }
  }

  // A start without an answer may run in a life whose clock is not known, for
  // the longest lease at most.
  void LoseLapsed(Worker& aWorker)
  {
    std::vector<TaskId> lapsed;
    for (const auto& [task, run] : aWorker.runs_) {
      const bool isSettled = run.answeredAt_ || !run.isStored_;
      if (isSettled || context_.now_ >= LapseOf(run.sentAt_, kLongestLease)) {
        lapsed.push_back(task);
      }
    }
    for (const TaskId& task : lapsed) {
      LoseRun(aWorker, task, "lease is over", effects_);
    }
  }

  void CheckLeases()
  {
    for (auto& [id, worker] : state_.workers_) {
      if (context_.now_ < worker.lease_.overAt_ ||
          worker.answeredAt_ >= worker.lease_.overAt_) {
        continue;
      }
      LoseLapsed(worker);
    }
    effects_.push_back(SetTimer{ LeaseTick{}, kLeaseTick });
  }

  WorkersState& state_;
  const Views& views_;
  const Context& context_;
  Effects& effects_;
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
