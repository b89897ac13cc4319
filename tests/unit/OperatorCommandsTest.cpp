#include "verbenawell/fleet/ApplyRecord.h"
#include "verbenawell/operators/Consequences.h"
#include "verbenawell/operators/Parser.h"
#include "verbenawell/operators/Subjects.h"

#include <string>

#include <gtest/gtest.h>

namespace verbenawell {
namespace {

template<typename Change>
Change
ParseChange(const std::string& aText)
{
  const auto parsed = ParseCommand(aText);
  const auto& command = std::get<Command>(parsed);
  return std::get<Change>(std::get<ChangeFleet>(command).change_);
}

CommandSyntaxError
ParseFault(const std::string& aText)
{
  return std::get<CommandSyntaxError>(ParseCommand(aText));
}

// Guards against parsed words that end up in the wrong field of a change.
TEST(CommandParserTest, ParsesEachKindOfChange)
{
  const auto service =
    ParseChange<DefineService>("create service slot in web budget 7");
  EXPECT_EQ(service.service_, ServiceId{ "slot" });
  EXPECT_EQ(service.pool_, PoolId{ "web" });
  EXPECT_EQ(service.budget_, VmCount{ 7 });
  const auto quota =
    ParseChange<SetQuota>("set quota of bakers in slot weight 3 limit 20");
  EXPECT_EQ(quota.team_, TeamId{ "bakers" });
  EXPECT_EQ(quota.weight_, ShareWeight{ 3 });
  EXPECT_EQ(quota.limit_, SlotCount{ 20 });
  const auto wave = ParseChange<StartWave>("start wave w1 over web vms a b");
  EXPECT_EQ(wave.vms_.size(), 2U);
  EXPECT_EQ(ParseChange<PauseWave>("pause wave w1 because of rain").reason_,
            "of rain");
}

// Guards against syntax errors that do not name the column and what was
// expected there.
TEST(CommandParserTest, ReportsTheColumnOfASyntaxError)
{
  EXPECT_EQ(ParseFault("shw fleet").column_, 1U);
  EXPECT_EQ(ParseFault("show  flet").column_, 7U);
  EXPECT_EQ(ParseFault("move vm1 too web").column_, 10U);
  EXPECT_EQ(ParseFault("move vm1 to").column_, 12U);
  EXPECT_EQ(ParseFault("drain vm1 now").expected_, "the end of the command");
  EXPECT_EQ(ParseFault("set reboot-limit to 5").column_, 21U);
}

// Guards against a misspelt setting that is stored and has no effect.
TEST(CommandParserTest, ListsTheKnownSettingsForAnUnknownOne)
{
  EXPECT_NE(ParseFault("set reboot-limt to 60").expected_.find("reboot-limit"),
            std::string::npos);
}

/// A pool of 6 VMs over 3 zones, 2 spare VMs and a service of budget 4.
class ConsequencesTest : public testing::Test
{
protected:
  FleetRecord MakeRecord(FleetChange aChange)
  {
    FleetRecord record;
    record.id_ = RecordId{ "r" + std::to_string(++records_) };
    record.change_ = std::move(aChange);
    return record;
  }

  void Record(FleetChange aChange)
  {
    Apply(fleet_,
          fleet_.appliedOffset_ + Offset{ 1 },
          MakeRecord(std::move(aChange)));
  }

  void SetUp() override
  {
    Record(DefinePool{ PoolId{ "spare" }, true });
    Record(DefinePool{ PoolId{ "web" }, false });
    for (int number = 0; number < 8; ++number) {
      VmFacts facts;
      facts.vm_ = VmId{ "vm" + std::to_string(number) };
      facts.zone_ = ZoneId{ "z" + std::to_string(number % 3) };
      facts.slots_ = SlotCount{ 8 };
      Record(VmSeen{ facts });
      if (number < 6) {
        Record(MoveVm{ facts.vm_, PoolId{ "web" } });
      }
    }
    Record(DefineService{ ServiceId{ "slot" }, PoolId{ "web" }, VmCount{ 4 } });
  }

  Consequences ConsequencesOf(FleetChange aChange)
  {
    return AssessChange(
      fleet_, MakeRecord(std::move(aChange)), std::chrono::seconds(10));
  }

  FleetState fleet_;
  int records_ = 0;
};

// Guards against a preview of consequences that modifies the fleet state.
TEST_F(ConsequencesTest, LeavesTheFleetStateUnchanged)
{
  const Offset before = fleet_.appliedOffset_;
  ConsequencesOf(DrainVm{ VmId{ "vm0" } });
  EXPECT_EQ(fleet_.appliedOffset_, before);
  EXPECT_TRUE(IsServing(fleet_.vms_.at(VmId{ "vm0" })));
}

// Guards against a budget so low that a wave may stop more VMs than the loss of
// a zone would take down, set without a confirmation.
TEST_F(ConsequencesTest, RequiresConfirmationOfABudgetBelowTheLossOfAZone)
{
  const auto low = ConsequencesOf(
    DefineService{ ServiceId{ "slot" }, PoolId{ "web" }, VmCount{ 1 } });
  EXPECT_EQ(low.dangers_.size(), 1U);
  const auto same = ConsequencesOf(
    DefineService{ ServiceId{ "slot" }, PoolId{ "web" }, VmCount{ 4 } });
  EXPECT_TRUE(same.dangers_.empty());
}

// Guards against a quota above the number of slots of the pool, set without a
// confirmation.
TEST_F(ConsequencesTest, RequiresConfirmationOfAQuotaAboveThePoolSize)
{
  const auto over = ConsequencesOf(SetQuota{
    TeamId{ "t" }, ServiceId{ "slot" }, ShareWeight{ 1 }, SlotCount{ 49 } });
  EXPECT_EQ(over.dangers_.size(), 1U);
}

// Guards against a confirmation code that an operator got for one set of
// consequences and that is accepted for another.
TEST_F(ConsequencesTest, ChangesTheConfirmationCodeWithTheConsequences)
{
  const DrainVm drain{ VmId{ "vm0" } };
  const std::string shown = ConsequencesOf(drain).confirmationCode_;
  EXPECT_EQ(ConsequencesOf(drain).confirmationCode_, shown);
  Record(VmDown{ VmId{ "vm5" } });
  EXPECT_NE(ConsequencesOf(drain).confirmationCode_, shown);
}

// Guards against a wave whose stops, duration and remaining margin are not
// shown before it starts.
TEST_F(ConsequencesTest, ShowsTheCostOfAWave)
{
  const auto wave =
    ConsequencesOf(StartWave{ WaveId{ "w1" }, PoolId{ "web" }, {} });
  ASSERT_EQ(wave.tables_.size(), 3U);
  EXPECT_EQ(wave.tables_[1].rows_[0][0], "6");
  EXPECT_EQ(wave.tables_[1].rows_[0][1], "2");
  EXPECT_EQ(wave.tables_[1].rows_[0][2], "4");
}

} // namespace
} // namespace verbenawell
