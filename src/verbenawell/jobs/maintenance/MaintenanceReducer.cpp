#include "verbenawell/jobs/maintenance/MaintenanceReducer.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/jobs/configuration/ConfigurationState.h"
#include "verbenawell/jobs/maintenance/EndedWorkers.h"
#include "verbenawell/jobs/maintenance/MaintenanceState.h"
#include "verbenawell/jobs/maintenance/VmCommands.h"
#include "verbenawell/jobs/maintenance/WavePace.h"
#include "verbenawell/jobs/maintenance/WaveRecords.h"
#include "verbenawell/jobs/maintenance/WaveStatusWrites.h"
#include "verbenawell/jobs/maintenance/internal/DrainOrder.h"
#include "verbenawell/jobs/maintenance/internal/VmDrain.h"
#include "verbenawell/jobs/ownership/OwnershipState.h"
#include "verbenawell/jobs/workers/WorkersState.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration kTickInterval = 250ms;
// Interval between reads of the VM list that suffices for moves between pools.
constexpr Duration kIdleReadInterval = 1s;
// Shortest interval between reads that newly listed workers cause.
constexpr Duration kMinReadInterval = 250ms;

class Reducer
{
public:
  Reducer(MaintenanceState& aState,
          const Views& aViews,
          const Context& aContext,
          Effects& aEffects)
    : state_(aState)
    , views_(aViews)
    , now_(aContext.now_)
    , effects_(aEffects)
    , drain_(aViews, aContext.now_, aEffects)
  {
  }

  void On(const OwnershipTaken&) { state_ = {}; }

  void On(const OwnershipLost&) { state_ = {}; }

  void On(const JournalLoaded& aLoaded)
  {
    state_.isActive_ = true;
    for (const auto& [number, wave] : views_.configuration_.waves_) {
      StartWave(wave);
    }
    for (const JournalRecord& record : aLoaded.records_) {
      if (const auto* stored = std::get_if<WaveStored>(&record)) {
        state_.storedWaves_.insert_or_assign(stored->wave_, *stored);
        RestoreWave(*stored);
      }
    }
    for (auto& [number, wave] : state_.waves_) {
      const auto begun =
        static_cast<std::uint32_t>(StoredWave(wave).begun_.size());
      wave.startedAt_ = now_ - EstimatedElapsed(SizeOf(wave), VmCount{ begun });
    }
    WriteNextStatus(state_, effects_);
    RequestList();
    effects_.push_back(SetTimer{ MaintenanceTick{}, kTickInterval });
  }

  void On(const VmListRequired&)
  {
    if (state_.isActive_ && now_ - state_.readAt_ >= kMinReadInterval) {
      RequestList();
    }
  }

  void On(const OtherShardsEndedWave& aEnded)
  {
    if (const auto found = state_.waves_.find(aEnded.wave_);
        found != state_.waves_.end()) {
      found->second.hasEndedElsewhere_ = true;
      WriteNextStatus(state_, effects_);
    }
  }

  void On(const WaveRequested& aRequested)
  {
    if (state_.isActive_) {
      StartWave(aRequested.wave_);
      if (const auto stored =
            state_.storedWaves_.find(aRequested.wave_.number_);
          stored != state_.storedWaves_.end()) {
        RestoreWave(stored->second);
      }
      WriteNextStatus(state_, effects_);
    }
  }

  void On(const VmsRead& aRead)
  {
    state_.isReading_ = false;
    std::map<VmId, ListedVm> vms;
    for (const ListedVm& vm : aRead.vms_) {
      if (const auto known = state_.vms_.find(vm.vm_);
          known != state_.vms_.end() &&
          HasEndedWorker(known->second, vm, views_.workers_)) {
        effects_.push_back(Raise{
          WorkerEnded{ known->second.worker_, EndCause(known->second, vm) } });
      }
      vms.emplace(vm.vm_, vm);
    }
    state_.vms_ = std::move(vms);
    Advance();
  }

  void On(const VmsReadFailed&) { state_.isReading_ = false; }

