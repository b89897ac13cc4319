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
// A stop takes less than a second at a worker.
constexpr Duration kStopOverdue = 2s;

Assignment*
FindRun(Worker& aWorker, const TaskId& aTask, RunNumber aRun)
{
  const auto found = aWorker.runs_.find(aTask);
  return found == aWorker.runs_.end() || found->second.run_ != aRun
           ? nullptr
           : &found->second;
}

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
    if (const auto settledAt = run.SettledAt();
        settledAt && *settledAt < aLists.sentAt_ &&
        !IsListed(aLists, task, run.run_)) {
      missing.push_back(task);
    }
  }
  for (const TaskId& task : missing) {
    LoseRun(aWorker, task, "not listed", aEffects);
  }
}

std::string
Milliseconds(Duration aTime)
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count());
}

// The end of a run whose stop was ordered.
void
LogStopped(const Worker& aWorker,
           const Stopping& aStopping,
           const ListedEnd& aEnd,
           TimePoint aNow,
           Effects& aEffects)
{
  aEffects.push_back(
    LogLine{ LogLevel::Info,
             "task_stopped",
             { { "task", ToString(aEnd.task_) },
               { "run", std::to_string(aEnd.run_.Value()) },
               { "worker", aWorker.entry_.worker_.Value() },
               { "kind", std::string(ToString(aEnd.kind_)) },
               { "after_ms", Milliseconds(aNow - aStopping.orderedAt_) } } });
}

void
LogOverdueStop(const Worker& aWorker,
               const ListedRun& aListed,
               const Stopping& aStopping,
               TimePoint aNow,
               Effects& aEffects)
{
  aEffects.push_back(Count{ Counter::StopsOverdue });
  aEffects.push_back(
    LogLine{ LogLevel::Warning,
             "task_stop_overdue",
             { { "task", ToString(aListed.task_) },
               { "run", std::to_string(aListed.run_.Value()) },
               { "worker", aWorker.entry_.worker_.Value() },
               { "sent", std::to_string(aStopping.sent_) },
               { "answered", aStopping.answeredAt_ ? "yes" : "no" },
               { "on_its_way", aStopping.isSending_ ? "yes" : "no" },
               { "after_ms", Milliseconds(aNow - aStopping.orderedAt_) } } });
}

// A run that is listed long after its stop shows that the stop has not taken
// effect, whatever was answered: an answer may be that of an earlier life.
void
RepeatOverdueStops(Worker& aWorker,
                   const WorkerLists& aLists,
                   TimePoint aNow,
                   Effects& aEffects)
{
  for (const ListedRun& listed : aLists.running_) {
    Assignment* run = FindRun(aWorker, listed.task_, listed.run_);
    auto* stopping =
      run == nullptr ? nullptr : std::get_if<Stopping>(&run->phase_);
    if (stopping == nullptr || aNow - stopping->orderedAt_ < kStopOverdue) {
      continue;
    }
    if (!std::exchange(stopping->isOverdue_, true)) {
      LogOverdueStop(aWorker, listed, *stopping, aNow, aEffects);
    }
    if (stopping->answeredAt_ &&
        aLists.sentAt_ - *stopping->answeredAt_ >= kStopOverdue) {
      stopping->answeredAt_.reset();
      aEffects.push_back(SetTimer{ OrderRetry{ aLists.worker_ }, Duration{} });
    }
  }
}

void
TakeEnds(Worker& aWorker,
         const WorkerLists& aLists,
         TimePoint aNow,
         Effects& aEffects)
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
      if (const auto* stopping = std::get_if<Stopping>(&found->second.phase_)) {
        LogStopped(aWorker, *stopping, end, aNow, aEffects);
      }
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

// A list tells that a start was carried out. Of a stop it tells nothing: the
// run may be listed because the stop was lost.
void
ConfirmRuns(Worker& aWorker, const WorkerLists& aLists)
{
  for (const ListedRun& listed : aLists.running_) {
    Assignment* run = FindRun(aWorker, listed.task_, listed.run_);
    const auto* starting =
      run == nullptr ? nullptr : std::get_if<Starting>(&run->phase_);
    if (starting != nullptr) {
      run->phase_ = Present{ aLists.sentAt_, starting->mayArrive_ };
    }
  }
}

// The run of an order that the worker has turned away.
void
RefuseStart(Worker& aWorker,
            const StartAnswered& aAnswer,
            StartRefusal aRefusal,
            Assignment& aRun,
            const Context& aContext,
            Effects& aEffects)
{
  const bool mayArrive = std::get<Starting>(aRun.phase_).mayArrive_;
  if (aRefusal == StartRefusal::Old) {
    // The run was there before; its end is listed.
    aRun.phase_ = Present{ aContext.now_, mayArrive };
    return;
  }
  if (aRefusal != StartRefusal::Ticket) {
    aWorker.avoidUntil_ = aContext.now_ + kAvoidAfterRefusal;
  }
  if (mayArrive && aRefusal != StartRefusal::OtherLife) {
    // A stop keeps an earlier copy of the order from being carried out.
    aEffects.push_back(Raise{ StopDecided{ aAnswer.worker_,
                                           aAnswer.task_,
                                           aAnswer.run_,
                                           "refused after a lost answer" } });
    return;
  }
  LoseRun(
    aWorker, aAnswer.task_, std::string(ToString(aRefusal)).c_str(), aEffects);
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
  if (std::exchange(worker.isSilent_, false)) {
    LogWorker("worker_answering", worker, aEffects);
  }
  worker.refusal_.clear();
  ConfirmRuns(worker, aLists);
  RepeatOverdueStops(worker, aLists, aContext.now_, aEffects);
  LoseMissing(worker, aLists, aEffects);
  aEffects.push_back(Raise{ RunsSeen{ aLists.worker_, aLists.running_ } });
  TakeEnds(worker, aLists, aContext.now_, aEffects);
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
  Assignment* run = FindRun(worker->second, aAnswer.task_, aAnswer.run_);
  auto* starting =
    run == nullptr ? nullptr : std::get_if<Starting>(&run->phase_);
  if (starting == nullptr) {
    return;
  }
  starting->isSending_ = false;
  std::visit(Overloaded{
               [&](StartAccepted) {
                 run->phase_ = Present{ aContext.now_, starting->mayArrive_ };
               },
               [&](StartRefusal aRefusal) {
                 aEffects.push_back(Count{ aRefusal });
                 RefuseStart(
                   worker->second, aAnswer, aRefusal, *run, aContext, aEffects);
               },
               [&](OrderUnanswered) {
                 starting->mayArrive_ = true;
                 aEffects.push_back(
                   SetTimer{ OrderRetry{ aAnswer.worker_ }, kOrderRetry });
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
  Assignment* run = FindRun(worker->second, aAnswer.task_, aAnswer.run_);
  auto* stopping =
    run == nullptr ? nullptr : std::get_if<Stopping>(&run->phase_);
  if (stopping == nullptr) {
    return;
  }
  stopping->isSending_ = false;
  if (aAnswer.answered_) {
    stopping->answeredAt_ = aContext.now_;
  } else {
    aEffects.push_back(Count{ Counter::StopsUnanswered });
    aEffects.push_back(SetTimer{ OrderRetry{ aAnswer.worker_ }, kOrderRetry });
  }
}

} // namespace verbenawell::jobs
