#pragma once

#include "verbenawell/jobs/callers/CallerRequest.h"
#include "verbenawell/jobs/maintenance/MaintenanceEvents.h"
#include "verbenawell/jobs/workers/WorkerEvents.h"
#include "verbenawell/jobs/workspaces/Access.h"

#include <cstdint>
#include <string_view>
#include <variant>

namespace verbenawell::jobs {

/// Counters without a `reason` label.
enum class Counter : std::uint8_t
{
  RequestsReceived,
  RequestsForwarded,
  ForwardsRepeated,
  RequestsTimedOut,
  JobsAccepted,
  JobsCompleted,
  JobsFailed,
  JobsCancelled,
  /// Jobs that another shard has stored because it has the workers for them.
  JobsHandedOver,
  TasksStarted,
  RunsLost,
  /// Tasks that have crashed too many workers.
  TasksGivenUp,
  RunsUnknown,
  /// Workers that have ended without a command and without a drain.
  WorkersCrashed,
  StartsRepeated,
  StopCommandsSent,
  StopsWithoutResponse,
  StopsRepeated,
  /// A worker still listed a run after the time limit for stopping it.
  StopsOverdue,
  ThrottleCommandsSent,
  LeaseRenewalsSent,
  LeaseRenewalsFailed,
  /// A worker's report was ignored, since it shows an earlier state.
  ReportsOutdated,
  RecordsInvalid,
  OwnershipsTaken,
  OwnershipsLost,
  AppendsRepeated,
  StoreCallsFailed,
  MaintenanceCommandsSent,
  MaintenanceCommandsRepeated,
  VmsMoved,
  AdviceReceived,
  AdviceFailed,
  WorkersEjected,
  WorkersRecovered,
  SlowRunsStopped,
  /// Workspaces that began to wait for their quotas.
  QuotaWaits,
};

std::string_view
ToString(Counter aCounter);

/// The counter that a `Count` effect increments.
using CounterKey = std::variant<Counter,
                                RejectReason,
                                StartRefusal,
                                EndKind,
                                VmCommandFailure,
                                AccessDenial>;

/// Durations that are recorded as distributions.
enum class LatencyMetric : std::uint8_t
{
  /// From the arrival of a submission to its response.
  Accept,
  /// From a job's acceptance to its stored outcome.
  JobTime,
  /// From the claim of the ownership to the first decisions.
  TakeOver,
  /// Delay of timers on the event loop or age of the oldest waiting event: the
  /// largest value of each second.
  LoopDelay,
  /// From the arrival of an event to its handling: the largest value of each
  /// second.
  EventDelay,
};

std::string_view
ToString(LatencyMetric aMetric);

} // namespace verbenawell::jobs
