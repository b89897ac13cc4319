#include "verbenawell/jobs/metrics/Counter.h"

namespace verbenawell::jobs {

std::string_view
ToString(Counter aCounter)
{
  switch (aCounter) {
    case Counter::RequestsReceived:
      return "requests_received";
    case Counter::RequestsForwarded:
      return "requests_forwarded";
    case Counter::ForwardsRepeated:
      return "forwards_repeated";
    case Counter::RequestsTimedOut:
      return "requests_timed_out";
    case Counter::JobsAccepted:
      return "jobs_accepted";
    case Counter::JobsCompleted:
      return "jobs_completed";
    case Counter::JobsFailed:
      return "jobs_failed";
    case Counter::JobsCancelled:
      return "jobs_cancelled";
    case Counter::JobsHandedOver:
      return "jobs_handed_over";
    case Counter::TasksStarted:
      return "tasks_started";
    case Counter::RunsLost:
      return "runs_lost";
    case Counter::TasksGivenUp:
      return "tasks_given_up";
    case Counter::RunsUnknown:
      return "runs_unknown";
    case Counter::WorkersCrashed:
      return "workers_crashed";
    case Counter::StartsRepeated:
      return "starts_repeated";
    case Counter::StopCommandsSent:
      return "stops_ordered";
    case Counter::StopsWithoutResponse:
      return "stops_unanswered";
    case Counter::StopsRepeated:
      return "stops_repeated";
    case Counter::StopsOverdue:
      return "stops_overdue";
    case Counter::ThrottleCommandsSent:
      return "paces";
    case Counter::LeaseRenewalsSent:
      return "holds_sent";
    case Counter::LeaseRenewalsFailed:
      return "holds_failed";
    case Counter::ReportsOutdated:
      return "reports_outdated";
    case Counter::RecordsInvalid:
      return "records_invalid";
    case Counter::OwnershipsTaken:
      return "ownerships_taken";
    case Counter::OwnershipsLost:
      return "ownerships_lost";
    case Counter::AppendsRepeated:
      return "appends_repeated";
    case Counter::StoreCallsFailed:
      return "store_calls_failed";
    case Counter::MaintenanceCommandsSent:
      return "upkeeps_ordered";
    case Counter::MaintenanceCommandsRepeated:
      return "upkeeps_repeated";
    case Counter::VmsMoved:
      return "vms_moved";
    case Counter::AdviceReceived:
      return "advice_given";
    case Counter::AdviceFailed:
      return "advice_failed";
    case Counter::WorkersEjected:
      return "workers_suspected";
    case Counter::WorkersRecovered:
      return "workers_cleared";
    case Counter::SlowRunsStopped:
      return "slow_runs_stopped";
    case Counter::QuotaWaits:
      return "quota_waits";
  }
  return "unknown";
}

std::string_view
ToString(LatencyMetric aMetric)
{
  switch (aMetric) {
    case LatencyMetric::Accept:
      return "accept";
    case LatencyMetric::JobTime:
      return "job_time";
    case LatencyMetric::TakeOver:
      return "take_over";
    case LatencyMetric::LoopDelay:
      return "loop_delay";
    case LatencyMetric::EventDelay:
      return "event_delay";
  }
  return "unknown";
}

} // namespace verbenawell::jobs
