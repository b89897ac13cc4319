#include "Run.h"

#include "verbenawell/log/Streams.h"

#include "FaultScheduler.h"

#include <algorithm>
#include <sstream>

namespace verbenawell::fuzz {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kMinDaemons = 3;
constexpr std::size_t kMaxDaemons = 5;
constexpr std::size_t kVms = 12;
constexpr std::size_t kVmsPerRack = 3;
constexpr TimePoint kLoadEnd{ seconds(19) };
// Every fault of a plan has ended by this time.
constexpr TimePoint kHealTime{ seconds(19) };
constexpr TimePoint kTimeLimit{ seconds(150) };
constexpr Duration kObservationInterval = milliseconds(250);
constexpr std::size_t kMaxSteps = 2'000'000;

VmListing
MakeVm(std::size_t aIndex)
{
  VmListing vm;
  const std::size_t rack = aIndex / kVmsPerRack;
  vm.facts_.vm_ = VmId{ "vm" + std::to_string(aIndex) };
  vm.facts_.address_ = { "10.1.0." + std::to_string(aIndex), 8000 };
  vm.facts_.region_ = RegionId{ "r" };
  vm.facts_.zone_ = ZoneId{ "z" + std::to_string(rack % 3) };
  vm.facts_.rack_ = RackId{ "rack" + std::to_string(rack) };
  vm.facts_.size_ = { Cores{ 16 }, Megabytes{ 32000 }, Accelerators{ 1 } };
  vm.facts_.slots_ = SlotCount{ 3 };
  vm.facts_.boots_ = BootCount{ 1 };
  return vm;
}

/// One fuzz run: the simulated system and the checks at its end.
class FuzzSession
{
public:
  FuzzSession(const RunOptions& aOptions, std::size_t aDaemons)
    : options_(aOptions)
    , world_(aOptions.seed_, aOptions.trace_)
    , log_(world_)
    , platform_(world_)
    , cluster_(world_, log_, platform_, aDaemons)
    , frontEnd_(world_, cluster_, platform_)
    , faultScheduler_(world_, log_, platform_, cluster_, frontEnd_)
  {
  }

  RunReport Run(const FaultPlan& aPlan)
  {
    StoreInitialFleet();
    for (std::size_t node = 0; node < cluster_.Nodes().size(); ++node) {
      cluster_.Start(node);
    }
    RunUntil(TimePoint{ seconds(2) });
    faultScheduler_.Schedule(aPlan);
    frontEnd_.GenerateRequests(kLoadEnd);
    ObserveFleetStates();
    RunUntil(kHealTime);
    faultScheduler_.HealAll();
    while (world_.Now() < kTimeLimit && !IsSettled() && !IsOutOfSteps()) {
      RunUntil(world_.Now() + seconds(1));
    }
    RunUntil(world_.Now() + seconds(5));
    CheckLiveness();
    return { world_.oracle_.Violations(), world_.Steps(), 0 };
  }

private:
  /// Stores the records of the initial pools, services and VMs in the log.
  void StoreInitialFleet()
  {
    Store(DefinePool{ PoolId{ "spare" }, true });
    Store(DefinePool{ PoolId{ "web" }, false });
    Store(DefinePool{ PoolId{ "batch" }, false });
    for (std::size_t at = 0; at < kVms; ++at) {
      const VmListing vm = MakeVm(at);
      platform_.AddVm(vm);
      Store(VmSeen{ vm.facts_ });
      if (at % 6 != 5) {
        const char* pool = at % 3 == 2 ? "batch" : "web";
        Store(DrainVm{ vm.facts_.vm_ });
        Store(MoveVm{ vm.facts_.vm_, PoolId{ pool } });
        Store(UndrainVm{ vm.facts_.vm_ });
      }
    }
    Store(DefineService{ ServiceId{ "slot" }, PoolId{ "web" }, VmCount{ 4 } });
    Store(DefineService{ ServiceId{ "hall" }, PoolId{ "web" }, VmCount{ 3 } });
    Store(
      DefineService{ ServiceId{ "survey" }, PoolId{ "batch" }, VmCount{ 1 } });
  }

  void Store(FleetChange aChange)
  {
    FleetRecord record;
    record.id_ = RecordId{ "past" + std::to_string(++storedRecords_) };
    record.author_ = OperatorId{ "past" };
    record.change_ = std::move(aChange);
    const RecordId id = record.id_;
    log_.Store(FleetStream(), id, std::move(record));
  }

  void ObserveFleetStates()
  {
    cluster_.ObserveFleetStates();
    world_.After(kObservationInterval, [this] { ObserveFleetStates(); });
  }

