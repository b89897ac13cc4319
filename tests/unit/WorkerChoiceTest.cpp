#include "verbenawell/requests/WorkerHealth.h"
#include "verbenawell/requests/WorkerIndex.h"

#include <gtest/gtest.h>

namespace verbenawell {
namespace {

using namespace std::chrono_literals;

VmFacts
MakeWorker(const std::string& aName,
           const std::string& aZone,
           const std::string& aRack,
           std::uint32_t aAccelerators = 0)
{
  VmFacts facts;
  facts.vm_ = VmId{ aName };
  facts.zone_ = ZoneId{ aZone };
  facts.rack_ = RackId{ aRack };
  facts.slots_ = SlotCount{ 8 };
  facts.size_ = { Cores{ 16 },
                  Megabytes{ 32000 },
                  Accelerators{ aAccelerators } };
  return facts;
}

class WorkerIndexTest : public testing::Test
{
protected:
  void Put(const VmFacts& aFacts) { index_.Put(aFacts, { true, true }); }

  [[nodiscard]] std::string Choose(const WorkerNeed& aNeed)
  {
    const auto chosen = index_.Choose(aNeed, random_);
    return chosen ? chosen->Value() : "";
  }

  WorkerIndex index_;
  Random random_{ 1 };
};

// Guards against more attempts on a worker than its slots or its memory allow.
TEST_F(WorkerIndexTest, FillsNoWorkerBeyondItsSlotsOrSize)
{
  Put(MakeWorker("w1", "z1", "r1"));
  const Resources half{ Cores{ 8 }, Megabytes{ 100 }, Accelerators{} };
  index_.OccupySlot(VmId{ "w1" }, half);
  index_.OccupySlot(VmId{ "w1" }, half);
  EXPECT_EQ(Choose({ half, {} }), "");
  EXPECT_EQ(Choose({ {}, {} }), "w1");
  for (int i = 0; i < 6; ++i) {
    index_.OccupySlot(VmId{ "w1" }, {});
  }
  EXPECT_FALSE(index_.HasFreeSlot());
  index_.ReturnSlot(VmId{ "w1" }, half);
  EXPECT_EQ(Choose({ half, {} }), "w1");
}

// Guards against a retry on the failed worker, or in its rack or zone while
// there are workers elsewhere.
TEST_F(WorkerIndexTest, RetriesInAnotherRackAndZone)
{
  Put(MakeWorker("w1", "z1", "r1"));
  Put(MakeWorker("w2", "z1", "r1"));
  EXPECT_EQ(Choose({ {}, { VmId{ "w1" } } }), "w2");
  Put(MakeWorker("w3", "z1", "r2"));
  EXPECT_EQ(Choose({ {}, { VmId{ "w1" } } }), "w3");
  Put(MakeWorker("w4", "z2", "r1"));
  EXPECT_EQ(Choose({ {}, { VmId{ "w1" } } }), "w4");
  EXPECT_FALSE(index_.MayEverServe(
    { {}, { VmId{ "w1" }, VmId{ "w2" }, VmId{ "w3" }, VmId{ "w4" } } }));
}

// Guards against work without accelerators that takes the slots of workers with
// accelerators, and against work on workers that are too small.
TEST_F(WorkerIndexTest, KeepsAcceleratorsForWorkThatNeedsThem)
{
  Put(MakeWorker("plain", "z1", "r1"));
  Put(MakeWorker("accelerated", "z1", "r1", 2));
  const Resources need{ {}, {}, Accelerators{ 2 } };
  EXPECT_EQ(Choose({ {}, {} }), "plain");
  EXPECT_EQ(Choose({ need, {} }), "accelerated");
  EXPECT_TRUE(index_.FitsAnyWorker(need));
  EXPECT_FALSE(index_.FitsAnyWorker({ {}, {}, Accelerators{ 3 } }));
  index_.Remove(VmId{ "accelerated" });
  EXPECT_FALSE(index_.FitsAnyWorker(need));
}

// Guards against attempts that are no longer counted after their worker has
// left the pool, or counted wrongly after it has returned.
TEST_F(WorkerIndexTest, CountsAttemptsOnARemovedWorker)
{
  Put(MakeWorker("w1", "z1", "r1"));
  index_.OccupySlot(VmId{ "w1" }, {});
  index_.Remove(VmId{ "w1" });
  EXPECT_EQ(index_.Running(VmId{ "w1" }), SlotCount{ 1 });
  EXPECT_FALSE(index_.HasFreeSlot());
  index_.ReturnSlot(VmId{ "w1" }, {});
  EXPECT_EQ(index_.Running(VmId{ "w1" }), SlotCount{});
  EXPECT_EQ(index_.UsableSlots(), SlotCount{});
}

// Guards against load that concentrates on some of the workers.
TEST_F(WorkerIndexTest, SpreadsWorkOverTheWorkers)
{
  for (int i = 0; i < 50; ++i) {
    Put(MakeWorker("w" + std::to_string(i), "z1", "r1"));
  }
  for (int i = 0; i < 200; ++i) {
    index_.OccupySlot(VmId{ Choose({ {}, {} }) }, {});
  }
  for (int i = 0; i < 50; ++i) {
    EXPECT_LE(index_.Running(VmId{ "w" + std::to_string(i) }), SlotCount{ 7 });
  }
}

constexpr SlotCount kSlots{ 8 };

// Guards against a worker that fails every request quickly and so attracts all
// work.
TEST(WorkerHealthTest, EjectsAfterFiveFailuresInTheLastTen)
{
  WorkerHealth health;
  const TimePoint now{ 1s };
  for (int i = 0; i < 4; ++i) {
    EXPECT_EQ(health.Record(true, true, kSlots, now), HealthChange::None);
    EXPECT_EQ(health.Record(false, true, kSlots, now), HealthChange::None);
  }
  EXPECT_EQ(health.Record(true, true, kSlots, now), HealthChange::Ejected);
  EXPECT_EQ(health.Cap(kSlots), SlotCount{});
}

// Guards against ejections that leave fewer workers in a pool than its budget.
TEST(WorkerHealthTest, KeepsAFailingWorkerWhereItMayNotBeEjected)
{
  WorkerHealth health;
  for (int i = 0; i < 20; ++i) {
    health.Record(true, false, kSlots, TimePoint{ 1s });
  }
  EXPECT_TRUE(health.IsHealthy());
}

// Guards against probes that come too early or never, and against a recovering
// worker that gets all its slots back at once.
TEST(WorkerHealthTest, ProbesWithDoublingPausesAndReadmitsGradually)
{
  WorkerHealth health;
  TimePoint now{ 1s };
  for (int i = 0; i < 5; ++i) {
    health.Record(true, true, kSlots, now);
  }
  for (const Duration pause : { 2s, 4s, 8s, 16s, 32s, 60s, 60s }) {
    EXPECT_EQ(health.Advance(now + pause - 1ms), HealthChange::None);
    now += pause;
    EXPECT_EQ(health.Advance(now), HealthChange::Probed);
    EXPECT_EQ(health.Cap(kSlots), SlotCount{ 1 });
    EXPECT_EQ(health.Record(true, true, kSlots, now), HealthChange::Ejected);
  }
  now += 60s;
  health.Advance(now);
  for (const std::uint32_t cap : { 2U, 4U }) {
    EXPECT_EQ(health.Record(false, true, kSlots, now), HealthChange::None);
    EXPECT_EQ(health.Cap(kSlots), SlotCount{ cap });
  }
  EXPECT_EQ(health.Record(false, true, kSlots, now), HealthChange::Recovered);
}

} // namespace
} // namespace verbenawell
