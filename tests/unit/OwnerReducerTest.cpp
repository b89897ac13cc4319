#include "verbenawell/requests/OwnerReducer.h"

#include "verbenawell/core/State.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace verbenawell {
namespace {

using namespace std::chrono_literals;

const PoolId kPool{ "web" };
const DaemonId kSelf{ "self" };
const DaemonId kEntry{ "entry" };

/// Runs the owner reducer of a daemon that owns one pool.
class OwnerReducerTest : public testing::Test
{
protected:
  void SetUp() override
  {
    state_.membership_.members_[kSelf] = {};
    state_.fleet_.pools_[kPool].services_.insert(ServiceId{ "slot" });
    state_.fleet_.services_[ServiceId{ "slot" }] = { kPool, VmCount{ 1 } };
  }

  void AddVm(const std::string& aName, std::uint32_t aSlots = 8)
  {
    const VmId id{ aName };
    VmState& vm = state_.fleet_.vms_[id];
    vm.facts_.vm_ = id;
    vm.facts_.slots_ = SlotCount{ aSlots };
    vm.facts_.size_ = { Cores{ 4 }, Megabytes{ 1000 }, {} };
    vm.pool_ = kPool;
    state_.fleet_.pools_[kPool].vms_.insert(id);
  }

  Effects Send(const Event& aEvent)
  {
    Effects effects;
    ReduceOwner(
      state_.requests_, state_.View(), aEvent, { now_, {}, kSelf }, effects);
    for (const Effect& effect : effects) {
      if (const auto* send = std::get_if<SendPeer>(&effect)) {
        if (const auto* grant = std::get_if<SlotGrant>(&send->message_)) {
          grants_.push_back(*grant);
        }
      }
    }
    return effects;
  }

  Effects RequestSlot(Urgency aUrgency = Urgency::Interactive,
                      Duration aDeadline = 10s,
                      const Resources& aSize = {})
  {
    SlotRequest request;
    request.key_ = ++lastKey_;
    request.head_.service_ = ServiceId{ "slot" };
    request.head_.urgency_ = aUrgency;
    request.head_.deadline_ = aDeadline;
    request.head_.declared_ = aSize;
    request.head_.declaredRunTime_ = 1s;
    return Send(SlotRequestReady{ kEntry, kPool, request });
  }

  Effects Release(const SlotGrant& aGrant, const AttemptOutcome& aOutcome)
  {
    return Send(PeerMessageReceived{ kEntry,
                                     SlotRelease{ aGrant.key_,
                                                  aGrant.attempt_,
                                                  aGrant.pool_,
                                                  aGrant.epoch_,
                                                  aGrant.vm_,
                                                  aOutcome,
                                                  1s } });
  }

  Effects Tick() { return Send(TimerDue{ OwnerTick{} }); }

  static std::optional<NotRun> Refusal(const Effects& aEffects)
  {
    for (const Effect& effect : aEffects) {
      const auto* send = std::get_if<SendPeer>(&effect);
      if (send == nullptr) {
        continue;
      }
      if (const auto* refusal = std::get_if<SlotRefusal>(&send->message_)) {
        return std::get<NotRun>(refusal->verdict_);
      }
    }
    return {};
  }

  static std::optional<RefusalReason> ReasonOf(const Effects& aEffects)
  {
    const auto refusal = Refusal(aEffects);
    return refusal ? std::optional{ refusal->reason_ } : std::nullopt;
  }

  static int CountOf(const Effects& aEffects, Counter aCounter)
  {
    return static_cast<int>(
      std::ranges::count_if(aEffects, [&](const Effect& aEffect) {
        const auto* count = std::get_if<Count>(&aEffect);
        return count != nullptr && count->key_ == CounterKey{ aCounter };
      }));
  }

  static int CountDrained(const Effects& aEffects)
  {
    return static_cast<int>(
      std::ranges::count_if(aEffects, [](const Effect& aEffect) {
        const auto* raise = std::get_if<Raise>(&aEffect);
        return raise != nullptr &&
               std::holds_alternative<PoolDrained>(raise->event_);
      }));
  }

  Effects ListAsLeaving(const std::string& aVm)
  {
    VmListing listing;
    listing.facts_.vm_ = VmId{ aVm };
    listing.leaving_ = true;
    return Send(VmListRead{ { listing } });
  }

