#include "verbenawell/core/State.h"
#include "verbenawell/fleet/ApplyRecord.h"
#include "verbenawell/fleet/FleetReducer.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace verbenawell {
namespace {

using namespace std::chrono_literals;

const DaemonId kSelf{ "self" };
const PoolId kSpare{ "spare" };

/// Runs the fleet reducer of the daemon that records the VM list, with 8 VMs.
class VmListTest : public testing::Test
{
protected:
  void SetUp() override
  {
    state_.membership_.members_[kSelf] = {};
    ApplyChange(DefinePool{ kSpare, true });
    for (int i = 1; i <= 8; ++i) {
      VmListing listing;
      listing.facts_.vm_ = VmId{ "vm" + std::to_string(i) };
      listing.facts_.rack_ = RackId{ "r1" };
      listing.facts_.slots_ = SlotCount{ 8 };
      ApplyChange(VmSeen{ listing.facts_ });
      list_.push_back(listing);
    }
  }

  void ApplyChange(FleetChange aChange)
  {
    ++offset_;
    FleetRecord record;
    record.id_ = RecordId{ std::to_string(offset_.Value()) };
    record.change_ = std::move(aChange);
    ASSERT_EQ(Apply(state_.fleet_, offset_, record).refusal_, "");
  }

  /// Returns the changes that the daemon appends after one list.
  std::vector<FleetChange> ReadList(const std::vector<VmListing>& aList)
  {
    Effects effects;
    ReduceFleet(state_.fleet_,
                state_.View(),
                VmListRead{ aList },
                { now_, {}, kSelf },
                effects);
    std::vector<FleetChange> changes;
    for (const Effect& effect : effects) {
      if (const auto* raise = std::get_if<Raise>(&effect)) {
        const auto& append = std::get<AppendRequested>(raise->event_);
        const auto& record = std::get<FleetRecord>(append.body_);
        EXPECT_EQ(record.preconditions_.size(), 1U);
        changes.push_back(record.change_);
      } else if (const auto* count = std::get_if<Count>(&effect)) {
        implausibleLists_ +=
          count->key_ == CounterKey{ Counter::VmListsImplausible } ? 1 : 0;
      }
    }
    return changes;
  }

  /// Reads the list every 5 s; returns the changes appended after the last
  /// read.
  std::vector<FleetChange> ReadListFor(Duration aTime,
                                       const std::vector<VmListing>& aList)
  {
    const TimePoint end = now_ + aTime;
    std::vector<FleetChange> changes = ReadList(aList);
    while (now_ < end) {
      now_ += 5s;
      changes = ReadList(aList);
    }
    return changes;
  }

  [[nodiscard]] std::vector<VmListing> ListWithoutFirst(
    std::size_t aCount) const
  {
    return { list_.begin() + static_cast<std::ptrdiff_t>(aCount), list_.end() };
  }

  State state_;
  Offset offset_;
  TimePoint now_{ 1000s };
  std::vector<VmListing> list_;
  int implausibleLists_ = 0;
};

// Guards against a VM that still counts for the budget of its pool after it has
// left the VM list, and against one that is recorded as gone too early.
TEST_F(VmListTest, RecordsAVmAsGoneAfterTenMinutesOfAbsence)
{
  EXPECT_TRUE(ReadListFor(595s, ListWithoutFirst(1)).empty());
  const auto changes = ReadListFor(5s, ListWithoutFirst(1));
  ASSERT_EQ(changes.size(), 1U);
  const auto* gone = std::get_if<VmGone>(&changes[0]);
  ASSERT_NE(gone, nullptr);
  EXPECT_EQ(gone->vm_, VmId{ "vm1" });
  ApplyChange(*gone);
  EXPECT_TRUE(ReadList(ListWithoutFirst(1)).empty());
  EXPECT_TRUE(state_.fleet_.watch_.absentSince_.empty());
}

// Guards against separate absences that are added up although the VM was listed
// in between.
TEST_F(VmListTest, RestartsTheAbsenceOfAVmThatIsListed)
{
  ReadListFor(595s, ListWithoutFirst(1));
  ReadList(list_);
  EXPECT_TRUE(ReadListFor(595s, ListWithoutFirst(1)).empty());
}

// Guards against an empty or truncated VM list that removes many VMs from their
// pools.
TEST_F(VmListTest, IgnoresAListThatLacksManyVms)
{
  EXPECT_TRUE(ReadListFor(1200s, {}).empty());
  EXPECT_TRUE(ReadListFor(1200s, ListWithoutFirst(3)).empty());
  EXPECT_GT(implausibleLists_, 0);
  ReadListFor(300s, ListWithoutFirst(2));
  ReadList({});
  EXPECT_TRUE(ReadListFor(595s, ListWithoutFirst(2)).empty());
  EXPECT_EQ(ReadListFor(5s, ListWithoutFirst(2)).size(), 2U);
}

// Guards against time without a fresh list that counts as absence: a list that
// was not read cannot show that a VM is missing.
TEST_F(VmListTest, CountsNoTimeWithoutAReadList)
{
  ReadList(ListWithoutFirst(1));
  now_ += 600s;
  EXPECT_TRUE(ReadListFor(595s, ListWithoutFirst(1)).empty());
  EXPECT_EQ(ReadListFor(5s, ListWithoutFirst(1)).size(), 1U);
}

// Guards against a VM that is recorded as gone during its planned reboot.
TEST_F(VmListTest, IgnoresTheAbsenceOfAVmWithAPlannedStop)
{
  state_.fleet_.vms_.at(VmId{ "vm1" }).stopWave_ = WaveId{ "w1" };
  EXPECT_TRUE(ReadListFor(1200s, ListWithoutFirst(1)).empty());
}

// Guards against a changed size, rack or zone that placement never learns of,
// and against a boot count that is recorded twice: once here and once by the
// wave.
TEST_F(VmListTest, RecordsChangedFactsOnceTheyAreStable)
{
  std::vector<VmListing> changed = list_;
  changed[0].facts_.rack_ = RackId{ "r2" };
  changed[0].facts_.size_.cores_ = Cores{ 64 };
  changed[0].facts_.boots_ = BootCount{ 3 };
  EXPECT_TRUE(ReadListFor(5s, changed).empty());
  const auto changes = ReadListFor(5s, changed);
  ASSERT_EQ(changes.size(), 1U);
  const auto* seen = std::get_if<VmSeen>(&changes[0]);
  ASSERT_NE(seen, nullptr);
  EXPECT_EQ(seen->facts_.rack_, RackId{ "r2" });
  EXPECT_EQ(seen->facts_.size_.cores_, Cores{ 64 });
  EXPECT_EQ(seen->facts_.boots_, BootCount{});
  ApplyChange(*seen);
  EXPECT_TRUE(ReadListFor(60s, changed).empty());
  EXPECT_EQ(state_.fleet_.vms_.at(VmId{ "vm1" }).pool_, kSpare);
}

// Guards against replicas of the platform with differing lists: the facts of
// each would be recorded in turn, without end.
TEST_F(VmListTest, IgnoresFactsThatAlternate)
{
  std::vector<VmListing> changed = list_;
  changed[0].facts_.rack_ = RackId{ "r2" };
  for (int i = 0; i < 60; ++i) {
    now_ += 5s;
    EXPECT_TRUE(ReadList(i % 2 == 0 ? changed : list_).empty());
  }
}

} // namespace
} // namespace verbenawell
