#pragma once

#include "verbenawell/requests/Reasons.h"

#include <cstdint>
#include <string_view>
#include <variant>

namespace verbenawell {

/// Counters without a reason of their own.
enum class Counter : std::uint8_t
{
  RequestsReceived,
  RequestsAnswered,
  RequestsCancelled,
  GrantsReturnedUnused,
  RetryBudgetSpent,
  SlotsOverrun,
  SlotsFreedOfLostEntries,
  SlotsExpired,
  TicketsCancelled,
  TicketsExpired,
  TicketsBlocked,
  RecordsCorrupt,
  RecordsUnknown,
  RecordsRefused,
  LogReadsFailed,
  LogAppendsFailed,
  LogAppendsSettledByReading,
  LogAppendsGivenUp,
  LogGaps,
  VmListsFailed,
  /// Lists that lack more VMs than can have left.
  VmListsImplausible,
  UsageReportsRead,
  /// Asked for and not in the answer.
  UsageReportsMissing,
  /// Older than a figure is used.
  UsageReportsOld,
  UsageReadsFailed,
  WorkersEjected,
  WorkersProbed,
  WorkersRecovered,
  WorkersHeld,
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
  /// Large answers for which no buffer became free in time.
  AnswersWithoutRoom,
  /// Bytes exchanged with peers, the log and the VM list. Without requests
  /// all of it is control.
  ControlBytes,
};

std::string_view
ToString(Counter aCounter);

/// What a `Count` effect increments.
using CounterKey =
  std::variant<Counter, RefusalReason, UnknownReason, RetryReason>;

/// Figures that go up and down.
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
