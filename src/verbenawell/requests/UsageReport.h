#pragma once

#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Time.h"
#include "verbenawell/core/Units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace verbenawell {

/// Processors and memory in use.
struct Usage
{
  MilliCores cores_;
  Megabytes memory_;

  bool operator==(const Usage&) const = default;
};

/// What the requests of a service used on one VM since the report before.
struct ServiceUsage
{
  ServiceId service_;
  std::uint32_t requests_ = 0;
  /// Mean of these requests.
  Usage perRequest_;
};

/// What the platform has measured on one VM.
struct UsageReport
{
  VmId vm_;
  /// By the platform's clock; tells reports of a VM apart.
  WallTime at_;
  /// Age when the platform answered, by the same clock.
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
