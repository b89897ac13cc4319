#pragma once

#include "verbenawell/core/Time.h"
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
  /// When the configuration in use was the newest one in the store, as far as
  /// this daemon knows.
  TimePoint newestAt_;
  /// Since when reads of the operators' records fail; empty after a success.
  std::optional<TimePoint> failingSince_;
  /// The reads have failed for so long that other daemons are asked.
  bool isPollingPeers_ = false;
  /// Logged errors by the key of their record. Lists report the same errors
  /// with each read, and each is logged once.
  std::map<std::string, std::string> loggedErrors_;
};

} // namespace verbenawell::jobs
