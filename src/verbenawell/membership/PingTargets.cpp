#include "verbenawell/membership/PingTargets.h"

#include "verbenawell/membership/MembershipLimits.h"
#include "verbenawell/membership/MembershipState.h"

#include <algorithm>
#include <cstdint>
#include <optional>

#include <xxhash.h>

namespace verbenawell {

namespace {

std::uint64_t
PositionInRing(const DaemonId& aDaemon, std::size_t aRing)
{
  return XXH64(aDaemon.Value().data(), aDaemon.Value().size(), aRing + 1);
}

DaemonId
SuccessorInRing(const std::vector<DaemonId>& aOthers,
                const DaemonId& aSelf,
                std::size_t aRing)
{
  // The unsigned difference wraps around like a distance on the ring.
  const std::uint64_t own = PositionInRing(aSelf, aRing);
  return *std::ranges::min_element(aOthers, {}, [&](const DaemonId& aOther) {
    return PositionInRing(aOther, aRing) - own;
  });
}

} // namespace

std::vector<DaemonId>
ChoosePingTargets(const MembershipState& aMembership)
{
  const DaemonId& self = aMembership.self_.daemon_;
  std::vector<DaemonId> others;
  for (const auto& [id, member] : aMembership.members_) {
    if (id != self && IsActive(member.latest_)) {
      others.push_back(id);
    }
  }
  if (others.size() <= kMaxFullMeshPeers) {
    return others;
  }
  std::vector<DaemonId> targets;
  for (std::size_t ring = 0; ring < kPingRings; ++ring) {
    const DaemonId next = SuccessorInRing(others, self, ring);
    if (std::ranges::find(targets, next) == targets.end()) {
      targets.push_back(next);
    }
  }
  return targets;
}

} // namespace verbenawell
