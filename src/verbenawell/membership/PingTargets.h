#pragma once

#include "verbenawell/core/Ids.h"

#include <vector>

namespace verbenawell {

struct MembershipState;

/// Members that this daemon pings each period: all others if they are few, else
/// its successor in each of several rings. Every daemon computes the same rings
/// from the ids.
std::vector<DaemonId>
ChoosePingTargets(const MembershipState& aMembership);

} // namespace verbenawell