  void On(const MaintenanceCommandCompleted& aResponse)
  {
    ReportResult(aResponse, effects_);
    const auto wave = state_.waves_.find(aResponse.wave_);
    if (wave == state_.waves_.end()) {
      return;
    }
    const auto vm = wave->second.vms_.find(aResponse.vm_);
    if (vm == wave->second.vms_.end() ||
        vm->second.phase_ != VmPhase::CommandSent) {
      return;
    }
    VmProgress& progress = vm->second;
    std::visit(
      Overloaded{
        [&](VmCommandAccepted) {
          SetPhase(progress, VmPhase::Down);
          PersistProgress(wave->second);
        },
        [&](VmCommandBusy) { SetPhase(progress, VmPhase::Draining); },
        [&](VmCommandInvalid) { SetPhase(progress, VmPhase::Done); },
        [&](VmCommandFenced) { SetPhase(progress, VmPhase::Draining); },
        // It may still be carried out, so the VM counts as down.
        [&](VmCommandUnconfirmed) { progress.lacksResponse_ = true; } },
      aResponse.result_);
  }

  void On(const WaveStatusWritten& aWritten)
  {
    ApplyStatusResult(state_, aWritten, effects_);
  }

  void On(const TimerDue& aDue)
  {
    if (!std::holds_alternative<MaintenanceTick>(aDue.key_) ||
        !state_.isActive_) {
      return;
    }
    const bool hasOpenWave =
      std::ranges::any_of(state_.waves_, [](const auto& aWave) {
        return !aWave.second.isCompleted_ || HasUnwrittenStatus(aWave.second);
      });
    const Duration interval = hasOpenWave ? kTickInterval : kIdleReadInterval;
    if (now_ - state_.readAt_ >= interval) {
      RequestList();
    }
    effects_.push_back(SetTimer{ MaintenanceTick{}, kTickInterval });
  }

  template<typename Other>
  void On(const Other&)
  {
  }

private:
  void RequestList()
  {
    if (!state_.isReading_) {
      state_.isReading_ = true;
      state_.readAt_ = now_;
      effects_.push_back(ReadVms{});
    }
  }

  void StartWave(const Wave& aWave)
  {
    const auto [found, isNew] = state_.waves_.try_emplace(aWave.number_);
    if (!isNew) {
      return;
    }
    found->second.wave_ = aWave;
    found->second.startedAt_ = now_;
    for (const VmId& vm : aWave.vms_) {
      found->second.vms_[vm].since_ = now_;
    }
    effects_.push_back(
      LogLine{ LogLevel::Info,
               "wave_begun",
               { { "wave", std::to_string(aWave.number_.Value()) },
                 { "vms", std::to_string(aWave.vms_.size()) },
                 { "limit", std::to_string(aWave.maxVmsDown_.Value()) } } });
  }

  void RestoreWave(const WaveStored& aStored)
  {
    const auto found = state_.waves_.find(aStored.wave_);
    if (found == state_.waves_.end()) {
      return;
    }
    for (const VmId& vm : aStored.begun_) {
      if (const auto progress = found->second.vms_.find(vm);
          progress != found->second.vms_.end()) {
        SetPhase(progress->second, VmPhase::Down);
      }
    }
  }

  void SetPhase(VmProgress& aProgress, VmPhase aPhase)
  {
    aProgress.phase_ = aPhase;
    aProgress.since_ = now_;
  }

  void Advance()
  {
    state_.draining_.clear();
    for (auto& [number, wave] : state_.waves_) {
      // The last VMs of a completed wave are still down.
      if (!wave.isCompleted_ || !state_.HasEnded(number)) {
        AdvanceWave(wave);
      }
    }
    WriteNextStatus(state_, effects_);
  }

  void AdvanceWave(WaveProgress& aWave)
  {
    std::uint32_t down = 0;
    for (auto& [id, progress] : aWave.vms_) {
      ObserveVm(id, progress);
      down += CountsAsDown(id, progress) ? 1 : 0;
    }
    for (const VmId& vm : VmsToDrain(aWave, views_, now_)) {
      VmProgress& progress = aWave.vms_.at(vm);
      progress.worker_ = state_.vms_.at(vm).worker_;
      SetPhase(progress, VmPhase::Draining);
    }
    const std::uint32_t limit = std::max(1U, aWave.wave_.maxVmsDown_.Value());
    for (auto& [id, progress] : aWave.vms_) {
      if (IsInProgress(progress)) {
        state_.draining_.insert(progress.worker_);
      }
      if (progress.phase_ == VmPhase::Draining) {
        if (drain_.Continue(progress) && down < limit && MayCommand()) {
          SetPhase(progress, VmPhase::CommandSent);
          SendCommand(aWave.wave_.number_, id);
          ++down;
        }
      } else if (progress.phase_ == VmPhase::CommandSent &&
                 progress.lacksResponse_ && MayCommand()) {
        progress.lacksResponse_ = false;
        effects_.push_back(Count{ Counter::MaintenanceCommandsRepeated });
        SendCommand(aWave.wave_.number_, id);
      }
    }
    CompleteIfDone(aWave);
  }

