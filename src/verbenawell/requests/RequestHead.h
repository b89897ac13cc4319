#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Resources.h"
#include "verbenawell/core/Time.h"

#include <cstdint>

namespace verbenawell {

/// How soon a request must start, as its caller declares it.
enum class Urgency : std::uint8_t
{
  Urgent,
  Interactive,
  Long,
};

/// A request without its body.
struct RequestHead
{
  RequestId id_;
  ServiceId service_;
  TeamId team_;
  Urgency urgency_ = Urgency::Interactive;
  /// Time limit, from the request's arrival at the daemon that has this head.
  Duration deadline_{};
  bool idempotent_ = false;
  Resources declared_;
  Duration declaredRunTime_{};
  ByteCount bodySize_;
};

} // namespace verbenawell