  [[nodiscard]] bool IsOutOfSteps() const
  {
    const std::size_t maxSteps =
      options_.maxSteps_ > 0 ? options_.maxSteps_ : kMaxSteps;
    return world_.Steps() >= maxSteps;
  }

  void RunUntil(TimePoint aEnd)
  {
    while (!IsOutOfSteps() && world_.Step(aEnd)) {
    }
  }

  [[nodiscard]] bool IsSettled() const
  {
    const FleetState& fleet = cluster_.Nodes().front().state_->fleet_;
    return world_.oracle_.OpenCalls() == 0 &&
           std::ranges::all_of(fleet.waves_, [](const auto& aWave) {
             return aWave.second.ended_ || aWave.second.paused_;
           });
  }

  void CheckLiveness()
  {
    if (IsOutOfSteps()) {
      Report("the run did not end within its steps");
    }
    if (const std::size_t open = world_.oracle_.OpenCalls(); open > 0) {
      Report(std::to_string(open) + " calls have no outcome");
    }
    for (const Node& node : cluster_.Nodes()) {
      CheckCounters(node);
      CheckSlots(node);
      CheckPlannedStops(node);
      const Node& first = cluster_.Nodes().front();
      if (node.state_->fleet_.appliedOffset_ !=
          first.state_->fleet_.appliedOffset_) {
        Report(node.id_.Value() + " is at another offset than " +
               first.id_.Value());
      }
    }
  }

  void CheckCounters(const Node& aNode)
  {
    std::uint64_t received = 0;
    std::uint64_t ended = 0;
    for (const auto& [key, count] : aNode.counters_) {
      const auto* plain = std::get_if<Counter>(&key);
      if (plain != nullptr && *plain == Counter::RequestsReceived) {
        received += count;
      } else if ((plain != nullptr && (*plain == Counter::ResponsesForwarded ||
                                       *plain == Counter::RequestsCancelled)) ||
                 std::holds_alternative<RefusalReason>(key) ||
                 std::holds_alternative<UnknownReason>(key)) {
        ended += count;
      }
    }
    if (received != ended) {
      Report(aNode.id_.Value() + " received " + std::to_string(received) +
             " requests and ended " + std::to_string(ended));
    }
  }

  void CheckSlots(const Node& aNode)
  {
    for (const auto& [id, pool] : aNode.state_->requests_.owner_.pools_) {
      if (!pool.granted_.empty() || pool.queue_.Size() > 0) {
        Report(aNode.id_.Value() + " keeps slots or tickets of pool " +
               id.Value());
      }
    }
  }

  void CheckPlannedStops(const Node& aNode)
  {
    for (const auto& [id, wave] : aNode.state_->fleet_.waves_) {
      if (!wave.ended_ && (!wave.paused_ || wave.pauseReason_.empty())) {
        Report("wave " + id.Value() + " has neither ended nor paused");
      }
    }
    for (const auto& [id, vm] : aNode.state_->fleet_.vms_) {
      if (!vm.movingTo_.IsEmpty()) {
        Report("the move of VM " + id.Value() + " has not ended");
      }
    }
  }

  void Report(const std::string& aWhat) { world_.oracle_.Report(0, aWhat); }

  const RunOptions& options_;
  World world_;
  FakeLog log_;
  FakePlatform platform_;
  Cluster cluster_;
  FrontEnd frontEnd_;
  FaultScheduler faultScheduler_;
  std::uint64_t storedRecords_ = 0;
};

} // namespace

FaultPlan
PlanOfSeed(std::uint64_t aSeed)
{
  // The complement gives another random sequence than that of the run.
  Random random{ ~aSeed };
  return DrawPlan(random);
}

RunReport
RunPlan(const RunOptions& aOptions, const FaultPlan& aPlan)
{
  const std::size_t daemons =
    aOptions.daemons_ > 0
      ? aOptions.daemons_
      : kMinDaemons + aOptions.seed_ % (kMaxDaemons - kMinDaemons + 1);
  return FuzzSession{ aOptions, daemons }.Run(aPlan);
}

std::string
DescribeFailure(const RunOptions& aOptions,
                const FaultPlan& aPlan,
                const RunReport& aReport)
{
  std::ostringstream text;
  for (const Violation& violation : aReport.violations_) {
    text << "rule " << violation.rule_ << " at "
         << violation.at_.time_since_epoch() / milliseconds(1)
         << " ms: " << violation.what_ << '\n';
  }
  text << "replay: build/tests/fuzz/fuzz_reducers --seed " << aOptions.seed_
       << " --daemons " << aOptions.daemons_ << " --plan \"" << PrintPlan(aPlan)
       << "\" --trace\n";
  return text.str();
}

} // namespace verbenawell::fuzz
