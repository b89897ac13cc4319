#pragma once

#include "verbenawell/requests/Reasons.h"

#include <cstdint>
#include <string_view>
#include <variant>

namespace verbenawell {

/// Counters without a reason label.
enum class Counter : std::uint8_t
{
  RequestsReceived,
  ResponsesForwarded,
  RequestsCancelled,
  GrantsReturnedUnused,
  RetryBudgetExhausted,
  SlotsOverrun,
  SlotsFreedAfterEntryLoss,
  SlotsExpired,
  QueuedRequestsCancelled,
  QueuedRequestsExpired,
  QueuedRequestsBlocked,
  RecordsCorrupt,
  RecordsUnknown,
  RecordsRefused,
  LogReadsFailed,
  LogAppendsFailed,
  LogAppendsConfirmedByRead,
  LogAppendsAbandoned,
  LogGaps,
  VmListsFailed,
  /// VM lists that lack more VMs than can have left.
  VmListsImplausible,
  UsageReportsRead,
  /// Requested, but absent from the response.
  UsageReportsMissing,
  /// Too old for their measurements to be used.
  UsageReportsStale,
  UsageReadsFailed,
  WorkersEjected,
  WorkersProbed,
  WorkersRecovered,
  WorkersReserved,
  OwnerTakeovers,
  ClockGaps,
  SnapshotsWritten,
  SnapshotsLoaded,
  SnapshotsInvalid,
  OperatorCommands,
  OperatorUnauthorized,
  PeerUnauthorized,
  PeerFramesInvalid,
  PeerConnectionsReplaced,
  PeerMessagesDropped,
  CallersRefusedBusy,
  CallerFramesInvalid,
  /// Large responses for which no buffer became free in time.
  ResponsesWithoutBuffer,
  /// Bytes exchanged with peers, the log service and the VM list; without
  /// requests, all of it is control traffic.
  ControlBytes,
};

std::string_view
ToString(Counter aCounter);

/// Identifies the counter that a `Count` effect increments.
using CounterKey =
  std::variant<Counter, RefusalReason, UnknownReason, RetryReason>;

/// Values that go up and down.
enum class Gauge : std::uint8_t
{
  /// Offset of the configuration in force.
  FleetOffset,
};

std::string_view
ToString(Gauge aGauge);

/// Durations whose distribution is recorded.
enum class LatencyMetric : std::uint8_t
{
  QueueWait,
  BackendTime,
  RequestTime,
  ConfigurationAge,
  LogAppend,
};

std::string_view
ToString(LatencyMetric aMetric);

} // namespace verbenawell
