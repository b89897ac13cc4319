#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/core/Views.h"
#include "verbenawell/jobs/workers/WorkersState.h"

namespace verbenawell::jobs {

/// How often a worker without an answer is tried again.
constexpr Duration kRetryInterval = std::chrono::milliseconds(100);

/// Sends orders to workers, and again those without an answer.
class WorkerCommands
{
public:
  WorkerCommands(WorkersState& aState,
                 const Views& aViews,
                 const Context& aContext,
                 Effects& aEffects)
    : state_(aState)
    , views_(aViews)
    , context_(aContext)
    , effects_(aEffects)
  {
  }

  /// Extends the lease of what runs on a worker and asks for its lists.
  void SendRenewal(const WorkerId& aId);

  void SendStart(Worker& aWorker,
                 const TaskId& aTask,
                 Assignment& aRun,
                 Starting& aStarting);

  void SendStop(const Worker& aWorker,
                const TaskId& aTask,
                RunNumber aRun,
                Stopping& aStopping);

  /// Sends the orders of a worker again that have no answer.
  void ResendUnconfirmed(const WorkerId& aId);

private:
  [[nodiscard]] WorkerTime LeaseEnd(const Worker& aWorker) const;

  WorkersState& state_;
  const Views& views_;
  const Context& context_;
  Effects& effects_;
};

} // namespace verbenawell::jobs
