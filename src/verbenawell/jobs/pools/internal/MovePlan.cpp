#include "verbenawell/jobs/pools/internal/MovePlan.h"

#include "verbenawell/jobs/configuration/ConfigurationState.h"
#include "verbenawell/jobs/maintenance/MaintenanceState.h"
#include "verbenawell/jobs/ownership/OwnershipState.h"
#include "verbenawell/jobs/pools/PoolsState.h"
#include "verbenawell/jobs/workers/WorkersState.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <utility>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

// A pool gives VMs away only if it requires fewer VMs than its active ones
// divided by this number.
constexpr std::uint32_t kSurplusDivisor = 2;
// A VM moves to another pool only after this idle time, which shows that its
// present pool does not need it.
constexpr Duration kMinIdleBeforeMove = 500ms;
// An idle VM that its pool does not need is released after this idle time. It
// covers a move away and back, so that a VM that is needed again within that
// time stays.
constexpr Duration kMinIdleBeforeRelease = 3s;
// A pool lends VMs only while it has more than this share of its own, so that
// it has capacity for its next burst until they are back.
constexpr std::uint32_t kMinOwnVmsPercent = 70;
// Limits the load on the platform service that carries out the moves, which all
// shards share.
constexpr std::uint32_t kMaxMovesPerPass = 12;

std::size_t
MaxMovesOfShard(ShardCount aShards)
{
  const std::uint32_t shards = std::max(1U, aShards.Value());
  return (kMaxMovesPerPass + shards - 1) / shards;
}

bool
HasSurplus(std::uint32_t aRequired, std::uint32_t aActive)
{
  return aActive > 1 && aRequired * kSurplusDivisor < aActive;
}

std::optional<ServiceId>
FindSparePool(const Views& aViews)
{
  if (const auto& configuration = aViews.configuration_.configuration_) {
    const auto service =
      std::ranges::find(configuration->services_, true, &Service::isSparePool_);
    if (service != configuration->services_.end()) {
      return service->id_;
    }
  }
  return std::nullopt;
}

class MovePlanner
{
public:
  MovePlanner(const PoolsState& aState,
              const Views& aViews,
              const std::map<ServiceId, PoolDemand>& aDemand,
              const Context& aContext)
    : state_(aState)
    , views_(aViews)
    , demand_(aDemand)
    , now_(aContext.now_)
    , maxMoves_(MaxMovesOfShard(aViews.ownership_.self_.shards_))
    , sparePool_(FindSparePool(aViews))
  {
    for (const auto& [vm, pool] : state_.homePools_) {
      ++ownVms_[pool];
    }
  }

  std::vector<PlannedMove> PlanAll()
  {
    for (const ServiceId& service : ServicesByArrivals()) {
      PlanMovesTo(service);
    }
    ReleaseIdleVms();
    return std::move(moves_);
  }

private:
  /// The pools in the order in which they get VMs: a pool in a burst comes
  /// before one with a backlog.
  [[nodiscard]] std::vector<ServiceId> ServicesByArrivals() const
  {
    std::vector<ServiceId> services;
    for (const auto& [service, pool] : demand_) {
      services.push_back(service);
    }
    std::ranges::stable_sort(
      services, std::greater{}, [&](const ServiceId& aService) {
        const PoolDemand& pool = demand_.at(aService);
        return static_cast<double>(pool.requiredByArrivals_) /
               std::max(1U, pool.activeVms_);
      });
    return services;
  }

  void PlanMovesTo(const ServiceId& aService)
  {
    const PoolDemand& pool = demand_.at(aService);
    std::uint32_t vmCount = pool.activeVms_ + Incoming(aService);
    while (vmCount < pool.requiredVms_ && moves_.size() < maxMoves_) {
      auto move = FindIdleVm(aService);
      if (!move && vmCount < pool.requiredByArrivals_) {
        move = FindBusyVm(aService);
      }
      if (!move) {
        return;
      }
      Add(std::move(*move));
      ++vmCount;
    }
  }

  void Add(PlannedMove aMove)
  {
    plannedVms_.insert(aMove.vm_);
    const ServiceId& from = views_.maintenance_.vms_.at(aMove.vm_).pool_;
    if (const auto pool = demand_.find(from); pool != demand_.end()) {
      --pool->second.activeVms_;
    }
    moves_.push_back(std::move(aMove));
  }

  [[nodiscard]] std::uint32_t Incoming(const ServiceId& aPool) const
  {
    return static_cast<std::uint32_t>(
      std::ranges::count_if(state_.moves_, [&](const auto& aMove) {
        return aMove.second.to_ == aPool;
      }));
  }

  [[nodiscard]] bool MayMove(const ListedVm& aVm, const ServiceId& aTo) const
  {
    return aVm.pool_ != aTo && !state_.moves_.contains(aVm.vm_) &&
           !plannedVms_.contains(aVm.vm_) &&
           !state_.invalidMoves_.contains({ aVm.vm_, aTo });
  }

  [[nodiscard]] bool IsBorrowed(const ListedVm& aVm) const
  {
    const auto homePool = state_.homePools_.find(aVm.vm_);
    return homePool != state_.homePools_.end() && homePool->second != aVm.pool_;
  }

