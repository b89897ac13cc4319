#pragma once

#include "verbenawell/core/Units.h"
#include "verbenawell/jobs/model/Configuration.h"

#include <map>
#include <optional>
#include <string>

namespace verbenawell::jobs {

struct ConfigurationState
{
  std::optional<Configuration> configuration_;
  std::map<WaveNumber, Wave> waves_;
  Offset end_;
  bool hasReadAll_ = false;
  /// Faults of records that were logged; lists repeat them with each read.
  std::map<std::string, std::string> loggedErrors_;
};

} // namespace verbenawell::jobs
