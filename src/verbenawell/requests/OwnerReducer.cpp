#include "verbenawell/requests/OwnerReducer.h"

#include "verbenawell/core/Overloaded.h"
#include "verbenawell/requests/LearnedUsage.h"
#include "verbenawell/requests/OwnerScope.h"
#include "verbenawell/requests/OwnerTakeover.h"
#include "verbenawell/requests/PoolWorkers.h"
#include "verbenawell/requests/RequestsState.h"
#include "verbenawell/requests/SlotAdmission.h"
#include "verbenawell/requests/SlotGranting.h"
#include "verbenawell/requests/SlotReturn.h"

namespace verbenawell {

namespace {

// Longest delay between a deadline or a probe time and its handling.
constexpr Duration kOwnerInterval = std::chrono::milliseconds(100);

// Interval between reads of the workers' usage. A read transfers about 150
// bytes per VM; with an interval of 5 s, the owner of several pools exceeds its
// limit of 9 KB/s in a fleet of 36 daemons and 3,500 VMs.
constexpr Duration kUsageInterval = std::chrono::seconds(10);

class Reducer
{
public:
  explicit Reducer(OwnerScope aScope)
    : scope_(aScope)
  {
  }

  void operator()(const Started&)
  {
    scope_.effects_.emplace_back(SetTimer{ OwnerTick{}, kOwnerInterval });
    scope_.effects_.emplace_back(SetTimer{ UsagePoll{}, kUsageInterval });
  }

  void operator()(const TimerDue& aEvent)
  {
    if (std::holds_alternative<UsagePoll>(aEvent.key_)) {
      RequestUsage(scope_);
      scope_.effects_.emplace_back(SetTimer{ UsagePoll{}, kUsageInterval });
    }
    if (!std::holds_alternative<OwnerTick>(aEvent.key_)) {
      return;
    }
    for (auto& [id, queue] : scope_.owner_.pools_) {
      ExpireSlotRequests(scope_, queue);
      ExpireSlots(scope_, id, queue);
      ProbeWorkers(scope_, queue);
      ReserveWorkerForBlocked(scope_, queue);
      ExpireUsage(scope_, queue);
    }
    GrantInAllPools();
    scope_.effects_.emplace_back(SetTimer{ OwnerTick{}, kOwnerInterval });
  }

  void operator()(const FleetChanged& aEvent)
  {
    for (const Subject& subject : aEvent.subjects_) {
      std::visit(Overloaded{
                   [&](const VmId& aVm) { SyncWorker(scope_, aVm); },
                   [&](const TeamId& aTeam) { SyncLimits(aTeam); },
                   [](const auto&) {},
                 },
                 subject);
    }
    GrantInAllPools();
  }

  void operator()(const VmListRead& aEvent)
  {
    ApplyVmList(scope_, aEvent);
    GrantInAllPools();
  }

  void operator()(const UsageRead& aEvent) { ApplyUsage(scope_, aEvent); }

  void operator()(const UsageReadFailed&)
  {
    scope_.effects_.emplace_back(Count{ Counter::UsageReadsFailed });
  }

  void operator()(const MembersChanged& aEvent)
  {
    for (const DaemonId& lost : aEvent.lost_) {
      DropEntry(scope_, lost);
    }
    GrantInAllPools();
  }

  void operator()(const SlotRequestReady& aEvent)
  {
    AdmitSlotRequest(scope_, aEvent.entry_, aEvent.request_);
  }

  void operator()(const PoolAcquired& aEvent)
  {
    StartPoolQueue(scope_, aEvent);
  }

  void operator()(const AttemptsAdopted& aEvent)
  {
    AdoptAttempts(scope_, aEvent);
  }

  void operator()(const PoolLost& aEvent)
  {
    scope_.owner_.pools_.erase(aEvent.pool_);
  }

  void operator()(const AttemptsLost& aEvent)
  {
    FreeLostAttempts(scope_, aEvent);
  }

  void operator()(const PeerMessageReceived& aEvent)
  {
    std::visit(
      Overloaded{
        [&](const SlotCancel& aCancel) {
          WithdrawSlotRequest(
            scope_, { aEvent.from_, aCancel.key_ }, aCancel.pool_);
        },
        [&](const SlotRelease& aRelease) { ReleaseSlot(scope_, aRelease); },
        [](const auto&) {},
      },
      aEvent.message_);
  }

  void operator()(const DrainQuery& aEvent)
  {
    ReportIfDrained(scope_, aEvent.pool_, aEvent.vm_);
  }

  void operator()(const auto&) {}

private:
  void GrantInAllPools()
  {
    for (auto& [id, queue] : scope_.owner_.pools_) {
      GrantFreeSlots(scope_, id, queue);
    }
  }

  void SyncLimits(const TeamId& aTeam)
  {
    for (auto& [id, queue] : scope_.owner_.pools_) {
      for (const ShareKey& known : queue.queue_.KnownTeams()) {
        if (known.team_ == aTeam) {
          queue.queue_.SetLimits(known, LimitsOf(scope_, known));
        }
      }
    }
  }

  OwnerScope scope_;
};

} // namespace

void
ReduceOwner(RequestsState& aRequests,
            const Views& aViews,
            const Event& aEvent,
            const Context& aContext,
            Effects& aEffects)
{
  OwnerScope scope{
    aRequests.owner_, aRequests.random_, aViews, aContext, aEffects
  };
  std::visit(Reducer{ scope }, aEvent);
}

} // namespace verbenawell
