#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/callers/CallerRequest.h"
#include "verbenawell/jobs/model/Ids.h"

#include <cstdint>
#include <map>

namespace verbenawell::jobs {

/// How far a request has come.
enum class RequestStage : std::uint8_t
{
  /// No owner is known, or the last one did not respond.
  Waiting,
  /// Sent to the owner, which is another daemon.
  Forwarded,
  /// This daemon is the owner, and its modules have yet to decide.
  Deciding,
};

struct OpenRequest
{
  CallerRequest request_;
  TimePoint arrivedAt_;
  TimePoint deadline_;
  bool forwarded_ = false;
  RequestStage stage_ = RequestStage::Waiting;
  /// Number of attempts that may have taken effect at an owner and have no
  /// response.
  int attemptsWithoutResponse_ = 0;
  /// The daemon that got the last attempt; empty before the first one.
  DaemonId sentTo_{};
};

/// Requests that this daemon has received and not responded to.
struct CallersState
{
  std::map<RequestKey, OpenRequest> open_;
  bool isTicking_ = false;
  bool isStopping_ = false;
  TimePoint stopAt_;
};

} // namespace verbenawell::jobs
