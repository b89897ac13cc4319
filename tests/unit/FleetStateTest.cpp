#include "verbenawell/fleet/ApplyRecord.h"

#include <gtest/gtest.h>

namespace verbenawell {
namespace {

VmFacts
MakeVm(const std::string& aName)
{
  VmFacts facts;
  facts.vm_ = VmId{ aName };
  facts.slots_ = SlotCount{ 8 };
  return facts;
}

/// Applies changes at consecutive offsets.
class FleetStateTest : public testing::Test
{
protected:
  std::string Record(FleetChange aChange,
                     std::vector<Precondition> aPreconditions = {})
  {
    ++offset_;
    FleetRecord record;
    record.id_ = RecordId{ std::to_string(offset_.Value()) };
    record.change_ = std::move(aChange);
    record.preconditions_ = std::move(aPreconditions);
    return Apply(fleet_, offset_, record).refusal_;
  }

  void SetUp() override
  {
    Record(DefinePool{ PoolId{ "spare" }, true });
    Record(DefinePool{ PoolId{ "web" }, false });
    Record(VmSeen{ MakeVm("vm1") });
    Record(VmSeen{ MakeVm("vm2") });
    Record(MoveVm{ VmId{ "vm1" }, PoolId{ "web" } });
    Record(MoveVm{ VmId{ "vm2" }, PoolId{ "web" } });
    Record(DefineService{ ServiceId{ "slot" }, PoolId{ "web" }, VmCount{ 1 } });
    Record(StartWave{ WaveId{ "w1" }, PoolId{ "web" }, {} });
  }

  FleetState fleet_;
  Offset offset_;
};

// Guards against two planned stops that each count on the same VM above the
// budget.
TEST_F(FleetStateTest, RefusesTheStopThatWouldBreakABudget)
{
  EXPECT_EQ(Record(ReserveStop{ WaveId{ "w1" }, VmId{ "vm1" } }), "");
  EXPECT_NE(Record(ReserveStop{ WaveId{ "w1" }, VmId{ "vm2" } }), "");
}

// Guards against a planned stop that ignores VMs which have already failed.
TEST_F(FleetStateTest, CountsFailuresAgainstTheBudgetOfAPlannedStop)
{
  EXPECT_EQ(Record(VmDown{ VmId{ "vm1" } }), "");
  EXPECT_NE(Record(ReserveStop{ WaveId{ "w1" }, VmId{ "vm2" } }), "");
}

// Guards against a VM that belongs to two pools, or to none, during a move.
TEST_F(FleetStateTest, KeepsAVmInOnePoolDuringAMove)
{
  ASSERT_EQ(Record(StartMove{ VmId{ "vm1" }, PoolId{ "spare" } }), "");
  EXPECT_TRUE(fleet_.pools_.at(PoolId{ "web" }).vms_.contains(VmId{ "vm1" }));
  ASSERT_EQ(Record(MoveVm{ VmId{ "vm1" }, PoolId{ "spare" } }), "");
  EXPECT_TRUE(fleet_.pools_.at(PoolId{ "spare" }).vms_.contains(VmId{ "vm1" }));
  EXPECT_FALSE(fleet_.pools_.at(PoolId{ "web" }).vms_.contains(VmId{ "vm1" }));
}

// Guards against a worker whose slots are granted by the owners of two pools: a
// VM must be drained before it changes its pool.
TEST_F(FleetStateTest, RefusesToMoveAVmThatStillServes)
{
  EXPECT_NE(Record(MoveVm{ VmId{ "vm1" }, PoolId{ "spare" } }), "");
}

// Guards against a move that leaves a pool with fewer VMs than its budget.
TEST_F(FleetStateTest, RefusesAMoveThatWouldBreakABudget)
{
  EXPECT_EQ(Record(StartMove{ VmId{ "vm1" }, PoolId{ "spare" } }), "");
  EXPECT_NE(Record(StartMove{ VmId{ "vm2" }, PoolId{ "spare" } }), "");
}

// Guards against a wave that goes on stopping VMs while VMs of its pool fail
// together.
TEST_F(FleetStateTest, PausesTheWaveAfterTwoFailuresInOneRack)
{
  Record(VmDown{ VmId{ "vm1" } });
  EXPECT_FALSE(fleet_.waves_.at(WaveId{ "w1" }).paused_);
  Record(VmDown{ VmId{ "vm2" } });
  EXPECT_TRUE(fleet_.waves_.at(WaveId{ "w1" }).paused_);
}

// Guards against a fleet state that grows with every wave that ever ran.
TEST_F(FleetStateTest, KeepsALimitedNumberOfEndedWaves)
{
  Record(EndWave{ WaveId{ "w1" } });
  for (int number = 0; number < 200; ++number) {
    const WaveId wave{ "n" + std::to_string(number) };
    Record(StartWave{ wave, PoolId{ "web" }, {} });
    Record(EndWave{ wave });
  }
  EXPECT_LE(fleet_.waves_.size(), 64U);
  EXPECT_TRUE(fleet_.waves_.contains(WaveId{ "n199" }));
}

// Guards against a service whose move to another pool leaves no time stamp: the
// intents of its requests are in the stream of the pool it has left, and
// callers must be refused until they have expired.
TEST_F(FleetStateTest, RecordsWhenAServiceMovesToAnotherPool)
{
  const ServiceId slot{ "slot" };
  Record(DefinePool{ PoolId{ "other" }, false });
  FleetRecord record;
  record.id_ = RecordId{ "move" };
  record.at_ = WallTime{ std::chrono::seconds(7) };
  record.change_ = DefineService{ slot, PoolId{ "web" }, VmCount{ 1 } };
  Apply(fleet_, Offset{ 101 }, record);
  EXPECT_EQ(fleet_.services_.at(slot).movedAt_, WallTime{});
  record.id_ = RecordId{ "move again" };
  record.change_ = DefineService{ slot, PoolId{ "other" }, VmCount{} };
  Apply(fleet_, Offset{ 102 }, record);
  EXPECT_EQ(fleet_.services_.at(slot).movedAt_, record.at_);
}

// Guards against two concurrent changes by operators of which each is reported
// as accepted.
TEST_F(FleetStateTest, AcceptsOnlyOneOfTwoConcurrentChanges)
{
  const Subject subject = ServiceId{ "slot" };
  const Precondition seen{ subject, VersionOf(fleet_, subject) };
  const DefineService first{ ServiceId{ "slot" },
                             PoolId{ "web" },
                             VmCount{ 2 } };
  const DefineService second{ ServiceId{ "slot" },
                              PoolId{ "web" },
                              VmCount{ 0 } };
  EXPECT_EQ(Record(first, { seen }), "");
  EXPECT_NE(Record(second, { seen }), "");
  EXPECT_EQ(fleet_.services_.at(ServiceId{ "slot" }).budget_, VmCount{ 2 });
}

// Guards against a repeated append that takes effect twice because the log
// holds its record twice.
TEST_F(FleetStateTest, AppliesADuplicateRecordOnce)
{
  FleetRecord record;
  record.id_ = RecordId{ "twice" };
  record.change_ = DrainVm{ VmId{ "vm1" } };
  EXPECT_EQ(Apply(fleet_, Offset{ 100 }, record).refusal_, "");
  Record(UndrainVm{ VmId{ "vm1" } });
  EXPECT_NE(Apply(fleet_, Offset{ 102 }, record).refusal_, "");
  EXPECT_FALSE(fleet_.vms_.at(VmId{ "vm1" }).draining_);
}

} // namespace
} // namespace verbenawell
