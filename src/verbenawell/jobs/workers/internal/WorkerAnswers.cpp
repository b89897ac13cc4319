#include "verbenawell/jobs/workers/internal/WorkerAnswers.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/jobs/workers/WorkersState.h"
#include "verbenawell/jobs/workers/internal/WorkerList.h"

#include <algorithm>
#include <utility>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration kOrderRetry = 30ms;
// A worker that refused an order is left alone for this long.
constexpr Duration kAvoidAfterRefusal = 1s;

bool
IsListed(const WorkerLists& aLists, const TaskId& aTask, RunNumber aRun)
{
  const auto isIt = [&](const auto& aListed) {
    return aListed.task_ == aTask && aListed.run_ == aRun;
  };
  return std::ranges::any_of(aLists.running_, isIt) ||
         std::ranges::any_of(aLists.ended_, isIt);
}

// An order that was answered before the lists were asked for shows in them; a
// run that does not was never there or is gone.
void
LoseMissing(Worker& aWorker, const WorkerLists& aLists, Effects& aEffects)
{
  std::vector<TaskId> missing;
  for (const auto& [task, run] : aWorker.runs_) {
    if (run.answeredAt_ && *run.answeredAt_ < aLists.sentAt_ &&
        !IsListed(aLists, task, run.run_)) {
      missing.push_back(task);
    }
  }
  for (const TaskId& task : missing) {
    LoseRun(aWorker, task, "not listed", aEffects);
  }
}

void
TakeEnds(Worker& aWorker, const WorkerLists& aLists, Effects& aEffects)
{
  RunsEnded ended{ aLists.worker_, aWorker.born_, aWorker.seen_, {} };
  for (const ListedEnd& end : aLists.ended_) {
    if (end.number_ <= aWorker.seen_) {
      continue;
    }
    ended.through_ = std::max(ended.through_, end.number_);
    ended.ended_.push_back(end);
    if (const auto found = aWorker.runs_.find(end.task_);
        found != aWorker.runs_.end() && found->second.run_ <= end.run_) {
      aWorker.used_ -= found->second.room_;
      aWorker.runs_.erase(found);
    }
  }
  if (!ended.ended_.empty()) {
    aWorker.seen_ = ended.through_;
    aEffects.push_back(Raise{ std::move(ended) });
    aEffects.push_back(Raise{ RoomChanged{} });
  }
}

void
ConfirmRuns(Worker& aWorker, const WorkerLists& aLists)
{
  for (const ListedRun& listed : aLists.running_) {
    const auto found = aWorker.runs_.find(listed.task_);
    if (found == aWorker.runs_.end() || found->second.run_ != listed.run_) {
      continue;
    }
    Assignment& run = found->second;
    if (run.phase_ == RunPhase::Ordered) {
      run.phase_ = RunPhase::Running;
    }
    if (!run.answeredAt_) {
      run.answeredAt_ = aLists.sentAt_;
    }
  }
}

} // namespace

void
ApplyLists(WorkersState& aState,
           const WorkerLists& aLists,
           const Context& aContext,
           Effects& aEffects)
{
  const auto found = aState.workers_.find(aLists.worker_);
  if (found == aState.workers_.end() || aLists.sentAt_ < aState.takenAt_) {
    return;
  }
  Worker& worker = found->second;
  worker.isHolding_ = false;
  if (worker.born_ != BirthTime{} && aLists.born_ != BirthTime{} &&
      aLists.born_ != worker.born_) {
    if (aLists.born_ < worker.born_) {
      return;
    }
    StartNewLife(worker, aLists.born_, aContext, aEffects);
  }
  if (aLists.born_ != BirthTime{}) {
    worker.born_ = aLists.born_;
  }
  worker.lease_.reading_ = ClockReading{ aLists.clock_, aContext.now_ };
  worker.answeredAt_ = aContext.now_;
  if (!std::exchange(worker.isKnown_, true)) {
    aEffects.push_back(Raise{ RoomChanged{} });
  }
  worker.isSilent_ = false;
  worker.refusal_.clear();
  ConfirmRuns(worker, aLists);
  LoseMissing(worker, aLists, aEffects);
  aEffects.push_back(Raise{ RunsSeen{ aLists.worker_, aLists.running_ } });
  TakeEnds(worker, aLists, aEffects);
}

void
ApplyStartAnswer(WorkersState& aState,
                 const StartAnswered& aAnswer,
                 const Context& aContext,
                 Effects& aEffects)
{
  const auto worker = aState.workers_.find(aAnswer.worker_);
  if (worker == aState.workers_.end()) {
    return;
  }
  const auto run = worker->second.runs_.find(aAnswer.task_);
  if (run == worker->second.runs_.end() || run->second.run_ != aAnswer.run_) {
    return;
  }
  if (run->second.phase_ == RunPhase::Stopping) {
    return;
  }
  run->second.isSending_ = false;
  std::visit(Overloaded{ [&](StartAccepted) {
                          run->second.answeredAt_ = aContext.now_;
                          run->second.phase_ = RunPhase::Running;
                        },
                         [&](StartRefusal aRefusal) {
                           aEffects.push_back(Count{ aRefusal });
                           if (aRefusal == StartRefusal::Old) {
                             // The run was there before; its end is listed.
                             run->second.answeredAt_ = aContext.now_;
                             return;
                           }
                           if (aRefusal != StartRefusal::Ticket) {
                             worker->second.avoidUntil_ =
                               aContext.now_ + kAvoidAfterRefusal;
                           }
                           if (run->second.mayArrive_ &&
                               aRefusal != StartRefusal::OtherLife) {
                             // A stop keeps an earlier copy of the order from
                             // being carried out.
                             aEffects.push_back(Raise{
                               StopDecided{ aAnswer.worker_,
                                            aAnswer.task_,
                                            aAnswer.run_,
                                            "refused after a lost answer" } });
                             return;
                           }
                           LoseRun(worker->second,
                                   aAnswer.task_,
                                   std::string(ToString(aRefusal)).c_str(),
                                   aEffects);
                         },
                         [&](OrderUnanswered) {
                           run->second.mayArrive_ = true;
                           aEffects.push_back(SetTimer{
                             OrderRetry{ aAnswer.worker_ }, kOrderRetry });
                         } },
             aAnswer.result_);
}

void
ApplyStopAnswer(WorkersState& aState,
                const StopAnswered& aAnswer,
                const Context& aContext,
                Effects& aEffects)
{
  const auto worker = aState.workers_.find(aAnswer.worker_);
  if (worker == aState.workers_.end()) {
    return;
  }
  const auto run = worker->second.runs_.find(aAnswer.task_);
  if (run == worker->second.runs_.end() || run->second.run_ != aAnswer.run_) {
    return;
  }
  run->second.isSending_ = false;
  if (aAnswer.answered_) {
    run->second.answeredAt_ = aContext.now_;
  } else {
    aEffects.push_back(SetTimer{ OrderRetry{ aAnswer.worker_ }, kOrderRetry });
  }
}

} // namespace verbenawell::jobs