  [[nodiscard]] bool MayLend(const ServiceId& aPool) const
  {
    const auto ownVms = ownVms_.find(aPool);
    const PoolDemand& pool = demand_.at(aPool);
    return pool.activeVms_ > pool.minVms_ &&
           std::uint64_t{ pool.activeVms_ } * 100 >
             (ownVms == ownVms_.end() ? 0 : ownVms->second) * kMinOwnVmsPercent;
  }

  /// Prefers a VM of a spare pool, then a borrowed VM, then one of its pool's
  /// own.
  [[nodiscard]] std::optional<PlannedMove> FindIdleVm(
    const ServiceId& aFor) const
  {
    std::optional<PlannedMove> borrowedVm;
    std::optional<PlannedMove> ownVm;
    for (const auto& [id, since] : state_.idleSince_) {
      const ListedVm& vm = views_.maintenance_.vms_.at(id);
      if (!MayMove(vm, aFor)) {
        continue;
      }
      if (IsSparePool(views_, vm.pool_)) {
        return PlannedMove{ id, aFor, false };
      }
      const auto pool = demand_.find(vm.pool_);
      if (pool == demand_.end() || now_ - since < kMinIdleBeforeMove ||
          !HasSurplus(pool->second.requiredVms_, pool->second.activeVms_)) {
        continue;
      }
      if (!borrowedVm && IsBorrowed(vm)) {
        borrowedVm = PlannedMove{ id, aFor, false };
      } else if (!ownVm && MayLend(vm.pool_)) {
        ownVm = PlannedMove{ id, aFor, false };
      }
    }
    return borrowedVm ? borrowedVm : ownVm;
  }

  /// Returns a borrowed VM of a pool whose burst is over, even if it still runs
  /// tasks.
  [[nodiscard]] std::optional<PlannedMove> FindBusyVm(
    const ServiceId& aFor) const
  {
    for (const auto& [id, vm] : views_.maintenance_.vms_) {
      if (!MayMove(vm, aFor) || !IsBorrowed(vm) || vm.state_ != VmState::Up) {
        continue;
      }
      const auto pool = demand_.find(vm.pool_);
      const Worker* worker = views_.workers_.Find(vm.worker_);
      if (pool == demand_.end() || worker == nullptr ||
          !IsSchedulable(*worker, now_) ||
          !HasSurplus(pool->second.requiredByArrivals_,
                      pool->second.activeVms_) ||
          std::ranges::any_of(worker->runs_, [](const auto& aRun) {
            return aRun.second.isLongRunning_;
          })) {
        continue;
      }
      return PlannedMove{ id, aFor, true };
    }
    return std::nullopt;
  }

  /// VMs that a pool keeps although they are idle: its own ones, which serve
  /// the first seconds of a burst, and those that it requires even if it loses
  /// a rack.
  [[nodiscard]] std::uint64_t RetainedVms(const ServiceId& aPool) const
  {
    const PoolDemand& pool = demand_.at(aPool);
    const auto ownVms = ownVms_.find(aPool);
    return std::max<std::uint64_t>(
      { std::uint64_t{ pool.requiredVms_ } +
          std::min(pool.requiredVms_, pool.vmsOfLargestRack_),
        pool.minVms_,
        ownVms == ownVms_.end() ? 0 : ownVms->second });
  }

  void ReleaseIdleVms()
  {
    for (const auto& [id, since] : state_.idleSince_) {
      const ListedVm& vm = views_.maintenance_.vms_.at(id);
      const auto pool = demand_.find(vm.pool_);
      if (pool == demand_.end() || now_ - since < kMinIdleBeforeRelease ||
          pool->second.activeVms_ <= RetainedVms(vm.pool_)) {
        continue;
      }
      if (auto target = TargetOfRelease(vm);
          target && MayMove(vm, *target) && moves_.size() < maxMoves_) {
        Add({ id, *target, false });
      }
    }
  }

  /// A borrowed VM goes back to its home pool while that has too few VMs. All
  /// others are powered off, or stay if there is no spare pool.
  [[nodiscard]] std::optional<ServiceId> TargetOfRelease(
    const ListedVm& aVm) const
  {
    const ServiceId& homePool = state_.homePools_.at(aVm.vm_);
    if (const auto pool = demand_.find(homePool);
        homePool != aVm.pool_ &&
        (!sparePool_ || (pool != demand_.end() &&
                         pool->second.activeVms_ + Incoming(homePool) <
                           RetainedVms(homePool)))) {
      return homePool;
    }
    return sparePool_;
  }

  const PoolsState& state_;
  const Views& views_;
  std::map<ServiceId, PoolDemand> demand_;
  TimePoint now_;
  std::size_t maxMoves_;
  std::optional<ServiceId> sparePool_;
  /// Number of VMs whose home pool is the pool.
  std::map<ServiceId, std::uint64_t> ownVms_;
  std::set<VmId> plannedVms_;
  std::vector<PlannedMove> moves_;
};

} // namespace

std::vector<PlannedMove>
PlanMoves(const PoolsState& aState,
          const Views& aViews,
          const std::map<ServiceId, PoolDemand>& aDemand,
          const Context& aContext)
{
  return MovePlanner{ aState, aViews, aDemand, aContext }.PlanAll();
}

bool
IsSparePool(const Views& aViews, const ServiceId& aPool)
{
  const auto& configuration = aViews.configuration_.configuration_;
  const Service* service = configuration ? configuration->Find(aPool) : nullptr;
  return service != nullptr && service->isSparePool_;
}

} // namespace verbenawell::jobs
