#pragma once

#include "verbenawell/core/Ids.h"

#include <vector>

namespace verbenawell {

/// The members, or the keys that each of them owns, have changed. A member that
/// was restarted or paused is in both `lost_` and `joined_`, because it has
/// lost everything that it owned. This daemon itself is in `lost_` when it must
/// give up what it owns, and in `joined_` when it may own keys again. Both
/// lists are empty if only owners have changed, because a member began to
/// leave.
struct MembersChanged
{
  std::vector<DaemonId> joined_;
  std::vector<DaemonId> lost_;
};

} // namespace verbenawell
