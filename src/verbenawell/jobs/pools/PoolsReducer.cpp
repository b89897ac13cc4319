#include "verbenawell/jobs/pools/PoolsReducer.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/jobs/maintenance/MaintenanceState.h"
#include "verbenawell/jobs/maintenance/VmCommands.h"
#include "verbenawell/jobs/ownership/OwnershipState.h"
#include "verbenawell/jobs/placement/JobOrder.h"
#include "verbenawell/jobs/pools/PoolDemand.h"
#include "verbenawell/jobs/pools/PoolsState.h"
#include "verbenawell/jobs/pools/internal/MovePlan.h"
#include "verbenawell/jobs/tasks/TasksState.h"
#include "verbenawell/jobs/workers/WorkersState.h"

#include <algorithm>
#include <vector>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr Duration kTickInterval = 250ms;
// Longest drain of a VM before its move. Short tasks end within this time; the
// move of a VM with longer tasks is abandoned.
constexpr Duration kMaxMoveDrainTime = 3s;
// A moved VM that is not up in its new pool by then counts as lost.
constexpr Duration kMaxMoveTime = 6s;

class Reducer
{
public:
  Reducer(PoolsState& aState,
          const Views& aViews,
          const Context& aContext,
          Effects& aEffects)
    : state_(aState)
    , views_(aViews)
    , context_(aContext)
    , effects_(aEffects)
  {
  }

  void On(const OwnershipTaken&) { state_ = {}; }
  void On(const OwnershipLost&) { state_ = {}; }

  void On(const JournalLoaded& aLoaded)
  {
    state_.isActive_ = true;
    for (const JournalRecord& record : aLoaded.records_) {
      if (const auto* stored = std::get_if<HomePoolsStored>(&record)) {
        for (const StoredHomePool& homePool : stored->homePools_) {
          state_.homePools_.emplace(homePool.vm_, homePool.pool_);
        }
      }
    }
    effects_.push_back(SetTimer{ PoolsTick{}, kTickInterval });
  }

  void On(const SubmissionPersisted& aPersisted)
  {
    const Job* job = views_.tasks_.Find(aPersisted.job_);
    if (job != nullptr && !job->IsLongRunning()) {
      state_.arrivals_[job->service_].Add(context_.now_,
                                          RemainingCpuTime(*job));
    }
  }

  void On(const VmMoveCompleted& aResponse)
  {
    ReportResult(aResponse, effects_);
    const auto move = state_.moves_.find(aResponse.vm_);
    if (move == state_.moves_.end() || move->second.isAccepted_) {
      return;
    }
    std::visit(
      Overloaded{
        [&](VmCommandAccepted) {
          move->second.isAccepted_ = true;
          // The move has ended everything on the VM.
          effects_.push_back(Raise{
            WorkerEnded{ move->second.worker_, WorkerEndCause::Ordered } });
        },
        [&](VmCommandUnconfirmed) { move->second.lacksResponse_ = true; },
        [&](VmCommandInvalid) {
          state_.invalidMoves_.emplace(aResponse.vm_, move->second.to_);
          AbandonMove(move);
        },
        [&](const auto&) { AbandonMove(move); } },
      aResponse.result_);
  }

  void On(const TimerDue& aDue)
  {
    if (!std::holds_alternative<PoolsTick>(aDue.key_) || !state_.isActive_) {
      return;
    }
    effects_.push_back(SetTimer{ PoolsTick{}, kTickInterval });
    FinishMoves();
    UpdateIdleVms();
    if (!MayCommandVms(views_, context_.now_)) {
      return;
    }
    ResendMoves();
    SendDrainedMoves();
    StartPlannedMoves();
  }

  template<typename Other>
  void On(const Other&)
  {
  }

private:
  using Moves = std::map<VmId, VmMove>;

  void AbandonMove(Moves::iterator aMove)
  {
    state_.draining_.erase(aMove->second.worker_);
    state_.moves_.erase(aMove);
  }

  void FinishMoves()
  {
    for (auto move = state_.moves_.begin(); move != state_.moves_.end();) {
      const auto vm = views_.maintenance_.vms_.find(move->first);
      const bool hasArrived = vm != views_.maintenance_.vms_.end() &&
                              vm->second.pool_ == move->second.to_ &&
                              vm->second.state_ == VmState::Up;
      const bool isOver =
        move->second.isAccepted_ &&
        (hasArrived ||
         context_.now_ - move->second.phaseStartedAt_ > kMaxMoveTime);
      if (isOver) {
        state_.draining_.erase(move->second.worker_);
        move = state_.moves_.erase(move);
      } else {
        ++move;
      }
    }
  }

