#include "verbenawell/membership/Ownership.h"

#include "verbenawell/membership/MembershipState.h"

#include <algorithm>
#include <cstdint>

#include <xxhash.h>

namespace verbenawell {

namespace {

// Far above the number of pools; limits the memory that look-ups of unknown
// names use.
constexpr std::size_t kMaxCachedOwners = 4096;

DaemonId
ComputeOwner(const MembershipState& aMembership, std::string_view aKey)
{
  DaemonId best;
  std::uint64_t bestScore = 0;
  const std::uint64_t seed = XXH64(aKey.data(), aKey.size(), 0);
  for (const auto& [id, member] : aMembership.members_) {
    if (!IsActive(member.latest_) || member.latest_.leaving_) {
      continue;
    }
    const std::uint64_t score =
      XXH64(id.Value().data(), id.Value().size(), seed);
    if (best.IsEmpty() || score > bestScore) {
      best = id;
      bestScore = score;
    }
  }
  return best;
}

} // namespace

DaemonId
OwnerOf(const MembershipState& aMembership, std::string_view aKey)
{
  if (!MayOwnPools(aMembership)) {
    return {};
  }
  auto& owners = aMembership.cachedOwners_;
  std::string key{ aKey };
  if (const auto found = owners.find(key); found != owners.end()) {
    return found->second;
  }
  if (owners.size() >= kMaxCachedOwners) {
    owners.clear();
  }
  return owners.emplace(std::move(key), ComputeOwner(aMembership, aKey))
    .first->second;
}

std::vector<DaemonId>
LiveMembers(const MembershipState& aMembership)
{
  std::vector<DaemonId> live;
  for (const auto& [id, member] : aMembership.members_) {
    if (IsActive(member.latest_)) {
      live.push_back(id);
    }
  }
  return live;
}

bool
MayOwnPools(const MembershipState& aMembership)
{
  return aMembership.hasMajority_ && aMembership.hasStableMajority_;
}

bool
DeadMemberMayRunRequests(const MembershipState& aMembership, WallTime aNow)
{
  return std::ranges::any_of(aMembership.members_, [&](const auto& aEntry) {
    const MemberUpdate& latest = aEntry.second.latest_;
    return latest.status_ == MemberStatus::Dead && latest.busyUntil_ > aNow;
  });
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
