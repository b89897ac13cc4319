#include "verbenawell/core/Random.h"
#include "verbenawell/planner/SparePlan.h"
#include "verbenawell/planner/WavePlan.h"

#include "ExactMoves.h"
#include "PlannerFleet.h"
#include "Row.h"

#include <algorithm>
#include <chrono>
#include <iostream>
#include <map>
#include <string>

#include <gflags/gflags.h>

DEFINE_uint64(seed, 1, "seed of the VM failures");

namespace {

using namespace verbenawell;
using namespace verbenawell::bench;
using Clock = std::chrono::steady_clock;

std::uint32_t
Sum(const std::vector<std::uint32_t>& aBudgets)
{
  std::uint32_t sum = 0;
  for (const std::uint32_t budget : aBudgets) {
    sum += budget;
  }
  return sum;
}

/// Smallest number of VMs beyond `aBudget` with which `aBudget` VMs remain
/// after the loss of a zone, where the VMs are spread evenly over the zones.
std::uint32_t
MinSpares(std::uint32_t aBudget, std::uint32_t aZones)
{
  std::uint32_t total = aBudget;
  while (total - (total + aZones - 1) / aZones < aBudget) {
    ++total;
  }
  return total - aBudget;
}

void
MeasureBufferCost(const std::string& aName, const FleetShape& aShape)
{
  constexpr double kBound = 1.05;
  const auto zones = static_cast<std::uint32_t>(aShape.zones_);
  const Placement placement =
    PlaceAllPools(MakeVms(aShape), MakeDemands(aShape));
  const double least = MinSpares(Sum(aShape.budgets_), zones);
  double perPool = 0;
  for (const std::uint32_t budget : aShape.budgets_) {
    perPool += MinSpares(budget, zones);
  }
  const auto spares = static_cast<double>(placement.spares_.size()) +
                      placement.shortfall_.Value();
  Print({ "buffer_cost/" + aName,
          spares / least,
          "ratio",
          perPool / least,
          kBound,
          FLAGS_seed,
          placement.spares_.size() });
}

/// Number of VMs that change pool if all serving VMs are placed anew.
std::size_t
CountMovesToNewPlacement(const FleetState& aFleet, const FleetShape& aShape)
{
  std::vector<VmFacts> serving;
  for (const VmFacts& vm : MakeVms(aShape)) {
    if (IsServing(aFleet.vms_.at(vm.vm_))) {
      serving.push_back(vm);
    }
  }
  const Placement placement = PlaceAllPools(serving, MakeDemands(aShape));
  std::map<VmId, PoolId> target;
  for (const Assignment& assignment : placement.pools_) {
    target[assignment.vm_] = assignment.pool_;
  }
  std::size_t moves = 0;
  for (const VmFacts& vm : serving) {
    const auto found = target.find(vm.vm_);
    const PoolId pool =
      found == target.end() ? PoolId{ "spare" } : found->second;
    moves += pool == aFleet.vms_.at(vm.vm_).pool_ ? 0 : 1;
  }
  return moves;
}

void
MeasureMoves(const std::string& aName, const FleetShape& aShape, bool aExact)
{
  constexpr double kBound = 1.1;
  constexpr int kRounds = 50;
  Random random{ FLAGS_seed };
  std::size_t ours = 0;
  std::size_t newPlacementMoves = 0;
  std::size_t least = 0;
  for (int round = 0; round < kRounds; ++round) {
    SimulatedFleet fleet{ aShape };
    const std::uint64_t failures = 1 + random.Below(3);
    for (std::uint64_t failure = 0; failure < failures; ++failure) {
      const auto vm = random.Below(static_cast<std::uint64_t>(aShape.vms_));
      fleet.ApplyChange(VmDown{ VmId{ "vm" + std::to_string(vm) } });
    }
    const auto plan = PlanRefills(fleet.Index(), PoolId{ "spare" }, {});
    ours += plan.size();
    newPlacementMoves += CountMovesToNewPlacement(fleet.Fleet(), aShape);
    least +=
      aExact ? SearchMinMoves(fleet.Fleet()) : VmShortfall(fleet.Fleet());
  }
  const auto divisor = static_cast<double>(std::max<std::size_t>(least, 1));
  Print({ "vm_moves/" + aName,
          static_cast<double>(ours) / divisor,
          "ratio",
          static_cast<double>(newPlacementMoves) / divisor,
          kBound,
          FLAGS_seed,
          least });
}

/// Progress of a wave. One round reboots all VMs that may stop at once.
struct WaveCourse
{
  std::size_t rounds_ = 0;
  std::size_t moves_ = 0;
  std::vector<std::pair<double, double>> moved_;
  std::vector<std::pair<double, double>> spares_;
};

void
RecordRound(const SimulatedFleet& aFleet, WaveCourse& aCourse)
{
  const auto round = static_cast<double>(aCourse.rounds_);
  aCourse.moved_.emplace_back(round, static_cast<double>(aCourse.moves_));
  aCourse.spares_.emplace_back(
    round, static_cast<double>(aFleet.Index().SpareCount().Value()));
}

/// Runs one wave in which all reboots of a round take equally long. Returns an
/// empty course if a VM that must stop can't be replaced from the spare pool.
WaveCourse
RunWave(SimulatedFleet& aFleet, const WaveId& aId)
{
  WaveCourse course;
  RecordRound(aFleet, course);
  while (true) {
    const WaveState& wave = aFleet.Fleet().waves_.at(aId);
    const auto order = OrderStops(aFleet.Fleet(), wave);
    if (order.empty()) {
      return course;
    }
    std::vector<VmId> stopped;
    std::size_t allowed =
      StopsAllowed(aFleet.Fleet(), wave, aFleet.Index().SpareCount());
    for (std::size_t at = 0; at < std::min(allowed, order.size()); ++at) {
      if (aFleet.ApplyChange(ReserveStop{ aId, order[at] })) {
        stopped.push_back(order[at]);
      }
    }
    if (stopped.empty()) {
      const auto borrowed =
        PlanRefills(aFleet.Index(), PoolId{ "spare" }, { wave.pool_ });
      if (borrowed.empty()) {
        return {};
      }
      aFleet.ApplyChange(MoveVm{ borrowed[0].vm_, borrowed[0].to_ });
      ++course.moves_;
      continue;
    }
    for (const VmId& vm : stopped) {
      aFleet.ApplyChange(FinishStop{ aId, vm, BootCount{ 2 } });
    }
    ++course.rounds_;
    RecordRound(aFleet, course);
  }
}

/// Prints the curves of a wave over the first pool. The pool has no VM beyond
/// its budget, so the wave borrows a spare VM.
void
PrintWaveSeries(const std::string& aName, const FleetShape& aShape)
{
  SimulatedFleet fleet{ aShape };
  const WaveId wave{ "w" };
  fleet.ApplyChange(StartWave{ wave, MakePoolId(0), {} });
  const WaveCourse course = RunWave(fleet, wave);
  const std::string chart = "VMs over a wave, " + aName;
  PrintSeries({ chart, "moves so far", "VMs", "rounds", course.moved_ });
  PrintSeries({ chart, "spare VMs", "VMs", "rounds", course.spares_ });
}

// The baseline is one reboot at a time. The ratio is taken against the minimum
// number of rounds: in each, all VMs beyond the budget reboot at once.
void
MeasureRollout(const std::string& aName, const FleetShape& aShape)
{
  constexpr double kBound = 1.2;
  std::size_t ours = 0;
  std::size_t minRounds = 0;
  std::size_t sequentialRounds = 0;
  for (std::size_t pool = 0; pool < aShape.budgets_.size(); ++pool) {
    SimulatedFleet fleet{ aShape };
    // Pools of production fleets have about four VMs more than their budgets.
    // Moves one spare VM of each zone into the pool.
    for (const auto& [zone, vms] : std::map{ fleet.Index().Spares() }) {
      if (!vms.empty()) {
        fleet.ApplyChange(MoveVm{ *vms.begin(), MakePoolId(pool) });
      }
    }
    const auto size = fleet.Fleet().pools_.at(MakePoolId(pool)).vms_.size();
    const std::size_t slack = size - aShape.budgets_[pool];
    const WaveId wave{ "w" };
    fleet.ApplyChange(StartWave{ wave, MakePoolId(pool), {} });
    ours = std::max(ours, RunWave(fleet, wave).rounds_);
    minRounds = std::max(minRounds, (size + slack - 1) / slack);
    sequentialRounds = std::max(sequentialRounds, size);
  }
  Print(
    { "rollout_time/" + aName,
      static_cast<double>(ours) / static_cast<double>(minRounds),
      "ratio",
      static_cast<double>(sequentialRounds) / static_cast<double>(minRounds),
      kBound,
      FLAGS_seed,
      ours });
}

double
Nanoseconds(Clock::duration aTime)
{
  return static_cast<double>(
    std::chrono::duration_cast<std::chrono::nanoseconds>(aTime).count());
}

/// Measures the time to plan after a VM failure or its repair, with the index
/// that is updated with each change. The baseline rebuilds the index each time.
void
MeasureDecision(int aVms, int aPools, int aZones)
{
  constexpr double kBoundNs = 5e6;
  constexpr int kChanges = 200;
  const FleetShape shape = MakeFleetShape(aVms, aPools, aZones);
  SimulatedFleet fleet{ shape };
  Random random{ FLAGS_seed };
  Clock::duration updatedIndexTime{};
  Clock::duration rebuiltIndexTime{};
  std::size_t moves = 0;
  for (int change = 0; change < kChanges; ++change) {
    const VmId vm{ "vm" + std::to_string(
                            random.Below(static_cast<std::uint64_t>(aVms))) };
    const auto began = Clock::now();
    if (change % 2 == 0) {
      fleet.ApplyChange(VmDown{ vm });
    } else {
      fleet.ApplyChange(VmUp{ vm, BootCount{ 2 } });
    }
    moves += PlanRefills(fleet.Index(), PoolId{ "spare" }, {}).size();
    const auto planned = Clock::now();
    FleetIndex index;
    index.Rebuild(fleet.Fleet());
    moves += PlanRefills(index, PoolId{ "spare" }, {}).size();
    updatedIndexTime += planned - began;
    rebuiltIndexTime += Clock::now() - planned;
  }
  Print({ "decide_ns/placement/" + std::to_string(aVms),
          Nanoseconds(updatedIndexTime) / kChanges,
          "ns",
          Nanoseconds(rebuiltIndexTime) / kChanges,
          kBoundNs,
          FLAGS_seed,
          moves });
}

void
MeasureNewPlacement(int aVms, int aPools, int aZones)
{
  constexpr double kBoundNs = 1e9;
  const FleetShape shape = MakeFleetShape(aVms, aPools, aZones);
  const auto vms = MakeVms(shape);
  const auto began = Clock::now();
  const Placement placement = PlaceAllPools(vms, MakeDemands(shape));
  const double elapsed = Nanoseconds(Clock::now() - began);
  Print({ "decide_ns/placement-from-nothing/" + std::to_string(aVms),
          elapsed,
          "ns",
          elapsed,
          kBoundNs,
          FLAGS_seed,
          placement.pools_.size() });
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  MeasureBufferCost("dalkom", DalkomShape());
  MeasureBufferCost("hoang-phuc", HoangPhucShape());
  MeasureBufferCost("500", MakeFleetShape(500, 10, 8));
  MeasureBufferCost("3500", MakeFleetShape(3500, 36, 16));
  MeasureMoves("exact-small", { 8, 2, 2, { 2, 2 } }, true);
  MeasureMoves("dalkom", DalkomShape(), false);
  MeasureMoves("hoang-phuc", HoangPhucShape(), false);
  MeasureRollout("dalkom", DalkomShape());
  MeasureRollout("hoang-phuc", HoangPhucShape());
  PrintWaveSeries("dalkom", DalkomShape());
  PrintWaveSeries("hoang-phuc", HoangPhucShape());
  MeasureDecision(50, 5, 4);
  MeasureDecision(500, 10, 8);
  MeasureDecision(3500, 36, 16);
  MeasureNewPlacement(50, 5, 4);
  MeasureNewPlacement(500, 10, 8);
  MeasureNewPlacement(3500, 36, 16);
}
