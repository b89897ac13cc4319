#pragma once

#include "verbenawell/jobs/callers/CallerRequest.h"
#include "verbenawell/jobs/workers/WorkerEvents.h"

#include <cstdint>
#include <string_view>
#include <variant>

namespace verbenawell::jobs {

/// Counters without a reason of their own.
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
  TasksStarted,
  RunsLost,
  RunsUnknown,
  StartsRepeated,
  StopsOrdered,
  StopsUnanswered,
  StopsRepeated,
  /// A list showed a run for longer after its stop than a stop takes.
  StopsOverdue,
  Paces,
  HoldsSent,
  HoldsFailed,
  RecordsInvalid,
  OwnershipsTaken,
  OwnershipsLost,
  AppendsRepeated,
  StoreCallsFailed,
  UpkeepsOrdered,
  UpkeepsRepeated,
  VmsMoved,
  AdviceGiven,
  AdviceFailed,
  WorkersSuspected,
  WorkersCleared,
  SlowRunsStopped,
};

std::string_view
ToString(Counter aCounter);

/// What a `Count` effect increments.
using CounterKey = std::variant<Counter, RejectReason, StartRefusal, EndKind>;

/// Durations whose distribution is recorded.
enum class LatencyMetric : std::uint8_t
{
  /// From a submission to its answer.
  Accept,
  /// From a job's acceptance to its stored outcome.
  JobTime,
  /// From claiming the ownership to the first decisions.
  TakeOver,
  /// By how much timers come late, the most of each second.
  LoopDelay,
};

std::string_view
ToString(LatencyMetric aMetric);

} // namespace verbenawell::jobs