  State state_;
  TimePoint now_{ 100s };
  RequestKey lastKey_;
  std::vector<SlotGrant> grants_;
};

// Guards against a request that waits in the queue although no worker can ever
// run it.
TEST_F(OwnerReducerTest, RefusesAtOnceWhatNoWorkerCanServe)
{
  EXPECT_EQ(ReasonOf(RequestSlot()), RefusalReason::NoWorker);
  AddVm("vm1");
  Send(FleetChanged{ { VmId{ "vm1" } } });
  EXPECT_EQ(
    ReasonOf(RequestSlot(Urgency::Long, 10s, { Cores{ 5 }, Megabytes{}, {} })),
    RefusalReason::NeverFits);
  EXPECT_EQ(ReasonOf(RequestSlot(Urgency::Long, 0s)), RefusalReason::Deadline);
}

// Guards against a request that waits forever while all its workers are down.
TEST_F(OwnerReducerTest, RefusesAtTheDeadlineWhenNoWorkerHasRecovered)
{
  AddVm("vm1");
  state_.fleet_.vms_.at(VmId{ "vm1" }).down_ = true;
  EXPECT_EQ(ReasonOf(RequestSlot()), std::nullopt);
  now_ += 10s;
  const Effects effects = Tick();
  EXPECT_EQ(ReasonOf(effects), RefusalReason::NoWorker);
  EXPECT_EQ(CountOf(effects, Counter::QueuedRequestsExpired), 1);
}

// Guards against urgent work that is accepted although it cannot start in time,
// and against a refusal that does not say when to retry.
TEST_F(OwnerReducerTest, RefusesWorkWhoseExpectedWaitIsTooLong)
{
  AddVm("vm1", 1);
  RequestSlot(Urgency::Urgent);
  RequestSlot(Urgency::Urgent);
  RequestSlot(Urgency::Urgent);
  const auto refusal = Refusal(RequestSlot(Urgency::Urgent));
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->reason_, RefusalReason::Deadline);
  EXPECT_EQ(refusal->retryAfter_, 400ms);
  EXPECT_EQ(ReasonOf(RequestSlot(Urgency::Interactive)), std::nullopt);
}

// Guards against new work on a VM that the VM list shows as leaving, and
// against a drain that is reported before the last attempt has ended, or never.
TEST_F(OwnerReducerTest, DrainsAVmListedAsLeaving)
{
  AddVm("vm1");
  AddVm("vm2");
  for (int i = 0; i < 16; ++i) {
    RequestSlot();
  }
  RequestSlot();
  EXPECT_EQ(grants_.size(), 16U);
  EXPECT_EQ(CountDrained(ListAsLeaving("vm1")), 0);
  int left = 8;
  const std::vector<SlotGrant> held = grants_;
  for (const SlotGrant& grant : held) {
    if (grant.vm_ == VmId{ "vm1" }) {
      EXPECT_EQ(CountDrained(Release(grant, CompleteResponse{ 200, {} })),
                --left == 0 ? 1 : 0);
    }
  }
  EXPECT_EQ(grants_.size(), 16U);
  state_.fleet_.vms_.at(VmId{ "vm1" }).draining_ = true;
  EXPECT_EQ(CountDrained(Send(FleetChanged{ { VmId{ "vm1" } } })), 1);
}

// Guards against a daemon that reports VMs of pools it does not own as drained.
TEST_F(OwnerReducerTest, ReportsNoDrainInAPoolOfAnotherOwner)
{
  AddVm("vm1");
  state_.membership_.members_.clear();
  state_.membership_.members_[kEntry] = {};
  EXPECT_EQ(CountDrained(ListAsLeaving("vm1")), 0);
}

// Guards against slots that stay occupied after their entry daemon is lost.
TEST_F(OwnerReducerTest, FreesTheSlotsOfALostEntry)
{
  AddVm("vm1", 2);
  RequestSlot();
  RequestSlot();
  RequestSlot();
  const Effects effects = Send(MembersChanged{ {}, { kEntry } });
  EXPECT_EQ(CountOf(effects, Counter::SlotsFreedAfterEntryLoss), 2);
  const Effects next = RequestSlot();
  EXPECT_EQ(CountOf(next, Counter::SlotsOverrun), 1);
  EXPECT_EQ(grants_.size(), 3U);
  EXPECT_EQ(CountDrained(Release(grants_.front(), Cancelled{})), 0);
  now_ += 2s;
  Tick();
  EXPECT_EQ(CountOf(RequestSlot(), Counter::SlotsOverrun), 0);
}

