#pragma once

#include "verbenawell/core/Ids.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace verbenawell {

struct FleetState;

/// A setting that operators change with the `set` command.
struct FleetSetting
{
  std::string_view name_;
  std::string_view unit_;
  std::uint64_t default_ = 0;
  std::uint64_t min_ = 0;
  std::uint64_t max_ = 0;
  std::string_view meaning_;
};

/// Time after which a VM that has not come back from a reboot counts as failed.
inline constexpr FleetSetting kRebootLimit{
  "reboot-limit",
  "s",
  600,
  10,
  7200,
  "a VM that is not back by then counts as failed"
};

/// Maximum number of planned stops of one wave at a time.
inline constexpr FleetSetting kWaveWidth{
  "wave-width",
  "VMs",
  0,
  0,
  1000,
  "most planned stops of a wave at once; 0: as many as budgets allow"
};

/// Time since the last maintenance of a VM after which the maintenance schedule
/// includes it in a wave.
inline constexpr FleetSetting kMaintenanceInterval{
  "maintenance-interval",
  "days",
  0,
  0,
  365,
  "each VM is rebooted once in this time; 0: no standing schedule"
};

inline constexpr std::array<FleetSetting, 3> kFleetSettings{
  kRebootLimit,
  kWaveWidth,
  kMaintenanceInterval
};

/// Finds a setting by name; null if there is none.
const FleetSetting*
FindFleetSetting(std::string_view aName);

/// Value in force: the one that operators have set, or the default if there is
/// none or it is not valid.
std::uint64_t
ValueOf(const FleetState& aFleet, const FleetSetting& aSetting);

} // namespace verbenawell
