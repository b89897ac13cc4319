#include "verbenawell/jobs/sharding/internal/SharedWaves.h"

#include "verbenawell/jobs/sharding/DaemonState.h"
#include "verbenawell/jobs/sharding/Shards.h"

#include <algorithm>

namespace verbenawell::jobs {

namespace {

// The owner knows the progress of its shard; the others read it in its record.
bool
HasEnded(const State& aShard, WaveNumber aWave)
{
  if (aShard.ownership_.AsOwner() != nullptr) {
    return aShard.maintenance_.HasEnded(aWave);
  }
  const auto& owner = aShard.ownership_.owner_;
  return owner && std::ranges::find(owner->endedWaves_, aWave) !=
                    owner->endedWaves_.end();
}

bool
WaitsForOtherShards(const State& aFirst, WaveNumber aWave)
{
  const auto& waves = aFirst.maintenance_.waves_;
  const auto found = waves.find(aWave);
  return found != waves.end() &&
         found->second.wave_.scope_ == WaveScope::FirstShard &&
         !found->second.hasEndedElsewhere_;
}

} // namespace

std::vector<ShardEvent>
WaveEvents(const DaemonState& aState)
{
  std::vector<ShardEvent> events;
  if (!aState.count_) {
    return events;
  }
  for (const auto& [number, wave] : aState.waves_) {
    bool hasEndedElsewhere = true;
    for (std::uint32_t index = 0; index < aState.count_->Value(); ++index) {
      const State& state = aState.shards_[index];
      const ShardIndex shard{ index };
      if (index > 0) {
        hasEndedElsewhere = hasEndedElsewhere && HasEnded(state, number);
      }
      if (state.configuration_.waves_.contains(number)) {
        continue;
      }
      const auto earlier = TurnAfter(wave, shard, *aState.count_);
      if (!earlier || HasEnded(aState.shards_[earlier->Value()], number)) {
        events.push_back(
          { shard, WaveAssigned{ PartOf(wave, shard, *aState.count_) } });
      }
    }
    if (hasEndedElsewhere &&
        WaitsForOtherShards(aState.shards_.front(), number)) {
      events.push_back({ ShardIndex{}, OtherShardsEndedWave{ number } });
    }
  }
  return events;
}

} // namespace verbenawell::jobs
