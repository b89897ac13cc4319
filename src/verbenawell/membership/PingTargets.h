#pragma once

#include "verbenawell/core/Ids.h"

#include <vector>

namespace verbenawell {

struct MembershipState;

/// The members that this daemon pings each period: all while they are few,
/// else its successor in each of several rings that every daemon computes
/// from the ids alike.
std::vector<DaemonId>
ChoosePingTargets(const MembershipState& aMembership);

} // namespace verbenawell
