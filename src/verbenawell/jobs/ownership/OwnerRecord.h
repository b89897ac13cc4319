#pragma once

#include "verbenawell/core/Endpoint.h"
#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Units.h"
#include "verbenawell/jobs/model/Ids.h"

#include <string>

namespace verbenawell::jobs {

/// What the owner topic says about its newest owner.
struct OwnerRecord
{
  DaemonId daemon_;
  /// Drawn by each process at its start.
  std::string instance_;
  /// Where the other daemons send requests.
  Endpoint address_;
  /// Zero in a claim, whose epoch follows from its offset.
  Epoch epoch_;
  bool resigned_ = false;
  /// Processor share of the daemon's VM; zero where it is not known.
  MilliCores processor_;

  bool operator==(const OwnerRecord&) const = default;
};

} // namespace verbenawell::jobs
