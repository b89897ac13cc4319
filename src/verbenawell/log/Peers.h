#pragma once

#include "verbenawell/core/Context.h"
#include "verbenawell/core/Random.h"

#include <cstddef>
#include <vector>

namespace verbenawell {

struct MembershipState;

/// Chooses up to `aCount` random members, alive and other than this daemon.
std::vector<DaemonId>
ChoosePeers(const MembershipState& aMembership,
            const DaemonId& aSelf,
            std::size_t aCount,
            Random& aRandom);

} // namespace verbenawell
