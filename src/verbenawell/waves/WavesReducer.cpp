#include "verbenawell/waves/WavesReducer.h"

#include "verbenawell/fleet/FleetSettings.h"
#include "verbenawell/fleet/FleetState.h"
#include "verbenawell/log/Streams.h"
#include "verbenawell/membership/Ownership.h"
#include "verbenawell/planner/SparePlan.h"
#include "verbenawell/planner/WavePlan.h"
#include "verbenawell/waves/Schedule.h"
#include "verbenawell/waves/WavesState.h"

#include <set>
#include <string>
#include <utility>

namespace verbenawell {

namespace {

constexpr Duration kWaveTickInterval = std::chrono::milliseconds(250);
constexpr Duration kRebootRetryInterval = std::chrono::seconds(2);
constexpr Duration kScheduleInterval = std::chrono::seconds(60);
/// The smoothed reboot time moves towards a new observation by one part in this
/// many.
constexpr int kRebootTimeSmoothingDivisor = 4;

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
    effects_.emplace_back(SetTimer{ WaveTick{}, kWaveTickInterval });
  }

  void operator()(const TimerDue& aEvent)
  {
    if (!std::holds_alternative<WaveTick>(aEvent.key_)) {
      return;
    }
    effects_.emplace_back(SetTimer{ WaveTick{}, kWaveTickInterval });
    if (waves_.pending_.empty()) {
      for (const auto& [id, wave] : fleet_.waves_) {
        if (!wave.ended_ && OwnsPool(wave.pool_)) {
          AdvanceWave(id, wave);
        }
      }
      RefillPools();
      QueryMovingVms();
    }
    QueryReservedVms();
    CheckReboots();
    CheckSchedule();
  }

  void operator()(const FleetChanged& aEvent)
  {
    for (const Subject& subject : aEvent.subjects_) {
      waves_.index_.Update(fleet_, subject);
    }
  }

  void operator()(const RecordProcessed& aEvent)
  {
    waves_.pending_.erase(aEvent.id_);
  }

  void operator()(const AppendAbandoned& aEvent)
  {
    waves_.pending_.erase(aEvent.id_);
  }

  void operator()(const PoolDrained& aEvent)
  {
    const auto found = fleet_.vms_.find(aEvent.vm_);
    if (found == fleet_.vms_.end() || !OwnsPool(aEvent.pool_)) {
      return;
    }
    const VmState& vm = found->second;
    if (!vm.stopWave_.IsEmpty()) {
      SendReboot(vm);
    } else if (!vm.movingTo_.IsEmpty()) {
      Append(MoveVm{ aEvent.vm_, vm.movingTo_ });
    }
  }

  void operator()(const VmListRead& aEvent)
  {
    for (const VmListing& listing : aEvent.vms_) {
      if (const auto found = waves_.reboots_.find(listing.facts_.vm_);
          found != waves_.reboots_.end()) {
        VerifyReboot(listing, found->second);
      }
    }
  }

  void operator()(const auto&) {}

private:
  [[nodiscard]] bool OwnsPool(const PoolId& aPool) const
  {
    return OwnerOfPool(views_.membership_, aPool) == context_.self_;
  }

  void AdvanceWave(const WaveId& aId, const WaveState& aWave)
  {
    const auto order = OrderStops(fleet_, aWave);
    std::size_t allowed =
      StopsAllowed(fleet_, aWave, waves_.index_.SpareCount());
    for (const VmId& vm : order) {
      if (allowed == 0) {
        return;
      }
      if (const VmState& state = fleet_.vms_.at(vm);
          state.stopWave_.IsEmpty() && state.movingTo_.IsEmpty()) {
        Append(ReserveStop{ aId, vm });
        --allowed;
      }
    }
    if (order.empty() && !HasRunningStops(aWave)) {
      Append(EndWave{ aId });
    }
  }

  static bool HasRunningStops(const WaveState& aWave)
  {
    for (const auto& [vm, status] : aWave.stops_) {
      if (status == StopStatus::Reserved) {
        return true;
      }
    }
    return false;
  }

  void RefillPools()
  {
    if (!OwnsFleetRecords(views_.membership_, context_.self_)) {
      return;
    }
    std::set<PoolId> wavePools;
    for (const auto& [id, wave] : fleet_.waves_) {
      // A wave with a stop in progress continues without a borrowed VM.
      if (!wave.ended_ && !wave.paused_ && !HasRunningStops(wave)) {
        wavePools.insert(wave.pool_);
      }
    }
    for (const PlannedMove& move :
         PlanRefills(waves_.index_, FindSparePool(fleet_), wavePools)) {
      Append(MoveVm{ move.vm_, move.to_ },
             { { move.vm_, VersionOf(fleet_, move.vm_) } });
    }
  }

