#include "verbenawell/core/Reduce.h"
#include "verbenawell/core/State.h"
#include "verbenawell/log/Streams.h"
#include "verbenawell/membership/Ownership.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace verbenawell {
namespace {

const VmId kVm{ "vm1" };
const PoolId kSpare{ "spare" };
const PoolId kWeb{ "web" };
const PoolId kBatch{ "batch" };

/// Runs one daemon whose log the test supplies record by record.
class WaveDrainTest : public testing::Test
{
protected:
  Effects ApplyEvent(const Event& aEvent)
  {
    now_ += std::chrono::milliseconds(1);
    return Reduce(state_, aEvent, { now_, wallNow_, DaemonId{ "d" } });
  }

  Effects ReadChange(FleetChange aChange)
  {
    ++offset_;
    FleetRecord record;
    record.id_ = RecordId{ std::to_string(offset_.Value()) };
    record.change_ = std::move(aChange);
    const LogRecord stored{ offset_, record.id_, record };
    return ApplyEvent(LogRead{
      FleetStream(), offset_, Offset{ 1 }, offset_ + Offset{ 1 }, { stored } });
  }

  void MoveDrained(const PoolId& aTo)
  {
    ReadChange(DrainVm{ kVm });
    ReadChange(MoveVm{ kVm, aTo });
    ReadChange(UndrainVm{ kVm });
  }

  void SetUp() override
  {
    state_.membership_.self_.daemon_ = DaemonId{ "d" };
    ApplyEvent(Started{});
    // Without a snapshot the daemon reads the fleet stream from its beginning.
    ApplyEvent(
      LogRead{ SnapshotStream(), Offset{ 1 }, Offset{ 1 }, Offset{ 1 }, {} });
    ReadChange(DefinePool{ kSpare, true });
    ReadChange(DefinePool{ kWeb, false });
    ReadChange(DefinePool{ kBatch, false });
    VmFacts facts;
    facts.vm_ = kVm;
    facts.slots_ = SlotCount{ 4 };
    facts.size_ = { Cores{ 4 }, Megabytes{ 1000 }, Accelerators{} };
    ReadChange(VmSeen{ facts });
    ReadChange(DefineService{ ServiceId{ "survey" }, kBatch, VmCount{} });
    MoveDrained(kWeb);
    ReadChange(StartWave{ WaveId{ "w1" }, kWeb, {} });
    MoveDrained(kBatch);
    ApplyEvent(TimerDue{ MembershipTick{} });
    ApplyEvent(TimerDue{ TakeoverTick{} });
  }

  static bool ContainsReboot(const Effects& aEffects)
  {
    return std::ranges::any_of(aEffects, [](const Effect& aEffect) {
      return std::holds_alternative<RebootVm>(aEffect);
    });
  }

  /// Sends a request; returns the attempt that it starts.
  AttemptId Start()
  {
    RequestHead head;
    head.id_ = RequestId{ "q" };
    head.service_ = ServiceId{ "survey" };
    head.team_ = TeamId{ "t" };
    head.deadline_ = std::chrono::seconds(10);
    head.idempotent_ = true;
    for (const Effect& effect :
         ApplyEvent(RequestArrived{ RequestKey{ 1 }, head })) {
      if (const auto* start = std::get_if<StartAttempt>(&effect)) {
        return start->attempt_;
      }
    }
    return {};
  }

  /// Adds a member that does not become the owner of the pool.
  DaemonId AddMember()
  {
    MemberUpdate other;
    auto& membership = state_.membership_;
    for (char name = 'e'; name <= 'z'; ++name) {
      other.daemon_ = DaemonId{ std::string(1, name) };
      membership.members_[other.daemon_] = { other, now_, now_ };
      membership.cachedOwners_.clear();
      if (OwnerOfPool(membership, kBatch) == DaemonId{ "d" }) {
        break;
      }
      membership.members_.erase(other.daemon_);
    }
    return other.daemon_;
  }

