#pragma once

#include "verbenawell/core/Ids.h"

#include <vector>

namespace verbenawell {

/// The members, or what each may own, have changed. A member that was replaced
/// or paused is both in `lost_` and in `joined_`: what it held is void. This
/// daemon itself is in `lost_` when it must give up what it owns, and in
/// `joined_` when it may own again. Both lists are empty when only owners have
/// changed, because a member began to leave.
struct MembersChanged
{
  std::vector<DaemonId> joined_;
  std::vector<DaemonId> lost_;
};

} // namespace verbenawell
