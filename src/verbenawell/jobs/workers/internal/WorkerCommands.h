#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/core/Views.h"
#include "verbenawell/jobs/workers/WorkersState.h"

namespace verbenawell::jobs {

/// Delay before an unresponsive worker is contacted again.
constexpr Duration kWorkerRetryDelay = std::chrono::milliseconds(100);

/// Sends commands to workers and repeats those without a response.
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

  /// Extends the lease that covers the runs of a worker, and requests the lists
  /// of its runs and ends.
  void SendRenewal(const WorkerId& aId);

  /// Sends or repeats a start command, later if it may not be sent now.
  void SendStart(Worker& aWorker,
                 const TaskId& aTask,
                 Assignment& aRun,
                 Starting& aStarting);

  void SendStop(const Worker& aWorker,
                const TaskId& aTask,
                RunNumber aRun,
                Stopping& aStopping);

  /// Repeats the commands of a worker that got no response.
  void Resend(const WorkerId& aId);

  /// Returns whether the lease is short and a renewal sent now would extend it.
  [[nodiscard]] bool NeedsLease(const Worker& aWorker) const;

private:
  [[nodiscard]] bool IsOwnershipConfirmed() const;
  [[nodiscard]] WorkerTime LeaseEnd(const Worker& aWorker) const;

  WorkersState& state_;
  const Views& views_;
  const Context& context_;
  Effects& effects_;
};

} // namespace verbenawell::jobs
