#include "verbenawell/fleet/Fold.h"

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

/// Appends changes at consecutive offsets.
class FoldTest : public testing::Test
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

// Guards against two planned stops that spend the same VM of a budget.
TEST_F(FoldTest, RefusesTheStopThatWouldBreakABudget)
{
  EXPECT_EQ(Record(ReserveStop{ WaveId{ "w1" }, VmId{ "vm1" } }), "");
  EXPECT_NE(Record(ReserveStop{ WaveId{ "w1" }, VmId{ "vm2" } }), "");
}

// Guards against a budget that forgets failures already there.
TEST_F(FoldTest, CountsFailuresAgainstTheBudgetOfAPlannedStop)
{
  EXPECT_EQ(Record(VmDown{ VmId{ "vm1" } }), "");
  EXPECT_NE(Record(ReserveStop{ WaveId{ "w1" }, VmId{ "vm2" } }), "");
}

// Guards against a VM that two pools own after a move.
TEST_F(FoldTest, KeepsAVmInOnePoolThroughAMove)
{
  ASSERT_EQ(Record(StartMove{ VmId{ "vm1" }, PoolId{ "spare" } }), "");
  EXPECT_TRUE(fleet_.pools_.at(PoolId{ "web" }).vms_.contains(VmId{ "vm1" }));
  ASSERT_EQ(Record(MoveVm{ VmId{ "vm1" }, PoolId{ "spare" } }), "");
  EXPECT_TRUE(fleet_.pools_.at(PoolId{ "spare" }).vms_.contains(VmId{ "vm1" }));
  EXPECT_FALSE(fleet_.pools_.at(PoolId{ "web" }).vms_.contains(VmId{ "vm1" }));
}

// Guards against a worker that gets slots from the owners of two pools.
TEST_F(FoldTest, RefusesToMoveAVmThatStillServes)
{
  EXPECT_NE(Record(MoveVm{ VmId{ "vm1" }, PoolId{ "spare" } }), "");
}

// Guards against a move that takes the last VM of a budget.
TEST_F(FoldTest, RefusesAMoveThatWouldBreakABudget)
{
  EXPECT_EQ(Record(StartMove{ VmId{ "vm1" }, PoolId{ "spare" } }), "");
  EXPECT_NE(Record(StartMove{ VmId{ "vm2" }, PoolId{ "spare" } }), "");
}

// Guards against a wave that goes on stopping VMs of a pool that is failing.
TEST_F(FoldTest, PausesTheWaveAfterTwoFailuresInOneRack)
{
  Record(VmDown{ VmId{ "vm1" } });
  EXPECT_FALSE(fleet_.waves_.at(WaveId{ "w1" }).paused_);
  Record(VmDown{ VmId{ "vm2" } });
  EXPECT_TRUE(fleet_.waves_.at(WaveId{ "w1" }).paused_);
}

// Guards against a state that grows with every wave ever run.
TEST_F(FoldTest, KeepsALimitedNumberOfEndedWaves)
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

// Guards against a service that changes its pool unnoticed: its requests'
// intents stand in the stream of the pool that it has left.
TEST_F(FoldTest, NotesWhenAServiceMovesToAnotherPool)
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

// Guards against two racing operators who both believe that they have won.
TEST_F(FoldTest, GivesARaceOfTwoOperatorsOneWinner)
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

// Guards against an append that was sent again and takes effect twice.
TEST_F(FoldTest, AppliesARecordThatStandsTwiceInTheLogOnce)
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
