#include "verbenawell/requests/Reasons.h"

namespace verbenawell {

std::string_view
ToString(RefusalReason aReason)
{
  switch (aReason) {
    case RefusalReason::BadRequest:
      return "bad-request";
    case RefusalReason::Oversize:
      return "oversize";
    case RefusalReason::UnknownService:
      return "unknown-service";
    case RefusalReason::QueueFull:
      return "queue-full";
    case RefusalReason::Quota:
      return "quota";
    case RefusalReason::Deadline:
      return "deadline";
    case RefusalReason::NeverFits:
      return "never-fits";
    case RefusalReason::NoWorker:
      return "no-worker";
    case RefusalReason::NoOwner:
      return "no-owner";
    case RefusalReason::LogDown:
      return "log-down";
    case RefusalReason::Draining:
      return "draining";
    case RefusalReason::Duplicate:
      return "duplicate";
    case RefusalReason::RetriesExhausted:
      return "retries-exhausted";
    case RefusalReason::ServiceMoved:
      return "service-moved";
    case RefusalReason::BuffersFull:
      return "buffers-full";
  }
  return "invalid";
}

std::string_view
ToString(UnknownReason aReason)
{
  switch (aReason) {
    case UnknownReason::BackendConnectionLost:
      return "backend-cut";
    case UnknownReason::BackendTimeout:
      return "backend-timeout";
    case UnknownReason::BackendOversize:
      return "backend-oversize";
    case UnknownReason::AlreadyStarted:
      return "already-started";
  }
  return "invalid";
}

std::string_view
ToString(RetryReason aReason)
{
  switch (aReason) {
    case RetryReason::ConnectFailed:
      return "connect-failed";
    case RetryReason::IdempotentConnectionLost:
      return "idempotent-cut";
    case RetryReason::IdempotentTimeout:
      return "idempotent-timeout";
    case RetryReason::OwnerChanged:
      return "owner-changed";
    case RetryReason::WorkerRefused:
      return "worker-refused";
  }
  return "invalid";
}

} // namespace verbenawell
