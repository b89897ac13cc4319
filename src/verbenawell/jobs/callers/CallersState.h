#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/callers/CallerRequest.h"
#include "verbenawell/jobs/model/Ids.h"

#include <cstdint>
#include <map>

namespace verbenawell::jobs {

/// Where a request is.
enum class RequestStage : std::uint8_t
{
  /// No owner is known, or the last one did not answer.
  Waiting,
  /// Sent to the owner.
  Forwarded,
  /// With the owner's modules on this daemon.
  Deciding,
};

struct OpenRequest
{
  CallerRequest request_;
  TimePoint arrivedAt_;
  TimePoint deadline_;
  bool forwarded_ = false;
  RequestStage stage_ = RequestStage::Waiting;
  /// Times that an owner may have acted on it without an answer.
  int attemptsWithoutResponse_ = 0;
};

/// Requests that this daemon has read and not answered.
struct CallersState
{
  std::map<RequestKey, OpenRequest> open_;
  bool isTicking_ = false;
  bool isStopping_ = false;
  TimePoint stopAt_;
};

} // namespace verbenawell::jobs
