#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/core/Units.h"

#include <cstdint>
#include <map>

namespace verbenawell {

enum class StopPhase : std::uint8_t
{
  /// Takes no new work; requests in progress finish.
  Draining,
  /// The platform has been asked to reboot the VM.
  Rebooting,
};

/// A planned stop that this daemon drives.
struct DrivenStop
{
  WaveId wave_;
  StopPhase phase_ = StopPhase::Draining;
  /// Boot that the reboot replaces.
  BootCount boots_;
  TimePoint since_;
};

struct WavesState
{
  std::map<VmId, DrivenStop> stops_;
};

} // namespace verbenawell
