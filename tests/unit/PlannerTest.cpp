#include "verbenawell/fleet/ApplyRecord.h"
#include "verbenawell/planner/Placement.h"
#include "verbenawell/planner/SparePlan.h"
#include "verbenawell/planner/WavePlan.h"

#include <algorithm>
#include <map>
#include <string>

#include <gtest/gtest.h>

namespace verbenawell {
namespace {

VmFacts
MakeVm(int aNumber, int aZones)
{
  VmFacts facts;
  facts.vm_ = VmId{ "vm" + std::to_string(aNumber) };
  facts.zone_ = ZoneId{ "z" + std::to_string(aNumber % aZones) };
  facts.rack_ = RackId{ "k" + std::to_string(aNumber / 4) };
  facts.size_ = { Cores{ 64 }, Megabytes{ 262'144 }, Accelerators{} };
  return facts;
}

std::vector<VmFacts>
MakeVms(int aCount, int aZones)
{
  std::vector<VmFacts> vms;
  vms.reserve(static_cast<std::size_t>(aCount));
  for (int number = 0; number < aCount; ++number) {
    vms.push_back(MakeVm(number, aZones));
  }
  return vms;
}

/// A fleet with one service of budget 3 on 4 VMs, and 3 spare VMs.
class PlannerTest : public testing::Test
{
protected:
  void Record(FleetChange aChange)
  {
    ++offset_;
    FleetRecord record;
    record.id_ = RecordId{ std::to_string(offset_.Value()) };
    record.change_ = std::move(aChange);
    for (const Subject& subject : Apply(fleet_, offset_, record).changed_) {
      index_.Update(fleet_, subject);
    }
  }

  void SetUp() override
  {
    Record(DefinePool{ PoolId{ "spare" }, true });
    Record(DefinePool{ PoolId{ "web" }, false });
    for (const VmFacts& vm : MakeVms(7, 4)) {
      Record(VmSeen{ vm });
    }
    for (const char* vm : { "vm0", "vm1", "vm2", "vm3" }) {
      Record(MoveVm{ VmId{ vm }, PoolId{ "web" } });
    }
    Record(DefineService{ ServiceId{ "slot" }, PoolId{ "web" }, VmCount{ 3 } });
    Record(StartWave{ WaveId{ "w1" }, PoolId{ "web" }, {} });
  }

  std::vector<PlannedMove> Refills()
  {
    return PlanRefills(index_, PoolId{ "spare" }, {});
  }

  FleetState fleet_;
  FleetIndex index_;
  Offset offset_;
};

// Guards against a refill that moves more or fewer VMs than are missing.
TEST_F(PlannerTest, MovesOneSpareVmForEachMissingVm)
{
  EXPECT_TRUE(Refills().empty());
  Record(VmDown{ VmId{ "vm0" } });
  EXPECT_TRUE(Refills().empty());
  Record(VmDown{ VmId{ "vm1" } });
  EXPECT_EQ(Refills().size(), 1U);
}

// Guards against an index that diverges from the fleet state after a series of
// changes.
TEST_F(PlannerTest, KeepsTheIndexEqualToARebuiltOne)
{
  Record(VmDown{ VmId{ "vm0" } });
  Record(ReserveStop{ WaveId{ "w1" }, VmId{ "vm1" } });
  Record(MoveVm{ VmId{ "vm4" }, PoolId{ "web" } });
  Record(VmGone{ VmId{ "vm5" } });
  Record(VmUp{ VmId{ "vm0" }, BootCount{ 2 } });
  FleetIndex rebuilt;
  rebuilt.Rebuild(fleet_);
  const PoolId web{ "web" };
  EXPECT_EQ(index_.SpareCount(), rebuilt.SpareCount());
  EXPECT_EQ(index_.Pools().at(web).serving_, rebuilt.Pools().at(web).serving_);
  EXPECT_EQ(index_.Pools().at(web).serving_,
            CountServing(fleet_, fleet_.pools_.at(web)));
}

// Guards against a wave that stops many VMs before the first one has come back.
TEST_F(PlannerTest, StopsOneCanaryFirst)
{
  const WaveState& wave = fleet_.waves_.at(WaveId{ "w1" });
  EXPECT_EQ(StopsAllowed(fleet_, wave, VmCount{ 3 }), 1U);
  Record(ReserveStop{ WaveId{ "w1" }, VmId{ "vm0" } });
  EXPECT_EQ(StopsAllowed(fleet_, wave, VmCount{ 3 }), 0U);
}

// Guards against a wave that stops a VM although a failed one has already used
// up the margin above the budget.
TEST_F(PlannerTest, StopsNoVmWhileAFailureUsesUpTheMargin)
{
  Record(VmDown{ VmId{ "vm3" } });
  const WaveState& wave = fleet_.waves_.at(WaveId{ "w1" });
  EXPECT_EQ(StopsAllowed(fleet_, wave, VmCount{ 3 }), 0U);
}

// Guards against a forecast that does not show how close a wave comes to the
// budget.
TEST_F(PlannerTest, ForecastsTheMinimumServingVmsOfAWave)
{
  const WaveForecast forecast = ForecastWave(fleet_,
                                             fleet_.waves_.at(WaveId{ "w1" }),
                                             VmCount{ 3 },
                                             std::chrono::seconds(10));
  EXPECT_EQ(forecast.stops_, 4U);
  EXPECT_EQ(forecast.rounds_, 4U);
  EXPECT_EQ(forecast.duration_, std::chrono::seconds(40));
  EXPECT_EQ(forecast.margins_.at(0).minServing_, VmCount{ 3 });
}

// Guards against a placement whose spare VMs cannot replace the VMs that are
// lost with a zone.
TEST(PlacementTest, KeepsEveryBudgetAfterTheLossOfAnyZone)
{
  const auto vms = MakeVms(50, 4);
  const Placement placement =
    PlaceAllPools(vms,
                  { { PoolId{ "a" }, VmCount{ 9 }, {} },
                    { PoolId{ "b" }, VmCount{ 7 }, {} },
                    { PoolId{ "c" }, VmCount{ 11 }, {} } });
  ASSERT_EQ(placement.shortfall_, VmCount{});
  std::map<VmId, ZoneId> zoneOf;
  for (const VmFacts& vm : vms) {
    zoneOf[vm.vm_] = vm.zone_;
  }
  for (const char* lost : { "z0", "z1", "z2", "z3" }) {
    const auto isLost = [&](const VmId& aVm) {
      return zoneOf.at(aVm) == ZoneId{ lost };
    };
    const auto missing =
      std::ranges::count_if(placement.pools_, isLost, &Assignment::vm_);
    const auto sparesLost = std::ranges::count_if(placement.spares_, isLost);
    EXPECT_LE(missing, std::ssize(placement.spares_) - sparesLost) << lost;
  }
}

// Guards against jobs that need accelerators in a pool whose VMs have none.
TEST(PlacementTest, GivesAcceleratorsToThePoolThatNeedsThem)
{
  auto vms = MakeVms(8, 4);
  vms[5].size_.accelerators_ = Accelerators{ 4 };
  const Resources job{ Cores{ 1 }, Megabytes{ 1 }, Accelerators{ 2 } };
  const Placement placement =
    PlaceAllPools(vms,
                  { { PoolId{ "plain" }, VmCount{ 3 }, {} },
                    { PoolId{ "accelerated" }, VmCount{ 1 }, job } });
  const auto found = std::ranges::find(
    placement.pools_, PoolId{ "accelerated" }, &Assignment::pool_);
  ASSERT_NE(found, placement.pools_.end());
  EXPECT_EQ(found->vm_, VmId{ "vm5" });
}

} // namespace
} // namespace verbenawell
