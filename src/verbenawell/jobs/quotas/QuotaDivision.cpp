#include "verbenawell/jobs/quotas/QuotaDivision.h"

#include <algorithm>
#include <chrono>
#include <numeric>
#include <optional>
#include <tuple>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// In a turn the other shards' tasks have to end before a large one can start.
// Short tasks run for 1 to 2 s.
constexpr Duration kTurnTime = 4s;
constexpr std::size_t kKinds = std::tuple_size_v<ResourceAmounts>;

/// Divides an amount of one resource. The remainder of the division goes to
/// another shard in each turn.
std::vector<std::uint64_t>
DivideAmount(std::uint64_t aAmount,
             const std::vector<std::uint64_t>& aNeeds,
             std::size_t aTurn)
{
  std::vector<std::uint64_t> parts(aNeeds.size());
  std::vector<std::size_t> order(aNeeds.size());
  std::iota(order.begin(), order.end(), std::size_t{ 0 });
  std::rotate(order.begin(),
              order.begin() + static_cast<std::ptrdiff_t>(aTurn % order.size()),
              order.end());
  std::ranges::stable_sort(
    order, {}, [&](std::size_t aIndex) { return aNeeds[aIndex]; });
  std::uint64_t left = aAmount;
  std::uint64_t shards = aNeeds.size();
  for (const std::size_t index : order) {
    parts[index] = std::min(aNeeds[index], left / shards);
    left -= parts[index];
    --shards;
  }
  // What nobody needs yet lets new tasks start without another division.
  for (std::uint64_t& part : parts) {
    part += left / parts.size();
  }
  return parts;
}

/// The shard whose turn it is among those whose largest task does not fit into
/// their parts.
std::optional<std::size_t>
BlockedInTurn(const ResourceAmounts& aQuota,
              const std::vector<ShardNeed>& aNeeds,
              const std::vector<ResourceAmounts>& aParts,
              std::size_t aTurn)
{
  std::vector<std::size_t> blocked;
  for (std::size_t index = 0; index < aNeeds.size(); ++index) {
    const ResourceAmounts largest = ToAmounts(aNeeds[index].largest_);
    bool isBlocked = false;
    for (std::size_t kind = 0; kind < kKinds; ++kind) {
      isBlocked |= aQuota[kind] > 0 && largest[kind] > aParts[index][kind];
    }
    if (isBlocked) {
      blocked.push_back(index);
    }
  }
  if (blocked.empty()) {
    return std::nullopt;
  }
  return blocked[aTurn % blocked.size()];
}

std::vector<ResourceAmounts>
DivideAll(const ResourceAmounts& aQuota,
          const std::vector<ShardNeed>& aNeeds,
          std::size_t aTurn)
{
  std::vector<ResourceAmounts> parts(aNeeds.size());
  for (std::size_t kind = 0; kind < kKinds; ++kind) {
    std::vector<std::uint64_t> needs;
    needs.reserve(aNeeds.size());
    for (const ShardNeed& need : aNeeds) {
      needs.push_back(ToAmounts(need.used_)[kind] +
                      ToAmounts(need.wanted_)[kind]);
    }
    const auto amounts = DivideAmount(aQuota[kind], needs, aTurn);
    for (std::size_t index = 0; index < aNeeds.size(); ++index) {
      parts[index][kind] = amounts[index];
    }
  }
  return parts;
}

} // namespace

ResourceAmounts
ToAmounts(const Resources& aResources)
{
  return { aResources.cpu_.Value(),
           aResources.memory_.Value(),
           aResources.accelerators_.Value() };
}

Resources
ToResources(const ResourceAmounts& aAmounts)
{
  return { MilliCores{ aAmounts[0] },
           Megabytes{ aAmounts[1] },
           Accelerators{ static_cast<std::uint32_t>(aAmounts[2]) } };
}

Resources
Max(const Resources& aLeft, const Resources& aRight)
{
  return { std::max(aLeft.cpu_, aRight.cpu_),
           std::max(aLeft.memory_, aRight.memory_),
           std::max(aLeft.accelerators_, aRight.accelerators_) };
}

std::vector<Resources>
Divide(const Resources& aQuota,
       const std::vector<ShardNeed>& aNeeds,
       TimePoint aNow)
{
  const ResourceAmounts quota = ToAmounts(aQuota);
  const auto turn =
    static_cast<std::size_t>(aNow.time_since_epoch() / kTurnTime);
  std::vector<ResourceAmounts> parts = DivideAll(quota, aNeeds, turn);
  if (const auto blocked = BlockedInTurn(quota, aNeeds, parts, turn); blocked) {
    ResourceAmounts own = ToAmounts(aNeeds[*blocked].largest_);
    ResourceAmounts rest = quota;
    for (std::size_t kind = 0; kind < kKinds; ++kind) {
      own[kind] =
        std::min(std::max(own[kind], parts[*blocked][kind]), quota[kind]);
      rest[kind] -= own[kind];
    }
    std::vector<ShardNeed> others = aNeeds;
    others.erase(others.begin() + static_cast<std::ptrdiff_t>(*blocked));
    parts = others.empty() ? std::vector<ResourceAmounts>{}
                           : DivideAll(rest, others, turn);
    parts.insert(parts.begin() + static_cast<std::ptrdiff_t>(*blocked), own);
  }
  std::vector<Resources> result;
  result.reserve(parts.size());
  for (const ResourceAmounts& part : parts) {
    result.push_back(ToResources(part));
  }
  return result;
}

} // namespace verbenawell::jobs
