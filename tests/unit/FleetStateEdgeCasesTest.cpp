#include "verbenawell/fleet/ApplyRecord.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace verbenawell {
namespace {

const PoolId kSpare{ "spare" };
const PoolId kWeb{ "web" };
const ServiceId kSlot{ "slot" };
const WaveId kWave{ "w1" };
const VmId kVm1{ "vm1" };
const VmId kVm2{ "vm2" };

class FleetStateEdgeCasesTest : public testing::Test
{
protected:
  std::string Record(FleetChange aChange)
  {
    ++offset_;
    FleetRecord record;
    record.id_ = RecordId{ std::to_string(offset_.Value()) };
    record.author_ = OperatorId{ "mina" };
    record.change_ = std::move(aChange);
    std::string refusal = Apply(fleet_, offset_, record).refusal_;
    CheckServingCounts();
    return refusal;
  }

  std::string RecordVmSeen(const VmId& aVm)
  {
    VmSeen seen;
    seen.facts_.vm_ = aVm;
    return Record(seen);
  }

  /// Compares the incrementally updated counts of serving VMs with a full scan.
  void CheckServingCounts()
  {
    for (const auto& [id, pool] : fleet_.pools_) {
      const auto serving =
        std::ranges::count_if(pool.vms_, [&](const VmId& aVm) {
          return IsServing(fleet_.vms_.at(aVm));
        });
      EXPECT_EQ(pool.serving_.Value(), serving) << id.Value();
    }
  }

  void SetUp() override
  {
    Record(DefinePool{ kSpare, true });
    Record(DefinePool{ kWeb, false });
    for (const VmId& vm : { kVm1, kVm2 }) {
      RecordVmSeen(vm);
      Record(MoveVm{ vm, kWeb });
    }
    Record(DefineService{ kSlot, kWeb, VmCount{ 1 } });
    Record(StartWave{ kWave, kWeb, {} });
  }

