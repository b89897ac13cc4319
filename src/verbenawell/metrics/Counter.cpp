#include "verbenawell/metrics/Counter.h"

namespace verbenawell {

std::string_view
ToString(Counter aCounter)
{
  switch (aCounter) {
    case Counter::RequestsReceived:
      return "requests_received";
    case Counter::ResponsesForwarded:
      return "requests_answered";
    case Counter::RequestsCancelled:
      return "requests_cancelled";
    case Counter::GrantsReturnedUnused:
      return "grants_returned_unused";
    case Counter::RetryBudgetExhausted:
      return "retry_budget_spent";
    case Counter::SlotsOverrun:
      return "slots_overrun";
    case Counter::SlotsFreedAfterEntryLoss:
      return "slots_freed_of_lost_entries";
    case Counter::SlotsExpired:
      return "slots_expired";
    case Counter::QueuedRequestsCancelled:
      return "tickets_cancelled";
    case Counter::QueuedRequestsExpired:
      return "tickets_expired";
    case Counter::QueuedRequestsBlocked:
      return "tickets_blocked";
    case Counter::RecordsCorrupt:
      return "records_corrupt";
    case Counter::RecordsUnknown:
      return "records_unknown";
    case Counter::RecordsRefused:
      return "records_refused";
    case Counter::LogReadsFailed:
      return "log_reads_failed";
    case Counter::LogAppendsFailed:
      return "log_appends_failed";
    case Counter::LogAppendsConfirmedByRead:
      return "log_appends_settled_by_reading";
    case Counter::LogAppendsAbandoned:
      return "log_appends_given_up";
    case Counter::LogGaps:
      return "log_gaps";
    case Counter::VmListsFailed:
      return "vm_lists_failed";
    case Counter::VmListsImplausible:
      return "vm_lists_implausible";
    case Counter::UsageReportsRead:
      return "usage_reports_read";
    case Counter::UsageReportsMissing:
      return "usage_reports_missing";
    case Counter::UsageReportsStale:
      return "usage_reports_old";
    case Counter::UsageReadsFailed:
      return "usage_reads_failed";
    case Counter::WorkersEjected:
      return "workers_ejected";
    case Counter::WorkersProbed:
      return "workers_probed";
    case Counter::WorkersRecovered:
      return "workers_recovered";
    case Counter::WorkersReserved:
      return "workers_held";
    case Counter::OwnerTakeovers:
      return "owner_takeovers";
    case Counter::ClockGaps:
      return "clock_gaps";
    case Counter::SnapshotsWritten:
      return "snapshots_written";
    case Counter::SnapshotsLoaded:
      return "snapshots_loaded";
    case Counter::SnapshotsInvalid:
      return "snapshots_invalid";
    case Counter::OperatorCommands:
      return "operator_commands";
    case Counter::OperatorUnauthorized:
      return "operator_unauthorized";
    case Counter::PeerUnauthorized:
      return "peer_unauthorized";
    case Counter::PeerFramesInvalid:
      return "peer_frames_invalid";
    case Counter::PeerConnectionsReplaced:
      return "peer_connections_replaced";
    case Counter::PeerMessagesDropped:
      return "peer_messages_dropped";
    case Counter::CallersRefusedBusy:
      return "callers_refused_busy";
    case Counter::ControlBytes:
      return "control_bytes";
    case Counter::CallerFramesInvalid:
      return "caller_frames_invalid";
    case Counter::ResponsesWithoutBuffer:
      return "answers_without_room";
  }
  return "invalid";
}

std::string_view
ToString(Gauge aGauge)
{
  switch (aGauge) {
    case Gauge::FleetOffset:
      return "fleet_offset";
  }
  return "invalid";
}

std::string_view
ToString(LatencyMetric aMetric)
{
  switch (aMetric) {
    case LatencyMetric::QueueWait:
      return "queue_wait";
    case LatencyMetric::BackendTime:
      return "backend_time";
    case LatencyMetric::RequestTime:
      return "request_time";
    case LatencyMetric::ConfigurationAge:
      return "configuration_age";
    case LatencyMetric::LogAppend:
      return "log_append";
  }
  return "invalid";
}

} // namespace verbenawell