  // The owner of the pool raises `PoolDrained` when the last request on the VM
  // ends. Asking again covers a VM that is idle already because another daemon
  // drove the first part of its stop.
  void QueryReservedVms()
  {
    for (const auto& [id, wave] : fleet_.waves_) {
      if (wave.ended_) {
        continue;
      }
      for (const auto& [vm, status] : wave.stops_) {
        if (status == StopStatus::Reserved && !waves_.reboots_.contains(vm)) {
          QueryDrain(vm);
        }
      }
    }
  }

  // The pool may have had no owner, or the log may have been unavailable, when
  // the VM's last request ended.
  void QueryMovingVms()
  {
    for (const VmId& vm : waves_.index_.Moving()) {
      QueryDrain(vm);
    }
  }

  // The VM may have left the pool of the wave. Only the owner of its current
  // pool knows what runs on it.
  void QueryDrain(const VmId& aVm)
  {
    if (const auto found = fleet_.vms_.find(aVm);
        found != fleet_.vms_.end() && OwnsPool(found->second.pool_)) {
      effects_.emplace_back(Raise{ DrainQuery{ found->second.pool_, aVm } });
    }
  }

  void SendReboot(const VmState& aVm)
  {
    const VmId& id = aVm.facts_.vm_;
    const auto [entry, isNew] =
      waves_.reboots_.try_emplace(id,
                                  PendingReboot{ .wave_ = aVm.stopWave_,
                                                 .boots_ = aVm.facts_.boots_,
                                                 .firstSentAt_ = context_.now_,
                                                 .lastSentAt_ = context_.now_,
                                                 .endRecord_ = {} });
    if (isNew) {
      effects_.emplace_back(RebootVm{ id, aVm.facts_.boots_ });
    }
  }

  [[nodiscard]] bool HasPendingEnd(const PendingReboot& aReboot) const
  {
    return waves_.pending_.contains(aReboot.endRecord_);
  }

  // The entry stays in `reboots_` until the fleet state has ended the stop.
  // Without it, the stop, which is still reserved, would start another reboot.
  void VerifyReboot(const VmListing& aListing, PendingReboot& aReboot)
  {
    const VmFacts& facts = aListing.facts_;
    if (!aListing.live_ || facts.boots_ <= aReboot.boots_ ||
        HasPendingEnd(aReboot)) {
      return;
    }
    if (!std::exchange(aReboot.verified_, true)) {
      const Duration rebootTime = context_.now_ - aReboot.firstSentAt_;
      waves_.rebootTime_ +=
        (rebootTime - waves_.rebootTime_) / kRebootTimeSmoothingDivisor;
    }
    aReboot.endRecord_ =
      Append(FinishStop{ aReboot.wave_, facts.vm_, facts.boots_ });
  }

  void CheckReboots()
  {
    const Duration limit = std::chrono::seconds(ValueOf(fleet_, kRebootLimit));
    for (auto entry = waves_.reboots_.begin();
         entry != waves_.reboots_.end();) {
      auto& [vm, reboot] = *entry;
      const auto found = fleet_.vms_.find(vm);
      if (found == fleet_.vms_.end() ||
          found->second.stopWave_ != reboot.wave_) {
        entry = waves_.reboots_.erase(entry);
        continue;
      }
      if (!reboot.verified_ && !HasPendingEnd(reboot)) {
        if (context_.now_ - reboot.firstSentAt_ >= limit) {
          reboot.endRecord_ = Append(FailStop{ reboot.wave_, vm });
        } else {
          ResendReboot(vm, reboot);
        }
      }
      ++entry;
    }
  }

  // A command may be lost. The platform ignores a repeated one once the boot
  // count has changed.
  void ResendReboot(const VmId& aVm, PendingReboot& aReboot)
  {
    if (context_.now_ - aReboot.lastSentAt_ >= kRebootRetryInterval) {
      aReboot.lastSentAt_ = context_.now_;
      effects_.emplace_back(RebootVm{ aVm, aReboot.boots_ });
    }
  }

  void CheckSchedule()
  {
    if (context_.now_ - waves_.scheduleCheckedAt_ < kScheduleInterval ||
        !OwnsFleetRecords(views_.membership_, context_.self_)) {
      return;
    }
    waves_.scheduleCheckedAt_ = context_.now_;
    for (StartWave& wave : DueWaves(fleet_, context_.wallNow_)) {
      const WaveId id = wave.wave_;
      Append(std::move(wave), { { id, Offset{} } });
    }
  }

  RecordId Append(FleetChange aChange,
                  std::vector<Precondition> aPreconditions = {})
  {
    FleetRecord record;
    record.id_ =
      RecordId{ context_.self_.Value() + "/waves/" +
                std::to_string(context_.wallNow_.time_since_epoch().count()) +
                "/" + std::to_string(++waves_.lastRecord_) };
    record.at_ = context_.wallNow_;
    record.author_ = OperatorId{ context_.self_.Value() };
    record.preconditions_ = std::move(aPreconditions);
    record.change_ = std::move(aChange);
    RecordId id = record.id_;
    waves_.pending_.insert(id);
    effects_.emplace_back(
      Raise{ AppendRequested{ FleetStream(), id, std::move(record) } });
    return id;
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