  FleetState fleet_;
  Offset offset_;
};

// Guards against a VM that left the VM list and returns with its former pool or
// planned stop.
TEST_F(FleetStateEdgeCasesTest, TreatsAVmThatReappearsAsANewOne)
{
  Record(ReserveStop{ kWave, kVm1 });
  EXPECT_EQ(Record(VmGone{ kVm1 }), "");
  EXPECT_EQ(fleet_.waves_.at(kWave).stops_.at(kVm1), StopStatus::Failed);
  EXPECT_EQ(RecordVmSeen(kVm1), "");
  EXPECT_EQ(fleet_.vms_.at(kVm1).pool_, kSpare);
  EXPECT_TRUE(fleet_.vms_.at(kVm1).stopWave_.IsEmpty());
  EXPECT_NE(Record(FinishStop{ kWave, kVm1, BootCount{ 2 } }), "");
}

// Guards against a wave that waits forever for a VM that is gone.
TEST_F(FleetStateEdgeCasesTest, FailsTheWaitingStopOfAVmThatIsGone)
{
  Record(VmGone{ kVm2 });
  EXPECT_EQ(fleet_.waves_.at(kWave).stops_.at(kVm2), StopStatus::Failed);
}

// Guards against a VM that counts as serving once its planned stop has
// finished, although the platform still lists it as down.
TEST_F(FleetStateEdgeCasesTest, KeepsADownVmDownAfterItsPlannedStop)
{
  Record(ReserveStop{ kWave, kVm1 });
  Record(VmDown{ kVm1 });
  EXPECT_EQ(Record(FinishStop{ kWave, kVm1, BootCount{ 2 } }), "");
  EXPECT_FALSE(IsServing(fleet_.vms_.at(kVm1)));
  Record(VmUp{ kVm1, BootCount{ 2 } });
  EXPECT_TRUE(IsServing(fleet_.vms_.at(kVm1)));
}

// Guards against a VM that counts as serving although its planned stop has
// failed.
TEST_F(FleetStateEdgeCasesTest, CountsAFailedStopAgainstTheBudget)
{
  Record(ReserveStop{ kWave, kVm1 });
  Record(FailStop{ kWave, kVm1 });
  EXPECT_NE(Record(DrainVm{ kVm2 }), "");
}

// Guards against a budget that is violated from the moment it is accepted.
TEST_F(FleetStateEdgeCasesTest, RefusesABudgetAboveTheServingVms)
{
  EXPECT_NE(Record(DefineService{ kSlot, kWeb, VmCount{ 3 } }), "");
  EXPECT_NE(Record(DefineService{ kSlot, kSpare, VmCount{ 1 } }), "");
  EXPECT_EQ(fleet_.services_.at(kSlot).pool_, kWeb);
  Record(VmDown{ kVm1 });
  Record(VmDown{ kVm2 });
  EXPECT_EQ(Record(DefineService{ kSlot, kWeb, VmCount{ 1 } }), "");
}

// Guards against a budget that still limits stops after its service has been
// removed from the pool.
TEST_F(FleetStateEdgeCasesTest, FreesTheBudgetOfARemovedService)
{
  Record(SetQuota{ TeamId{ "t" }, kSlot, ShareWeight{ 1 }, SlotCount{} });
  EXPECT_EQ(Record(RemoveService{ kSlot }), "");
  EXPECT_TRUE(fleet_.quotas_.empty());
  EXPECT_EQ(Record(DrainVm{ kVm1 }), "");
  EXPECT_EQ(Record(DrainVm{ kVm2 }), "");
}

// Guards against a failed VM that an operator cannot move out of its pool
// because the budget forbids planned moves.
TEST_F(FleetStateEdgeCasesTest, MovesADownVmRegardlessOfTheBudget)
{
  Record(VmDown{ kVm1 });
  EXPECT_EQ(Record(MoveVm{ kVm1, kSpare }), "");
  EXPECT_NE(Record(StartMove{ kVm2, kSpare }), "");
}

// Guards against several spare pools: the pool of a new VM would depend on the
// order of their names.
TEST_F(FleetStateEdgeCasesTest, RefusesASecondSparePool)
{
  EXPECT_NE(Record(DefinePool{ kWeb, true }), "");
  EXPECT_EQ(Record(DefinePool{ kSpare, false }), "");
  EXPECT_NE(RecordVmSeen(VmId{ "vm3" }), "");
  EXPECT_EQ(Record(DefinePool{ kWeb, true }), "");
}

// Guards against a missing history: operators could not tell who set a value,
// and why.
TEST_F(FleetStateEdgeCasesTest, KeepsTheLatestChangesOfASubject)
{
  for (const char* value : { "1", "2", "3", "4", "5", "6" }) {
    Record(SetSetting{ SettingId{ "s" }, value });
  }
  const Provenance& why = fleet_.provenance_.at(SettingId{ "s" });
  ASSERT_EQ(why.history_.size(), 4U);
  EXPECT_EQ(why.history_.back().text_, "set s to 6");
  EXPECT_EQ(why.history_.back().author_, OperatorId{ "mina" });
  EXPECT_EQ(why.history_.back().offset_, why.offset_);
  EXPECT_EQ(why.history_.front().text_, "set s to 3");
}

// Guards against a fleet state that grows with every VM and every wave that
// ever existed.
TEST_F(FleetStateEdgeCasesTest, DropsTheOldestRemovedVmsAndWaves)
{
  for (int at = 0; at < 1500; ++at) {
    RecordVmSeen(VmId{ "gone" });
    const VmId vm{ "gone" + std::to_string(at) };
    RecordVmSeen(vm);
    Record(VmGone{ vm });
    const WaveId wave{ "wave" + std::to_string(at) };
    Record(StartWave{ wave, kWeb, { kVm1 } });
    Record(EndWave{ wave });
  }
  EXPECT_LE(fleet_.provenance_.size(), 1200U);
  EXPECT_LE(fleet_.waves_.size(), 65U);
}

} // namespace
} // namespace verbenawell
