#pragma once

#include "verbenawell/core/Random.h"
#include "verbenawell/fleet/VmFacts.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <unordered_map>
#include <vector>

namespace verbenawell {

/// Whether a worker may get work, by the fleet state and the platform's list.
struct WorkerAvailability
{
  /// New attempts may start on the worker.
  bool usable_ = false;
  /// The worker is usable, or may become usable without an operator's action.
  bool mayServe_ = false;

  bool operator==(const WorkerAvailability&) const = default;
};

/// What a request requires of its worker.
struct WorkerNeed
{
  Resources size_;
  /// Workers on which attempts of the request have failed.
  std::vector<VmId> tried_;
  /// The request may run twice, so it may be sent to a worker on probation.
  bool idempotent_ = false;
};

/// Used part of a worker's resources by its last usage report, in thousandths.
using UsedPerMille = Quantity<struct UsedPerMilleTag, std::uint32_t>;

/// Workers of a pool and what runs on them. The cost of choosing a worker does
/// not grow with the size of the pool, unless few workers fit the request.
class WorkerIndex
{
public:
  /// Adds a worker or updates its facts and its use.
  void Put(const VmFacts& aFacts, WorkerAvailability aUse);

  /// Removes a worker from the pool. Attempts that run there stay counted.
  void Remove(const VmId& aVm);

  /// Reserves a worker, or ends its reservation. `Choose` passes over a
  /// reserved worker.
  void SetReserved(const VmId& aVm, bool aReserved);

  /// Tells whether the request fits on the worker once nothing else runs there.
  [[nodiscard]] bool FitsWhenIdle(const VmId& aVm,
                                  const WorkerNeed& aNeed) const;

  /// The worker with the fewest attempts among those that could run the request
  /// once idle. The cost is linear in the size of the pool.
  [[nodiscard]] std::optional<VmId> FindToReserve(
    const WorkerNeed& aNeed) const;

  /// Limits the usable slots of an ejected or readmitted worker. A worker on
  /// probation gets idempotent requests only.
  void SetCap(const VmId& aVm, SlotCount aCap, bool aOnProbation = false);

  /// Lets a worker use all of its slots again.
  void ClearCap(const VmId& aVm) { SetCap(aVm, kNoCap); }

  /// Sets the reported usage of a worker, or clears it. Usage only breaks ties
  /// between workers with equal shares of busy slots, because it lags.
  void SetUsage(const VmId& aVm, std::optional<UsedPerMille> aUsage);

  /// Counts an attempt that starts on a worker, or stops counting it. The
  /// worker need not be in the pool.
  void OccupySlot(const VmId& aVm, const Resources& aSize);
  void ReturnSlot(const VmId& aVm, const Resources& aSize);

  /// The less loaded of two random workers on which the request fits. A retry
  /// prefers workers outside the racks and zones where it has failed.
  [[nodiscard]] std::optional<VmId> Choose(const WorkerNeed& aNeed,
                                           Random& aRandom) const;

  /// Tells whether the worker has a free slot and the resources for the
  /// request. A reserved worker counts too.
  [[nodiscard]] bool HasCapacityFor(const VmId& aVm,
                                    const WorkerNeed& aNeed) const;

  /// Tells whether any worker that is not reserved has a free slot.
  [[nodiscard]] bool HasFreeSlot() const;

  /// Tells whether the size fits on any worker while nothing else runs there.
  [[nodiscard]] bool FitsAnyWorker(const Resources& aSize) const;

  /// The size itself if it fits on a worker. Otherwise the size limited to the
  /// worker that offers the most of it: first accelerators, then cores, then
  /// memory.
  [[nodiscard]] Resources LimitToWorker(const Resources& aSize) const;

  /// Tells whether any worker on which the request has not failed is usable or
  /// may become usable.
  [[nodiscard]] bool MayEverServe(const WorkerNeed& aNeed) const;

  /// Tells whether the worker is in the pool, also if it is not usable.
  [[nodiscard]] bool Contains(const VmId& aVm) const;

  /// Number of attempts that run on the worker.
  [[nodiscard]] SlotCount Running(const VmId& aVm) const;

  /// Boot count of the worker at the last `Put`.
  [[nodiscard]] BootCount Boots(const VmId& aVm) const;

  /// Number of slots of the usable workers, free or busy, within their caps.
  [[nodiscard]] SlotCount UsableSlots() const { return usableSlots_; }

  /// Number of usable workers that are not ejected.
  [[nodiscard]] VmCount Serving() const { return serving_; }

private:
  using Position = std::uint32_t;

  static constexpr SlotCount kNoCap{
    std::numeric_limits<std::uint32_t>::max()
  };

  struct Worker
  {
    VmFacts facts_;
    WorkerAvailability use_;
    bool inPool_ = true;
    bool isReserved_ = false;
    bool onProbation_ = false;
    SlotCount cap_ = kNoCap;
    SlotCount running_;
    Resources reserved_;
    std::optional<UsedPerMille> usage_;
    /// Index in the list of available workers; empty if it is not in the list.
    std::optional<std::size_t> availableIndex_;
  };

  struct SizeCount
  {
    Resources size_;
    std::uint32_t workers_ = 0;
  };

  Position Add(Worker aWorker);
  template<typename Change>
  void Update(Position aPosition, Change aChange);
  void AddToTotals(Worker& aWorker, Position aPosition);
  void RemoveFromTotals(Worker& aWorker);
  void CountSize(const Resources& aSize, bool aAdd);
  void EraseIfUnused(Position aPosition);

  [[nodiscard]] static bool HasCapacityFor(const Worker& aWorker,
                                           const WorkerNeed& aNeed);
  [[nodiscard]] static bool FitsWhenIdle(const Worker& aWorker,
                                         const WorkerNeed& aNeed);
  [[nodiscard]] const Worker* Find(const VmId& aVm) const;
  [[nodiscard]] std::vector<Position>& AvailableListOf(const Worker& aWorker);
  [[nodiscard]] std::optional<Position> ChooseFrom(
    const std::vector<Position>& aAvailable,
    const WorkerNeed& aNeed,
    Random& aRandom) const;
  [[nodiscard]] bool IsBetter(const Worker& aLeft,
                              const Worker& aRight,
                              const WorkerNeed& aNeed) const;
  [[nodiscard]] int ProximityToFailed(const Worker& aWorker,
                                      const WorkerNeed& aNeed) const;

  std::vector<Worker> workers_;
  std::vector<Position> vacantPositions_;
  std::unordered_map<VmId, Position> positions_;
  /// Available workers: those with a free slot and without a reservation, in
  /// separate lists for workers without and with accelerators.
  std::vector<Position> availablePlain_;
  std::vector<Position> availableAccelerated_;
  std::vector<SizeCount> sizes_;
  SlotCount usableSlots_;
  VmCount serving_;
  std::uint32_t mayServe_ = 0;
};

} // namespace verbenawell