  // A VM that has left the list needs no maintenance any more, but a list that
  // was requested before the wave may lack a new VM. The platform also accepts
  // a command if the maintenance was done before, for example after a lost
  // response; the worker of the VM then keeps running. Only a list that was
  // requested after the response shows whether the worker has ended.
  void ObserveVm(const VmId& aVm, VmProgress& aProgress)
  {
    const auto found = state_.vms_.find(aVm);
    if (state_.readAt_ <= aProgress.since_) {
      return;
    }
    if (found == state_.vms_.end()) {
      SetPhase(aProgress, VmPhase::Done);
      return;
    }
    if (aProgress.phase_ != VmPhase::Down) {
      return;
    }
    const ListedVm& vm = found->second;
    const bool isUp = vm.state_ == VmState::Up;
    if (!isUp || vm.worker_ != aProgress.worker_) {
      RaiseWorkerEnded(aProgress);
    } else if (!vm.worker_.IsEmpty()) {
      effects_.push_back(
        LogLine{ LogLevel::Info,
                 "upkeep_done_before",
                 { { "vm", aVm.Value() }, { "worker", vm.worker_.Value() } } });
    }
    if (isUp) {
      SetPhase(aProgress, VmPhase::Done);
    }
  }

  // The list also shows a VM that went down by a command without a response or
  // by a command of an earlier owner.
  [[nodiscard]] bool CountsAsDown(const VmId& aVm,
                                  const VmProgress& aProgress) const
  {
    const auto listed = state_.vms_.find(aVm);
    return aProgress.phase_ == VmPhase::CommandSent ||
           aProgress.phase_ == VmPhase::Down ||
           (listed != state_.vms_.end() &&
            listed->second.state_ == VmState::Maintenance);
  }

  void RaiseWorkerEnded(const VmProgress& aProgress)
  {
    if (views_.workers_.Find(aProgress.worker_) != nullptr &&
        !views_.workers_.endedWorkers_.contains(aProgress.worker_)) {
      effects_.push_back(
        Raise{ WorkerEnded{ aProgress.worker_, WorkerEndCause::Ordered } });
    }
  }

  [[nodiscard]] bool MayCommand() const { return MayCommandVms(views_, now_); }

  void SendCommand(WaveNumber aWave, const VmId& aVm)
  {
    effects_.push_back(Count{ Counter::MaintenanceCommandsSent });
    effects_.push_back(LogLine{
      LogLevel::Info,
      "upkeep_ordered",
      { { "vm", aVm.Value() }, { "wave", std::to_string(aWave.Value()) } } });
    effects_.push_back(StartMaintenance{ aVm,
                                         aWave,
                                         views_.ownership_.AsOwner()->epoch_,
                                         SendVmCommandsBefore(views_) });
  }

  void PersistProgress(const WaveProgress& aWave)
  {
    effects_.push_back(Raise{ JournalWriteRequested{
      { StoredWave(aWave) }, WavePersisted{ aWave.wave_.number_ } } });
  }

  // A wave is completed once the maintenance of all its VMs has begun.
  void CompleteIfDone(WaveProgress& aWave)
  {
    if (!aWave.isCompleted_ &&
        StoredWave(aWave).begun_.size() == aWave.vms_.size()) {
      aWave.isCompleted_ = true;
      effects_.push_back(
        LogLine{ LogLevel::Info,
                 "wave_completed",
                 { { "wave", std::to_string(aWave.wave_.number_.Value()) } } });
    }
  }

  MaintenanceState& state_;
  const Views& views_;
  TimePoint now_;
  Effects& effects_;
  VmDrain drain_;
};

} // namespace

void
ReduceMaintenance(MaintenanceState& aState,
                  const Views& aViews,
                  const Event& aEvent,
                  const Context& aContext,
                  Effects& aEffects)
{
  Reducer reducer{ aState, aViews, aContext, aEffects };
  std::visit([&](const auto& aKnown) { reducer.On(aKnown); }, aEvent);
}

} // namespace verbenawell::jobs
