#include "verbenawell/jobs/core/Reduce.h"

#include "verbenawell/core/EventLoop.h"
#include "verbenawell/jobs/advice/AdviceReducer.h"
#include "verbenawell/jobs/callers/CallersReducer.h"
#include "verbenawell/jobs/configuration/ConfigurationReducer.h"
#include "verbenawell/jobs/core/State.h"
#include "verbenawell/jobs/health/HealthReducer.h"
#include "verbenawell/jobs/journal/JournalReducer.h"
#include "verbenawell/jobs/maintenance/MaintenanceReducer.h"
#include "verbenawell/jobs/ownership/OwnershipReducer.h"
#include "verbenawell/jobs/placement/PlacementReducer.h"
#include "verbenawell/jobs/pools/PoolsReducer.h"
#include "verbenawell/jobs/quotas/QuotasReducer.h"
#include "verbenawell/jobs/tasks/TasksReducer.h"
#include "verbenawell/jobs/throttling/ThrottlingReducer.h"
#include "verbenawell/jobs/workers/WorkersReducer.h"

#include <optional>
#include <utility>

namespace verbenawell::jobs {

namespace {

Effects
ReduceModules(State& aState, const Event& aEvent, const Context& aContext)
{
  Effects effects;
  const Views views = aState.View();
  ReduceOwnership(aState.ownership_, views, aEvent, aContext, effects);
  ReduceConfiguration(aState.configuration_, views, aEvent, aContext, effects);
  ReduceJournal(aState.journal_, views, aEvent, aContext, effects);
  ReduceCallers(aState.callers_, views, aEvent, aContext, effects);
  // Workers and placement look up tasks, so tasks handle each event first.
  ReduceTasks(aState.tasks_, views, aEvent, aContext, effects);
  ReduceWorkers(aState.workers_, views, aEvent, aContext, effects);
  ReduceQuotas(aState.quotas_, views, aEvent, aContext, effects);
  ReduceHealth(aState.health_, views, aEvent, aContext, effects);
  ReduceAdvice(aState.advice_, views, aEvent, aContext, effects);
  ReducePlacement(aState.placement_, views, aEvent, aContext, effects);
  ReduceThrottling(aState.throttling_, views, aEvent, aContext, effects);
  ReduceMaintenance(aState.maintenance_, views, aEvent, aContext, effects);
  ReducePools(aState.pools_, views, aEvent, aContext, effects);
  return effects;
}

} // namespace

Effects
Reduce(State& aState, const Event& aEvent, const Context& aContext)
{
  return ReduceAll<Effect>(
    aEvent,
    [&](const Event& aNext) { return ReduceModules(aState, aNext, aContext); },
    [](Effect& aEffect) -> std::optional<Event> {
      auto* raise = std::get_if<Raise>(&aEffect);
      return raise == nullptr ? std::optional<Event>{}
                              : std::optional{ std::move(raise->event_) };
    });
}

} // namespace verbenawell::jobs