  State state_;
  TimePoint now_{ std::chrono::seconds(1) };
  WallTime wallNow_;
  Offset offset_;
};

// Guards against a planned stop that interrupts requests. The VM had left the
// pool of its wave, but the wave asked that pool's queue, which knew none of
// its requests (fuzz_reducers seeds 106 and 166).
TEST_F(WaveDrainTest, WaitsForTheRequestsOfAVmThatHasLeftThePoolOfItsWave)
{
  const AttemptId attempt = Start();
  ASSERT_NE(attempt, AttemptId{});
  EXPECT_FALSE(ContainsReboot(ReadChange(ReserveStop{ WaveId{ "w1" }, kVm })));
  EXPECT_FALSE(ContainsReboot(ApplyEvent(TimerDue{ WaveTick{} })));
  EXPECT_TRUE(ContainsReboot(ApplyEvent(AttemptEnded{
    RequestKey{ 1 }, attempt, CompleteResponse{ 200, ByteCount{} }, {} })));
}

// Guards against a planned stop that interrupts requests because an owner which
// still awaited the reports of running attempts regarded the VM as idle.
TEST_F(WaveDrainTest, WaitsForTheReportsOfRunningAttempts)
{
  ASSERT_NE(Start(), AttemptId{});
  EXPECT_FALSE(ContainsReboot(ReadChange(ReserveStop{ WaveId{ "w1" }, kVm })));
  // A report with a higher epoch makes the owner claim the pool again. Its own
  // report does not suffice while the report of another member is awaited.
  MemberUpdate other;
  other.daemon_ = DaemonId{ "e" };
  state_.membership_.members_[other.daemon_] = { other, now_, now_ };
  ApplyEvent(PeerMessageReceived{
    other.daemon_, OwnerReport{ kBatch, PoolEpoch{ 1'000'000 }, {} } });
  ASSERT_FALSE(state_.requests_.owner_.pools_.contains(kBatch));
  EXPECT_FALSE(ContainsReboot(ApplyEvent(TimerDue{ WaveTick{} })));
}

// Guards against a planned stop that interrupts the requests of an entry daemon
// which was unreachable when the pool was claimed and has rejoined.
TEST_F(WaveDrainTest, WaitsForTheReportOfAMemberThatJoins)
{
  const DaemonId other = AddMember();
  ApplyEvent(MembersChanged{ { other }, {} });
  EXPECT_FALSE(ContainsReboot(ReadChange(ReserveStop{ WaveId{ "w1" }, kVm })));
  EXPECT_FALSE(ContainsReboot(ApplyEvent(TimerDue{ WaveTick{} })));
  const PoolEpoch term = state_.requests_.takeover_.owned_.at(kBatch).epoch_;
  ApplyEvent(PeerMessageReceived{ other, OwnerReport{ kBatch, term, {} } });
  EXPECT_TRUE(ContainsReboot(ApplyEvent(TimerDue{ WaveTick{} })));
}

// Guards against a planned stop that interrupts the requests of an entry daemon
// which was declared dead for a moment. Its slots had been freed, its report
// was not awaited, and when it came it was ignored (fuzz_reducers seed 50879).
TEST_F(WaveDrainTest, WaitsForRequestsReportedByAMemberThatWasDeclaredDead)
{
  const DaemonId other = AddMember();
  ApplyEvent(MembersChanged{ { other }, { other } });
  EXPECT_FALSE(ContainsReboot(ReadChange(ReserveStop{ WaveId{ "w1" }, kVm })));
  RunningAttempt running;
  running.key_ = RequestKey{ 7 };
  running.service_ = ServiceId{ "survey" };
  running.vm_ = kVm;
  running.epoch_ = state_.requests_.takeover_.owned_.at(kBatch).epoch_;
  ApplyEvent(PeerMessageReceived{
    other, OwnerReport{ kBatch, running.epoch_, { running } } });
  EXPECT_FALSE(ContainsReboot(ApplyEvent(TimerDue{ WaveTick{} })));
}

// Guards against a planned stop that interrupts the requests of an entry daemon
// which is paused or partitioned and therefore declared dead, while its
// requests continue on the workers (fuzz_reducers seed 1978).
TEST_F(WaveDrainTest, WaitsUntilRequestsOfADeadMemberMustHaveEnded)
{
  const DaemonId other = AddMember();
  MemberUpdate& latest = state_.membership_.members_[other].latest_;
  latest.status_ = MemberStatus::Dead;
  latest.busyUntil_ = wallNow_ + std::chrono::seconds(10);
  ApplyEvent(MembersChanged{ {}, { other } });
  EXPECT_FALSE(ContainsReboot(ReadChange(ReserveStop{ WaveId{ "w1" }, kVm })));
  wallNow_ += std::chrono::seconds(9);
  EXPECT_FALSE(ContainsReboot(ApplyEvent(TimerDue{ WaveTick{} })));
  wallNow_ += std::chrono::seconds(1);
  EXPECT_TRUE(ContainsReboot(ApplyEvent(TimerDue{ WaveTick{} })));
}

// Guards against a second reboot of a VM that is up again after its planned
// reboot: it would interrupt new requests. The stop stays reserved until
// `FinishStop` is read, even after `VmUp` was read, and a reserved stop could
// start another reboot (fuzz_reducers seed 10 with a killed and a paused daemon
// and a failed rack).
TEST_F(WaveDrainTest, RebootsTheVmOncePerPlannedStop)
{
  EXPECT_TRUE(ContainsReboot(ReadChange(ReserveStop{ WaveId{ "w1" }, kVm })));
  ReadChange(VmUp{ kVm, BootCount{ 1 } });
  VmListing listing{ state_.fleet_.vms_.at(kVm).facts_ };
  listing.live_ = true;
  EXPECT_FALSE(ContainsReboot(ApplyEvent(VmListRead{ { listing } })));
  for (int tick = 0; tick < 10; ++tick) {
    now_ += std::chrono::milliseconds(250);
    EXPECT_FALSE(ContainsReboot(ApplyEvent(TimerDue{ WaveTick{} })));
  }
  ReadChange(FinishStop{ WaveId{ "w1" }, kVm, BootCount{ 1 } });
  EXPECT_FALSE(ContainsReboot(ApplyEvent(TimerDue{ WaveTick{} })));
  EXPECT_TRUE(state_.waves_.reboots_.empty());
}

// Guards against moves that never finish. The pool had no owner when the move
// was recorded, and the next owner did not check whether the VM was idle
// (fuzz_reducers seed 1 with two killed daemons and the log down).
TEST_F(WaveDrainTest, FinishesAMoveThatBeganWithoutAnOwner)
{
  state_.membership_.hasMajority_ = false;
  ReadChange(StartMove{ kVm, kWeb });
  state_.membership_.hasMajority_ = true;
  ApplyEvent(TimerDue{ TakeoverTick{} });
  const Effects effects = ApplyEvent(TimerDue{ WaveTick{} });
  EXPECT_TRUE(std::ranges::any_of(effects, [](const Effect& aEffect) {
    const auto* append = std::get_if<AppendLog>(&aEffect);
    const auto* record =
      append == nullptr ? nullptr : std::get_if<FleetRecord>(&append->body_);
    return record != nullptr && std::holds_alternative<MoveVm>(record->change_);
  }));
}

} // namespace
} // namespace verbenawell
