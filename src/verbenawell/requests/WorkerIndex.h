#pragma once

#include "verbenawell/core/Random.h"
#include "verbenawell/fleet/VmFacts.h"

#include <cstdint>
#include <limits>
#include <optional>
#include <unordered_map>
#include <vector>

namespace verbenawell {

/// What the fleet and the platform say of a worker's use.
struct WorkerUse
{
  /// New work may start on it.
  bool usable_ = false;
  /// It serves, or may serve again without an operator.
  bool mayServe_ = false;

  bool operator==(const WorkerUse&) const = default;
};

/// What a request needs of its worker.
struct WorkerNeed
{
  Resources size_;
  /// Workers that have failed the request.
  std::vector<VmId> tried_;
  /// Running it twice does no harm: it may go to a worker on probation.
  bool idempotent_ = false;
};

/// Thousandths of a worker that its last usage report shows as used.
using UsedPerMille = Quantity<struct UsedPerMilleTag, std::uint32_t>;

/// Workers of a pool and what runs on them. Choosing a worker costs the same
/// in a small and in a large pool.
class WorkerIndex
{
public:
  /// Adds a worker or updates what is known of it.
  void Put(const VmFacts& aFacts, WorkerUse aUse);

  /// Takes a worker out of the pool; what runs there is still counted.
  void Remove(const VmId& aVm);

  /// Reserves a worker, or ends its reservation. `Choose` passes over a
  /// reserved worker.
  void SetReserved(const VmId& aVm, bool aReserved);

  /// Tells whether the request fits on the worker once nothing else runs.
  [[nodiscard]] bool FitsWhenIdle(const VmId& aVm,
                                  const WorkerNeed& aNeed) const;

  /// The least used worker that could run the request; looks at all workers.
  [[nodiscard]] std::optional<VmId> FindToReserve(
    const WorkerNeed& aNeed) const;

  /// Limits the slots of a worker that is being ejected or readmitted.
  /// A worker on probation gets idempotent work only.
  void SetCap(const VmId& aVm, SlotCount aCap, bool aOnProbation = false);

  /// Lets a worker use all of its slots again.
  void ClearCap(const VmId& aVm) { SetCap(aVm, kNoCap); }

  /// Notes the lagging usage of a worker; empty counts as neutral. It decides
  /// between workers with equal reservations only.
  void SetUsage(const VmId& aVm, std::optional<UsedPerMille> aUsage);

  /// Counts an attempt that starts on a worker, or stops counting it. The
  /// worker need not be in the pool.
  void TakeSlot(const VmId& aVm, const Resources& aSize);
  void ReturnSlot(const VmId& aVm, const Resources& aSize);

  /// The less loaded of two random workers with a free slot where the request
  /// fits; a retry prefers a rack and zone that have not failed it.
  [[nodiscard]] std::optional<VmId> Choose(const WorkerNeed& aNeed,
                                           Random& aRandom) const;

  /// Tells whether the worker has a free slot and the resources for the
  /// request. A reserved worker counts too.
  [[nodiscard]] bool HasCapacityFor(const VmId& aVm,
                                    const WorkerNeed& aNeed) const;

  [[nodiscard]] bool HasFreeSlot() const;

  /// Tells whether any worker is large enough, whatever runs there.
  [[nodiscard]] bool EverFits(const Resources& aSize) const;

  /// The size where it fits on a worker, else as much of it as one has.
  [[nodiscard]] Resources LimitToWorker(const Resources& aSize) const;

  /// Tells whether a worker that has not failed the request serves or may.
  [[nodiscard]] bool MayEverServe(const WorkerNeed& aNeed) const;

  /// Tells whether the worker is in the pool, whatever its use.
  [[nodiscard]] bool Contains(const VmId& aVm) const;

  [[nodiscard]] SlotCount Running(const VmId& aVm) const;

  /// Boot of the worker when it was last put here.
  [[nodiscard]] BootCount Boots(const VmId& aVm) const;

  /// Slots of usable workers, within their caps.
  [[nodiscard]] SlotCount UsableSlots() const { return usableSlots_; }

  /// Usable workers that are not ejected.
  [[nodiscard]] VmCount Serving() const { return serving_; }

private:
  using Position = std::uint32_t;

  static constexpr SlotCount kNoCap{
    std::numeric_limits<std::uint32_t>::max()
  };

  struct Worker
  {
    VmFacts facts_;
    WorkerUse use_;
    bool inPool_ = true;
    bool isReserved_ = false;
    bool onProbation_ = false;
    SlotCount cap_ = kNoCap;
    SlotCount running_;
    Resources reserved_;
    std::optional<UsedPerMille> usage_;
    /// Place in the list of workers with a free slot, if it has one.
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
  /// Workers with a free slot, apart by whether they have accelerators.
  std::vector<Position> availablePlain_;
  std::vector<Position> availableAccelerated_;
  std::vector<SizeCount> sizes_;
  SlotCount usableSlots_;
  VmCount serving_;
  std::uint32_t mayServe_ = 0;
};

} // namespace verbenawell
