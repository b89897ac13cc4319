#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Resources.h"
#include "verbenawell/core/Time.h"

#include <cstdint>

namespace verbenawell {

enum class Urgency : std::uint8_t
{
  Urgent,
  Interactive,
  Long,
};

/// Everything about a request but its body.
struct RequestHead
{
  RequestId id_;
  ServiceId service_;
  TeamId team_;
  Urgency urgency_ = Urgency::Interactive;
  /// Counted from the arrival at the daemon that holds this head.
  Duration deadline_{};
  bool idempotent_ = false;
  Resources declared_;
  Duration declaredRunTime_{};
  ByteCount bodySize_;
};

} // namespace verbenawell
