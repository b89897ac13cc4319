#include "verbenawell/jobs/sharding/Shards.h"

#include "verbenawell/core/Overloaded.h"

#include <algorithm>
#include <cstdint>
#include <iterator>
#include <string>

#include <xxhash.h>

namespace verbenawell::jobs {

namespace {

// VMs for each shard, rounded to the nearest number of shards. The VMs start
// and end some 500 tasks a second, which takes about 40% of half a core.
constexpr std::size_t kVmsPerShard = 250;

ShardIndex
ShardOfText(const std::string& aText, ShardCount aCount)
{
  const std::uint64_t hash = XXH64(aText.data(), aText.size(), 0);
  return ShardIndex{ static_cast<std::uint32_t>(hash % aCount.Value()) };
}

} // namespace

ShardCount
ShardCountFor(std::size_t aVms)
{
  return ShardCount{ static_cast<std::uint32_t>(std::clamp<std::size_t>(
    (aVms + kVmsPerShard / 2) / kVmsPerShard, 1, kMaxShards.Value())) };
}

ShardIndex
ShardOf(const JobId& aJob, ShardCount aCount)
{
  return ShardOfText(aJob.Value(), aCount);
}

ShardIndex
ShardOf(const VmId& aVm, ShardCount aCount)
{
  return ShardOfText(aVm.Value(), aCount);
}

std::optional<ShardIndex>
ShardOf(const CallerAction& aAction, ShardCount aCount)
{
  return std::visit(
    Overloaded{ [](const CountPending&) { return std::optional<ShardIndex>{}; },
                [&](const auto&) {
                  return std::optional{ ShardOf(JobOf(aAction), aCount) };
                } },
    aAction);
}

// The limits of the parts add up to that of the wave, so the owners need not
// agree on each VM.
Wave
PartOf(const Wave& aWave, ShardIndex aShard, ShardCount aCount)
{
  if (aCount == ShardCount{ 1 }) {
    return aWave;
  }
  Wave part{ aWave.number_, {}, aWave.duration_, {}, WaveScope::OtherShard };
  if (aShard == ShardIndex{}) {
    part.scope_ = WaveScope::FirstShard;
  }
  std::ranges::copy_if(
    aWave.vms_, std::back_inserter(part.vms_), [&](const VmId& aVm) {
      return ShardOf(aVm, aCount) == aShard;
    });
  const std::uint32_t limit = std::max(1U, aWave.maxVmsDown_.Value());
  const std::uint32_t rest = limit % aCount.Value();
  part.maxVmsDown_ = VmCount{ std::max(
    1U, limit / aCount.Value() + (aShard.Value() < rest ? 1U : 0U)) };
  // Shards that take turns share the time of the wave.
  part.duration_ /= (aCount.Value() + limit - 1) / limit;
  return part;
}

std::optional<ShardIndex>
TurnAfter(const Wave& aWave, ShardIndex aShard, ShardCount aCount)
{
  const std::uint32_t limit = std::max(1U, aWave.maxVmsDown_.Value());
  if (limit >= aCount.Value() || aShard.Value() < limit) {
    return std::nullopt;
  }
  return ShardIndex{ aShard.Value() - limit };
}

} // namespace verbenawell::jobs
