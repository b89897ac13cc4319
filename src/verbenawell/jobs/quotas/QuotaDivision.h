#pragma once

#include "verbenawell/core/Time.h"
#include "verbenawell/jobs/model/Resources.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace verbenawell::jobs {

/// The amounts of the resources, for decisions that treat them alike.
using ResourceAmounts = std::array<std::uint64_t, 3>;

ResourceAmounts
ToAmounts(const Resources& aResources);

Resources
ToResources(const ResourceAmounts& aAmounts);

/// The greater amount of each resource.
Resources
Max(const Resources& aLeft, const Resources& aRight);

/// What a shard needs of a quota.
struct ShardNeed
{
  Resources used_;
  Resources wanted_;
  /// The most that a waiting task, or a waiting gang as a whole, needs.
  Resources largest_;
};

/// Divides a quota among shards. If the needs exceed it, a shard gets its need
/// or, if that is less, the same as the others. The shards for whose largest
/// tasks that is too little get enough for them in turns, by the time. A
/// resource of 0 has no limit and is not divided.
std::vector<Resources>
Divide(const Resources& aQuota,
       const std::vector<ShardNeed>& aNeeds,
       TimePoint aNow);

} // namespace verbenawell::jobs
