#include "verbenawell/jobs/workers/internal/WorkerResponses.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/jobs/workers/WorkersState.h"
#include "verbenawell/jobs/workers/internal/WorkerList.h"

#include <algorithm>
#include <utility>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration kCommandRetryDelay = 30ms;
// A worker that rejected a start command gets no other one for this long.
constexpr Duration kStartPauseAfterRefusal = 1s;
// A stop is overdue if the run is still listed this long after it. A worker
// carries out a stop in less than a second.
constexpr Duration kStopOverdueAfter = 2s;

Assignment*
FindRun(Worker& aWorker, const TaskId& aTask, RunNumber aRun)
{
  const auto found = aWorker.runs_.find(aTask);
  return found == aWorker.runs_.end() || found->second.run_ != aRun
           ? nullptr
           : &found->second;
}

bool
IsListed(const WorkerReported& aReport, const TaskId& aTask, RunNumber aRun)
{
  const auto isRun = [&](const auto& aListed) {
    return aListed.task_ == aTask && aListed.run_ == aRun;
  };
  return std::ranges::any_of(aReport.running_, isRun) ||
         std::ranges::any_of(aReport.ended_, isRun);
}

// A report shows the effect of every command that was confirmed before the
// report was requested. A run that it does not list was never started or has
// ended. The end of such a run may be missing from a full list of ends; the
// worker lists it once earlier ends are acknowledged.
void
MarkMissingRunsLost(Worker& aWorker,
                    const WorkerReported& aReport,
                    QuotaUsage& aUsage,
                    Effects& aEffects)
{
  if (aReport.mayHaveMoreEnds_) {
    return;
  }
  std::vector<TaskId> missing;
  for (const auto& [task, run] : aWorker.runs_) {
    if (const auto acknowledgedAt = run.AcknowledgedAt();
        acknowledgedAt && *acknowledgedAt < aReport.sentAt_ &&
        !IsListed(aReport, task, run.run_)) {
      missing.push_back(task);
    }
  }
  for (const TaskId& task : missing) {
    MarkRunLost(aWorker, task, LossCause::NotListed, aUsage, aEffects);
  }
}

std::string
Milliseconds(Duration aTime)
{
  return std::to_string(
    std::chrono::duration_cast<std::chrono::milliseconds>(aTime).count());
}

// Logs the end of a run that had a stop requested.
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
               { "after_ms", Milliseconds(aNow - aStopping.requestedAt_) } } });
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
               { "sent", std::to_string(aStopping.sendCount_) },
               { "answered", aStopping.respondedAt_ ? "yes" : "no" },
               { "on_its_way", aStopping.isInFlight_ ? "yes" : "no" },
               { "after_ms", Milliseconds(aNow - aStopping.requestedAt_) } } });
}

// A run that is listed long after its stop was requested shows that the stop
// has not taken effect. This also holds if the stop command got a response,
// which may be that of an earlier incarnation.
void
RepeatOverdueStops(Worker& aWorker,
                   const WorkerReported& aReport,
                   TimePoint aNow,
                   Effects& aEffects)
{
  for (const ListedRun& listed : aReport.running_) {
    Assignment* run = FindRun(aWorker, listed.task_, listed.run_);
    auto* stopping =
      run == nullptr ? nullptr : std::get_if<Stopping>(&run->phase_);
    if (stopping == nullptr ||
        aNow - stopping->requestedAt_ < kStopOverdueAfter) {
      continue;
    }
    if (!std::exchange(stopping->isOverdue_, true)) {
      LogOverdueStop(aWorker, listed, *stopping, aNow, aEffects);
    }
    if (stopping->respondedAt_ &&
        aReport.sentAt_ - *stopping->respondedAt_ >= kStopOverdueAfter) {
      stopping->respondedAt_.reset();
      aEffects.push_back(
        SetTimer{ CommandRetry{ aReport.worker_ }, Duration{} });
    }
  }
}

