#include "verbenawell/requests/WorkerIndex.h"

#include "Row.h"

#include <algorithm>
#include <chrono>
#include <vector>

#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "seed of the worker choice");

namespace verbenawell::bench {
namespace {

constexpr std::uint32_t kSlots = 8;
constexpr int kDecisions = 20000;

VmId
MakeVmId(std::uint32_t aNumber)
{
  return VmId{ "vm" + std::to_string(aNumber) };
}

/// Makes the decision `kDecisions` times; returns the mean nanoseconds of one.
template<typename Decide>
double
MeasureNanoseconds(Decide aDecide)
{
  const auto start = std::chrono::steady_clock::now();
  for (int i = 0; i < kDecisions; ++i) {
    aDecide();
  }
  const std::chrono::duration<double, std::nano> elapsed =
    std::chrono::steady_clock::now() - start;
  return elapsed.count() / kDecisions;
}

/// Nanoseconds to release one slot and to choose and take another through the
/// index, while half of all slots are taken.
double
MeasureIndex(std::uint32_t aWorkers)
{
  WorkerIndex index;
  Random random{ FLAGS_seed };
  for (std::uint32_t i = 0; i < aWorkers; ++i) {
    VmFacts facts;
    facts.vm_ = MakeVmId(i);
    facts.slots_ = SlotCount{ kSlots };
    index.Put(facts, { true, true });
  }
  const WorkerNeed need;
  std::vector<VmId> occupiedSlots;
  for (std::uint32_t i = 0; i < aWorkers * kSlots / 2; ++i) {
    occupiedSlots.push_back(*index.Choose(need, random));
    index.OccupySlot(occupiedSlots.back(), {});
  }
  return MeasureNanoseconds([&] {
    VmId& slot = occupiedSlots[random.Below(occupiedSlots.size())];
    index.ReturnSlot(slot, {});
    slot = *index.Choose(need, random);
    index.OccupySlot(slot, {});
  });
}

/// The baseline: the same decision by a linear scan over all workers.
double
MeasureScan(std::uint32_t aWorkers)
{
  struct Worker
  {
    VmId vm_;
    SlotCount running_;
  };
  std::vector<Worker> workers;
  Random random{ FLAGS_seed };
  for (std::uint32_t i = 0; i < aWorkers; ++i) {
    workers.push_back({ MakeVmId(i), SlotCount{ kSlots / 2 } });
  }
  return MeasureNanoseconds([&] {
    --workers[random.Below(workers.size())].running_;
    const auto leastLoaded = std::ranges::min_element(
      workers, {}, [](const Worker& aWorker) { return aWorker.running_; });
    ++leastLoaded->running_;
  });
}

} // namespace
} // namespace verbenawell::bench

int
main(int aCount, char** aArguments)
{
  using namespace verbenawell::bench;
  gflags::SetUsageMessage("measures the time to choose a worker");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  for (const std::uint32_t workers : { 50U, 500U, 3500U }) {
    Print({ "decide_ns/routing/" + std::to_string(workers),
            MeasureIndex(workers),
            "ns",
            MeasureScan(workers),
            {},
            FLAGS_seed,
            kDecisions });
  }
  return 0;
}
