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
  /// All records were read once; later reads continue at `end_`.
  bool hasReadAll_ = false;
  /// Logged errors by the key of their record. Lists report the same errors
  /// with each read, and each is logged once.
  std::map<std::string, std::string> loggedErrors_;
};

} // namespace verbenawell::jobs
