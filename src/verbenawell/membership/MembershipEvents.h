#pragma once

#include "verbenawell/core/Ids.h"

#include <vector>

namespace verbenawell {

/// The set of members that may own pools has changed.
struct MembersChanged
{
  std::vector<DaemonId> joined_;
  std::vector<DaemonId> lost_;
};

} // namespace verbenawell
