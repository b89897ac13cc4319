#include "verbenawell/jobs/workers/internal/WorkerCrash.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/jobs/maintenance/MaintenanceState.h"
#include "verbenawell/jobs/pools/PoolsState.h"
#include "verbenawell/jobs/workers/WorkersState.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>

namespace verbenawell::jobs {

namespace {

bool
IsMoved(const PoolsState& aPools, const WorkerId& aWorker)
{
  return std::ranges::any_of(aPools.moves_, [&](const auto& aMove) {
    return aMove.second.worker_ == aWorker && !aMove.second.isDraining_;
  });
}

bool
IsInMaintenance(const MaintenanceState& aMaintenance, const WorkerId& aWorker)
{
  return std::ranges::any_of(aMaintenance.waves_, [&](const auto& aWave) {
    return std::ranges::any_of(aWave.second.vms_, [&](const auto& aVm) {
      const VmProgress& progress = aVm.second;
      return progress.worker_ == aWorker &&
             (progress.phase_ == VmPhase::CommandSent ||
              progress.phase_ == VmPhase::Down);
    });
  });
}

/// Returns whether the start command of a run may have been carried out.
bool
MayBePresent(const Assignment& aRun)
{
  return std::visit(Overloaded{ [](const Starting& aStarting) {
                                 return aStarting.isInFlight_ ||
                                        aStarting.hasUnconfirmedStart_;
                               },
                                [](const auto&) { return true; } },
                    aRun.phase_);
}

/// Returns whether a run was assigned after the start of an incarnation. Clocks
/// that jump make this wrong, which costs or saves a suspicion.
bool
IsAssignedAfter(const Assignment& aRun,
                WorkerIncarnation aIncarnation,
                const Context& aContext)
{
  const WallTime assignedAt =
    aContext.wallNow_ - std::chrono::duration_cast<std::chrono::milliseconds>(
                          aContext.now_ - aRun.startedAt_);
  return assignedAt.time_since_epoch().count() >= aIncarnation.Value();
}

} // namespace

bool
HasEndedByItself(const Worker& aWorker,
                 const WorkerEnded& aEnded,
                 const Views& aViews)
{
  const WorkerId& id = aWorker.entry_.worker_;
  const bool hasResponded = aWorker.lastResponseAt_ != TimePoint{};
  return aEnded.cause_ == WorkerEndCause::Unknown && hasResponded &&
         !aWorker.entry_.draining_ && !IsMoved(aViews.pools_, id) &&
         !IsInMaintenance(aViews.maintenance_, id);
}

void
ReportCrash(Worker& aWorker,
            std::optional<WorkerIncarnation> aNext,
            const Context& aContext,
            Effects& aEffects)
{
  WorkerCrashed crashed{ aWorker.entry_.worker_,
                         aWorker.entry_.service_,
                         aWorker.entry_.zone_,
                         aWorker.lastResponseAt_,
                         aWorker.silentSince_.value_or(aContext.now_),
                         {} };
  for (auto& [task, run] : aWorker.runs_) {
    if (MayBePresent(run) && !run.hasCrashed_ &&
        !(aNext && IsAssignedAfter(run, *aNext, aContext))) {
      run.hasCrashed_ = true;
      crashed.runs_.push_back({ task,
                                run.run_,
                                run.AcknowledgedAt().has_value(),
                                aWorker.lastResponseAt_ - run.startedAt_ });
    }
  }
  aEffects.push_back(Count{ Counter::WorkersCrashed });
  aEffects.push_back(LogLine{
    LogLevel::Warning,
    "worker_crashed",
    { { "worker", crashed.worker_.Value() },
      { "service", aWorker.entry_.service_.Value() },
      { "runs", std::to_string(crashed.runs_.size()) },
      { "silent_ms",
        std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(
                         aContext.now_ - crashed.silentSince_)
                         .count()) } } });
  aEffects.push_back(Raise{ std::move(crashed) });
}

} // namespace verbenawell::jobs
