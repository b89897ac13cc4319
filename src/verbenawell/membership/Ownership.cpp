#include "verbenawell/membership/Ownership.h"

#include "verbenawell/membership/MembershipState.h"

#include <cstdint>

#include <xxhash.h>

namespace verbenawell {

DaemonId
OwnerOf(const MembershipState& aMembership, std::string_view aKey)
{
  DaemonId best;
  std::uint64_t bestScore = 0;
  for (const auto& [id, member] : aMembership.members_) {
    const MemberStatus status = member.latest_.status_;
    if (status == MemberStatus::Dead || status == MemberStatus::Left) {
      continue;
    }
    const std::uint64_t seed = XXH64(aKey.data(), aKey.size(), 0);
    const std::uint64_t score =
      XXH64(id.Value().data(), id.Value().size(), seed);
    if (best.IsEmpty() || score > bestScore) {
      best = id;
      bestScore = score;
    }
  }
  return best;
}

std::vector<DaemonId>
LiveMembers(const MembershipState& aMembership)
{
  std::vector<DaemonId> live;
  for (const auto& [id, member] : aMembership.members_) {
    const MemberStatus status = member.latest_.status_;
    if (status != MemberStatus::Dead && status != MemberStatus::Left) {
      live.push_back(id);
    }
  }
  return live;
}

bool
MayOwnPools(const MembershipState& aMembership)
{
  return aMembership.hasMajority_ && aMembership.settled_;
}

DaemonId
OwnerOfPool(const MembershipState& aMembership, const PoolId& aPool)
{
  return OwnerOf(aMembership, "pool/" + aPool.Value());
}

bool
OwnsFleetRecords(const MembershipState& aMembership, const DaemonId& aSelf)
{
  return OwnerOf(aMembership, "fleet") == aSelf;
}

} // namespace verbenawell