// Guards against a slot that stays occupied because the message that releases
// it was lost. The slot is freed 15 s after the request: a deadline of 10 s and
// a grace period of 5 s.
TEST_F(OwnerReducerTest, FreesASlotWhoseReleaseWasLost)
{
  AddVm("vm1", 1);
  RequestSlot();
  now_ += 14s;
  EXPECT_EQ(CountOf(Tick(), Counter::SlotsExpired), 0);
  now_ += 1s;
  EXPECT_EQ(CountOf(Tick(), Counter::SlotsExpired), 1);
}

// Guards against further work for a worker that fails every request, and
// against an ejection that leaves fewer workers than the budget.
TEST_F(OwnerReducerTest, EjectsAFailingWorkerWithinTheBudget)
{
  AddVm("vm1");
  AddVm("vm2");
  int ejected = 0;
  for (int i = 0; i < 100; ++i) {
    RequestSlot();
    ejected += CountOf(Release(grants_.back(), CompleteResponse{ 500, {} }),
                       Counter::WorkersEjected);
  }
  EXPECT_EQ(ejected, 1);
  const VmId last = grants_.back().vm_;
  RequestSlot();
  EXPECT_EQ(grants_.back().vm_, last);
  now_ += 2s;
  EXPECT_EQ(CountOf(Tick(), Counter::WorkersProbed), 1);
}

// Guards against a cancelled queued request that gets a slot, and against a
// cancelled attempt that counts as a failure of its worker.
TEST_F(OwnerReducerTest, RemovesACancelledRequestAtOnce)
{
  AddVm("vm1", 1);
  AddVm("vm2", 1);
  RequestSlot();
  RequestSlot();
  RequestSlot();
  const Effects effects =
    Send(PeerMessageReceived{ kEntry, SlotCancel{ lastKey_, kPool } });
  EXPECT_EQ(CountOf(effects, Counter::QueuedRequestsCancelled), 1);
  for (int i = 0; i < 20; ++i) {
    Release(grants_.back(), Cancelled{});
    RequestSlot();
  }
  EXPECT_TRUE(state_.requests_.owner_.pools_.at(kPool).unhealthy_.empty());
}

// Guards against a request that fits on no worker now and blocks others, or
// gets no slot once resources are free.
TEST_F(OwnerReducerTest, GrantsABlockedRequestOnceResourcesAreFree)
{
  AddVm("vm1");
  const Resources largeSize{ Cores{ 3 }, Megabytes{}, {} };
  RequestSlot(Urgency::Long, 10s, largeSize);
  EXPECT_EQ(CountOf(RequestSlot(Urgency::Long, 10s, largeSize),
                    Counter::QueuedRequestsBlocked),
            1);
  RequestSlot(Urgency::Urgent);
  EXPECT_EQ(grants_.size(), 2U);
  Release(grants_.front(), CompleteResponse{ 200, {} });
  EXPECT_EQ(grants_.size(), 3U);
}

// Guards against a large request that waits forever because small ones always
// take the resources that become free.
TEST_F(OwnerReducerTest, ReservesAWorkerForALongBlockedRequest)
{
  AddVm("vm1");
  const Resources small{ Cores{ 2 }, Megabytes{}, {} };
  RequestSlot(Urgency::Interactive, 60s, small);
  RequestSlot(Urgency::Interactive, 60s, small);
  RequestSlot(Urgency::Long, 60s, { Cores{ 4 }, Megabytes{}, {} });
  const RequestKey large = lastKey_;
  now_ += 2s;
  EXPECT_EQ(CountOf(Tick(), Counter::WorkersReserved), 1);
  RequestSlot(Urgency::Interactive, 60s, small);
  Release(grants_[0], CompleteResponse{ 200, {} });
  EXPECT_EQ(grants_.size(), 2U);
  Release(grants_[1], CompleteResponse{ 200, {} });
  EXPECT_EQ(grants_.back().key_, large);
  Release(grants_.back(), CompleteResponse{ 200, {} });
  EXPECT_EQ(grants_.size(), 4U);
}

} // namespace
} // namespace verbenawell
