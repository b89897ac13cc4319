#pragma once

#include "verbenawell/core/Units.h"
#include "verbenawell/jobs/model/Configuration.h"

#include <optional>
#include <string>
#include <vector>

namespace verbenawell::jobs {

/// The newest record of each key that operators wrote.
struct OperatorRecordsRead
{
  std::optional<Configuration> configuration_;
  std::vector<Wave> waves_;
  /// Where the next read continues.
  Offset end_;
};

/// The records from the requested offset on were deleted, so the newest records
/// have to be read instead.
struct OperatorRecordsExpired
{};

struct OperatorReadFailed
{};

/// A record in the store cannot be decoded. The other records are used.
struct RecordInvalid
{
  std::string key_;
  std::string reason_;
};

/// This daemon uses a newer version of the configuration.
struct ConfigurationChanged
{};

/// Operators requested the maintenance of a wave of VMs.
struct WaveRequested
{
  Wave wave_;
};

} // namespace verbenawell::jobs