  [[nodiscard]] bool IsIdle(const ListedVm& aVm) const
  {
    if (aVm.state_ != VmState::Up || IsInWave(aVm.vm_) ||
        state_.moves_.contains(aVm.vm_)) {
      return false;
    }
    const Worker* worker = views_.workers_.Find(aVm.worker_);
    return worker != nullptr
             ? worker->hasResponded_ && worker->isListed_ &&
                 !worker->entry_.draining_ && worker->runs_.empty() &&
                 !IsUnresponsive(*worker, context_.now_)
             : IsSparePool(views_, aVm.pool_);
  }

  [[nodiscard]] bool IsInWave(const VmId& aVm) const
  {
    return std::ranges::any_of(views_.maintenance_.waves_,
                               [&](const auto& aWave) {
                                 const auto vm = aWave.second.vms_.find(aVm);
                                 return vm != aWave.second.vms_.end() &&
                                        vm->second.phase_ != VmPhase::Done;
                               });
  }

  void UpdateIdleVms()
  {
    std::erase_if(state_.idleSince_, [&](const auto& aVm) {
      return !views_.maintenance_.vms_.contains(aVm.first);
    });
    RecordHomePools();
    for (const auto& [id, vm] : views_.maintenance_.vms_) {
      if (IsIdle(vm)) {
        state_.idleSince_.try_emplace(id, context_.now_);
      } else {
        state_.idleSince_.erase(id);
      }
    }
  }

  // Home pools are persisted: a later owner that took borrowed VMs for the
  // pool's own would never return them.
  void RecordHomePools()
  {
    bool hasNew = false;
    for (const auto& [id, vm] : views_.maintenance_.vms_) {
      hasNew = state_.homePools_.try_emplace(id, vm.pool_).second || hasNew;
    }
    if (!hasNew) {
      return;
    }
    HomePoolsStored stored;
    for (const auto& [vm, pool] : state_.homePools_) {
      stored.homePools_.push_back({ vm, pool });
    }
    effects_.push_back(Raise{
      JournalWriteRequested{ { std::move(stored) }, StartsPersisted{} } });
  }

  // A VM that was chosen while it ran tasks is moved once they have ended. A VM
  // whose tasks run for too long stays in its pool.
  void SendDrainedMoves()
  {
    for (auto move = state_.moves_.begin(); move != state_.moves_.end();) {
      const auto current = move++;
      if (!current->second.isDraining_) {
        continue;
      }
      const Worker* worker = views_.workers_.Find(current->second.worker_);
      if (worker == nullptr ||
          context_.now_ - current->second.phaseStartedAt_ > kMaxMoveDrainTime) {
        AbandonMove(current);
      } else if (worker->runs_.empty()) {
        current->second.isDraining_ = false;
        current->second.phaseStartedAt_ = context_.now_;
        SendMove(current->first, current->second.to_);
      }
    }
  }

  void ResendMoves()
  {
    for (auto& [id, move] : state_.moves_) {
      if (move.lacksResponse_) {
        move.lacksResponse_ = false;
        SendMove(id, move.to_);
      }
    }
  }

  void StartPlannedMoves()
  {
    for (const PlannedMove& move :
         PlanMoves(state_,
                   views_,
                   ComputePoolDemand(views_, state_.arrivals_, context_),
                   context_)) {
      StartMove(move);
    }
  }

  void StartMove(const PlannedMove& aPlanned)
  {
    const ListedVm& vm = views_.maintenance_.vms_.at(aPlanned.vm_);
    VmMove& move = state_.moves_[vm.vm_];
    move = { aPlanned.to_, vm.worker_, context_.now_ };
    move.isDraining_ = aPlanned.drainsFirst_;
    state_.draining_.insert(vm.worker_);
    state_.idleSince_.erase(vm.vm_);
    effects_.push_back(Count{ Counter::VmsMoved });
    effects_.push_back(
      LogLine{ LogLevel::Info,
               "vm_move",
               { { "vm", vm.vm_.Value() },
                 { "from", vm.pool_.Value() },
                 { "to", aPlanned.to_.Value() },
                 { "drains", aPlanned.drainsFirst_ ? "yes" : "no" } } });
    if (!move.isDraining_) {
      SendMove(vm.vm_, move.to_);
    }
  }

  void SendMove(const VmId& aVm, const ServiceId& aTo)
  {
    effects_.push_back(MoveVm{ aVm,
                               aTo,
                               views_.ownership_.AsOwner()->epoch_,
                               SendVmCommandsBefore(views_) });
  }

  PoolsState& state_;
  const Views& views_;
  const Context& context_;
  Effects& effects_;
};

} // namespace

void
ReducePools(PoolsState& aState,
            const Views& aViews,
            const Event& aEvent,
            const Context& aContext,
            Effects& aEffects)
{
  Reducer reducer{ aState, aViews, aContext, aEffects };
  std::visit([&](const auto& aKnown) { reducer.On(aKnown); }, aEvent);
}

} // namespace verbenawell::jobs
