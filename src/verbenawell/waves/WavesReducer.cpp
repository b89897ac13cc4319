#include "verbenawell/waves/WavesReducer.h"

#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/log/Streams.h"
#include "verbenawell/membership/Ownership.h"
#include "verbenawell/waves/WavesState.h"

#include <algorithm>
#include <string>
#include <utility>

namespace verbenawell {

namespace {

constexpr Duration kWaveInterval = std::chrono::milliseconds(250);

class Reducer
{
public:
  Reducer(WavesState& aWaves,
          const Views& aViews,
          const Context& aContext,
          Effects& aEffects)
    : waves_(aWaves)
    , fleet_(aViews.fleet_)
    , views_(aViews)
    , context_(aContext)
    , effects_(aEffects)
  {
  }

  void operator()(const Started&)
  {
    effects_.emplace_back(SetTimer{ WaveTick{}, kWaveInterval });
  }

  void operator()(const TimerDue& aEvent)
  {
    if (!std::holds_alternative<WaveTick>(aEvent.key_)) {
      return;
    }
    for (const auto& [id, wave] : fleet_.waves_) {
      if (!wave.ended_ && Drives(wave)) {
        Advance(id, wave);
      }
    }
    effects_.emplace_back(SetTimer{ WaveTick{}, kWaveInterval });
  }

  void operator()(const PoolDrained& aEvent)
  {
    const auto vm = fleet_.vms_.find(aEvent.vm_);
    if (vm == fleet_.vms_.end() || vm->second.stop_.IsEmpty()) {
      return;
    }
    DrivenStop& stop = waves_.stops_[aEvent.vm_];
    stop.wave_ = vm->second.stop_;
    stop.phase_ = StopPhase::Rebooting;
    stop.boots_ = vm->second.facts_.boots_;
    stop.since_ = context_.now_;
    effects_.emplace_back(RebootVm{ aEvent.vm_, stop.boots_ });
  }

  void operator()(const VmListRead& aEvent)
  {
    for (const VmListing& listing : aEvent.vms_) {
      const auto found = waves_.stops_.find(listing.facts_.vm_);
      if (found != waves_.stops_.end() && listing.live_ &&
          listing.facts_.boots_ > found->second.boots_) {
        Append(found->second.wave_,
               listing.facts_.vm_,
               FinishStop{ found->second.wave_, listing.facts_.vm_ });
        waves_.stops_.erase(found);
      }
    }
  }

  void operator()(const auto&) {}

private:
  [[nodiscard]] bool Drives(const WaveState& aWave) const
  {
    return OwnerOfPool(views_.membership_, aWave.pool_) == context_.self_;
  }

  /// Stops one VM at a time.
  void Advance(const WaveId& aId, const WaveState& aWave)
  {
    const auto is = [](StopStatus aStatus) {
      return [aStatus](const auto& aStop) { return aStop.second == aStatus; };
    };
    if (std::ranges::any_of(aWave.stops_, is(StopStatus::Reserved))) {
      return;
    }
    const auto next =
      std::ranges::find_if(aWave.stops_, is(StopStatus::Waiting));
    if (next == aWave.stops_.end()) {
      Append(aId, VmId{}, EndWave{ aId });
    } else if (!aWave.paused_) {
      Append(aId, next->first, ReserveStop{ aId, next->first });
    }
  }

  void Append(const WaveId& aWave, const VmId& aVm, FleetChange aChange)
  {
    FleetRecord record;
    record.id_ = RecordId{ aWave.Value() + "/" + aVm.Value() + "/" +
                           std::to_string(aChange.index()) + "/" +
                           std::to_string(fleet_.through_.Value()) };
    record.at_ = context_.wallNow_;
    record.author_ = OperatorId{ context_.self_.Value() };
    record.change_ = std::move(aChange);
    const RecordId id = record.id_;
    effects_.emplace_back(
      Raise{ AppendWanted{ FleetStream(), id, std::move(record) } });
  }

  WavesState& waves_;
  const FleetState& fleet_;
  const Views& views_;
  const Context& context_;
  Effects& effects_;
};

} // namespace

void
ReduceWaves(WavesState& aWaves,
            const Views& aViews,
            const Event& aEvent,
            const Context& aContext,
            Effects& aEffects)
{
  std::visit(Reducer{ aWaves, aViews, aContext, aEffects }, aEvent);
}

} // namespace verbenawell