void
ApplyListedEnds(Worker& aWorker,
                const WorkerReported& aReport,
                TimePoint aNow,
                QuotaUsage& aUsage,
                Effects& aEffects)
{
  RunsEnded ended{
    aReport.worker_, aWorker.incarnation_, aWorker.lastEnd_, {}
  };
  for (const ListedEnd& end : aReport.ended_) {
    if (end.number_ <= aWorker.lastEnd_) {
      continue;
    }
    ended.through_ = std::max(ended.through_, end.number_);
    ended.ended_.push_back(end);
    if (const auto found = aWorker.runs_.find(end.task_);
        found != aWorker.runs_.end() && found->second.run_ <= end.run_) {
      if (const auto* stopping = std::get_if<Stopping>(&found->second.phase_)) {
        LogStopped(aWorker, *stopping, end, aNow, aEffects);
      }
      aWorker.used_ -= found->second.resources_;
      aUsage.Remove(found->second.quota_);
      aWorker.runs_.erase(found);
    }
  }
  if (!ended.ended_.empty()) {
    aWorker.lastEnd_ = ended.through_;
    aEffects.push_back(Raise{ std::move(ended) });
    aEffects.push_back(Raise{ CapacityChanged{} });
  }
}

// A listed run proves that its start command was carried out. It tells nothing
// about a stop, since the stop command may have been lost.
void
ConfirmStarts(Worker& aWorker, const WorkerReported& aReport)
{
  for (const ListedRun& listed : aReport.running_) {
    Assignment* run = FindRun(aWorker, listed.task_, listed.run_);
    const auto* starting =
      run == nullptr ? nullptr : std::get_if<Starting>(&run->phase_);
    if (starting != nullptr) {
      run->phase_ = Present{ aReport.sentAt_, starting->hasUnconfirmedStart_ };
    }
  }
}

// A worker's clock may be stepped back before its start, so an incarnation may
// have a lower number than the one before. A report that was requested after
// the current incarnation was known is newer, whatever its number.
bool
IsOfFormerIncarnation(const Worker& aWorker, const WorkerReported& aReport)
{
  return aReport.incarnation_ != WorkerIncarnation{} &&
         aReport.incarnation_ != aWorker.incarnation_ &&
         aReport.incarnation_ <= aWorker.highestIncarnation_ &&
         aReport.sentAt_ <= aWorker.incarnationKnownSince_;
}

// Only one lease renewal is in flight, so each new incarnation or ownership
// causes at most one such line for a worker.
void
LogOutdatedReport(const Worker& aWorker,
                  const WorkerReported& aReport,
                  const char* aReason,
                  Effects& aEffects)
{
  aEffects.push_back(Count{ Counter::ReportsOutdated });
  aEffects.push_back(
    LogLine{ LogLevel::Info,
             "report_outdated",
             { { "worker", aReport.worker_.Value() },
               { "born", std::to_string(aReport.incarnation_.Value()) },
               { "known_born", std::to_string(aWorker.incarnation_.Value()) },
               { "reason", aReason } } });
}

// Handles a start command that the worker rejected.
void
HandleStartRefusal(Worker& aWorker,
                   const StartCommandCompleted& aCompletion,
                   StartRefusal aRefusal,
                   Assignment& aRun,
                   QuotaUsage& aUsage,
                   const Context& aContext,
                   Effects& aEffects)
{
  const bool hasUnconfirmedStart =
    std::get<Starting>(aRun.phase_).hasUnconfirmedStart_;
  if (aRefusal == StartRefusal::RunSuperseded) {
    // The run has been there before, so its end is listed.
    aRun.phase_ = Present{ aContext.now_, hasUnconfirmedStart };
    return;
  }
  if (aRefusal != StartRefusal::InvalidTicket) {
    aWorker.avoidUntil_ = aContext.now_ + kStartPauseAfterRefusal;
  }
  if (hasUnconfirmedStart && aRefusal != StartRefusal::OtherIncarnation) {
    // A stop keeps the earlier start command from being carried out.
    aEffects.push_back(Raise{ StopDecided{
      aCompletion.worker_,
      aCompletion.task_,
      aCompletion.run_,
      "start refused after an earlier start command got no response" } });
    return;
  }
  MarkRunLost(aWorker, aCompletion.task_, aRefusal, aUsage, aEffects);
}

// The result of a stop that was meant for an earlier incarnation tells nothing
// about the stop to the current one. A stop that was sent before the
// incarnation was known counts, as the first report does not reset the commands
// in flight.
bool
IsForEarlierIncarnation(const StopCommandCompleted& aCompletion,
                        const Worker& aWorker)
{
  return aCompletion.incarnation_ != WorkerIncarnation{} &&
         aCompletion.incarnation_ != aWorker.incarnation_;
}

} // namespace

