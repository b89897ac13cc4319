#pragma once

#include "verbenawell/core/Endpoint.h"
#include "verbenawell/core/Ids.h"
#include "verbenawell/core/Resources.h"

namespace verbenawell {

/// Properties of a VM as the platform reports them.
struct VmFacts
{
  VmId vm_;
  Endpoint address_;
  RegionId region_;
  ZoneId zone_;
  RackId rack_;
  Resources size_;
  SlotCount slots_;
  BootCount boots_;

  bool operator==(const VmFacts&) const = default;
};

} // namespace verbenawell
