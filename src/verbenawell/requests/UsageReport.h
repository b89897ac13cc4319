#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/core/Units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace verbenawell {

/// Cores and memory in use.
struct Usage
{
  MilliCores cores_;
  Megabytes memory_;

  bool operator==(const Usage&) const = default;
};

/// Usage of the requests of a service on one VM since the previous report.
struct ServiceUsage
{
  ServiceId service_;
  std::uint32_t requests_ = 0;
  /// Mean usage of one request.
  Usage perRequest_;
};

/// Usage of one VM as measured by the platform.
struct UsageReport
{
  VmId vm_;
  /// Time of the measurement by the platform's clock. Differs between the
  /// reports of a VM.
  WallTime at_;
  /// Age of the measurement when the platform responded, by the same clock.
  Duration age_{};
  Usage used_;
  std::vector<ServiceUsage> services_;
};

struct UsageRead
{
  std::vector<UsageReport> reports_;
};

struct UsageReadFailed
{
  std::string reason_;
};

} // namespace verbenawell