bool
ApplyReport(WorkersState& aState,
            const WorkerReported& aReport,
            const Context& aContext,
            Effects& aEffects)
{
  const auto found = aState.workers_.find(aReport.worker_);
  if (found == aState.workers_.end()) {
    return true;
  }
  Worker& worker = found->second;
  if (aReport.sentAt_ < aState.takenAt_) {
    LogOutdatedReport(worker, aReport, "former ownership", aEffects);
    return false;
  }
  worker.isRenewing_ = false;
  if (IsOfFormerIncarnation(worker, aReport)) {
    LogOutdatedReport(worker, aReport, "former incarnation", aEffects);
    return false;
  }
  if (aReport.incarnation_ != WorkerIncarnation{} &&
      aReport.incarnation_ != worker.incarnation_) {
    if (worker.incarnation_ == WorkerIncarnation{}) {
      LearnIncarnation(worker, aReport.incarnation_, aContext, aEffects);
    } else {
      StartNewIncarnation(worker, aReport.incarnation_, aContext, aEffects);
    }
  }
  worker.lease_.reading_ = ClockReading{ aReport.clock_, aContext.now_ };
  worker.lastResponseAt_ = aContext.now_;
  worker.silentSince_.reset();
  worker.isSilent_ = false;
  if (!std::exchange(worker.hasResponded_, true)) {
    worker.respondingSince_ = aContext.now_;
    aEffects.push_back(Raise{ CapacityChanged{} });
  }
  if (std::exchange(worker.isUnresponsive_, false)) {
    LogWorker("worker_answering", worker, aEffects);
  }
  worker.loggedRefusal_.clear();
  ConfirmStarts(worker, aReport);
  RepeatOverdueStops(worker, aReport, aContext.now_, aEffects);
  MarkMissingRunsLost(worker, aReport, aState.quotaUsage_, aEffects);
  aEffects.push_back(
    Raise{ RunsReported{ aReport.worker_, aReport.running_ } });
  ApplyListedEnds(worker, aReport, aContext.now_, aState.quotaUsage_, aEffects);
  return true;
}

void
ApplyStartCompletion(WorkersState& aState,
                     const StartCommandCompleted& aCompletion,
                     const Context& aContext,
                     Effects& aEffects)
{
  const auto worker = aState.workers_.find(aCompletion.worker_);
  if (worker == aState.workers_.end()) {
    return;
  }
  Assignment* run =
    FindRun(worker->second, aCompletion.task_, aCompletion.run_);
  auto* starting =
    run == nullptr ? nullptr : std::get_if<Starting>(&run->phase_);
  if (starting == nullptr) {
    return;
  }
  starting->isInFlight_ = false;
  std::visit(
    Overloaded{
      [&](StartAccepted) {
        run->phase_ = Present{ aContext.now_, starting->hasUnconfirmedStart_ };
      },
      [&](StartRefusal aRefusal) {
        aEffects.push_back(Count{ aRefusal });
        HandleStartRefusal(worker->second,
                           aCompletion,
                           aRefusal,
                           *run,
                           aState.quotaUsage_,
                           aContext,
                           aEffects);
      },
      [&](StartUnconfirmed) {
        starting->hasUnconfirmedStart_ = true;
        aEffects.push_back(
          SetTimer{ CommandRetry{ aCompletion.worker_ }, kCommandRetryDelay });
      },
      [&](StartNotSent) {
        if (!starting->hasUnconfirmedStart_) {
          run->startSentAt_ = TimePoint{};
        }
        aEffects.push_back(
          SetTimer{ CommandRetry{ aCompletion.worker_ }, kCommandRetryDelay });
      } },
    aCompletion.result_);
}

void
ApplyStopCompletion(WorkersState& aState,
                    const StopCommandCompleted& aCompletion,
                    const Context& aContext,
                    Effects& aEffects)
{
  const auto worker = aState.workers_.find(aCompletion.worker_);
  if (worker == aState.workers_.end() ||
      IsForEarlierIncarnation(aCompletion, worker->second)) {
    return;
  }
  Assignment* run =
    FindRun(worker->second, aCompletion.task_, aCompletion.run_);
  auto* stopping =
    run == nullptr ? nullptr : std::get_if<Stopping>(&run->phase_);
  if (stopping == nullptr) {
    return;
  }
  stopping->isInFlight_ = false;
  if (aCompletion.hasResponse_) {
    stopping->respondedAt_ = aContext.now_;
  } else {
    aEffects.push_back(Count{ Counter::StopsWithoutResponse });
    aEffects.push_back(
      SetTimer{ CommandRetry{ aCompletion.worker_ }, kCommandRetryDelay });
  }
}

} // namespace verbenawell::jobs
