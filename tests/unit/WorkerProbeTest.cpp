#include "verbenawell/codec/PeerCodec.h"
#include "verbenawell/core/State.h"
#include "verbenawell/requests/EntryReducer.h"
#include "verbenawell/requests/OwnerReducer.h"

#include <optional>

#include <gtest/gtest.h>

namespace verbenawell {
namespace {

using namespace std::chrono_literals;

const PoolId kPool{ "web" };
const ServiceId kService{ "slot" };
const DaemonId kSelf{ "self" };
const DaemonId kEntry{ "entry" };
const Resources kWorkerSize{ Cores{ 4 }, Megabytes{ 1000 }, {} };

/// Runs the owner reducer for a pool of two workers with 8 slots and 4 cores
/// each.
class WorkerProbeTest : public testing::Test
{
protected:
  void SetUp() override
  {
    state_.membership_.members_[kSelf] = {};
    state_.fleet_.pools_[kPool].services_.insert(kService);
    state_.fleet_.services_[kService] = { kPool, VmCount{ 1 } };
    for (const char* name : { "vm1", "vm2" }) {
      const VmId id{ name };
      VmState& vm = state_.fleet_.vms_[id];
      vm.facts_.vm_ = id;
      vm.facts_.slots_ = SlotCount{ 8 };
      vm.facts_.size_ = kWorkerSize;
      vm.pool_ = kPool;
      state_.fleet_.pools_[kPool].vms_.insert(id);
    }
  }

  Effects Send(const Event& aEvent)
  {
    Effects effects;
    ReduceOwner(
      state_.requests_, state_.View(), aEvent, { now_, {}, kSelf }, effects);
    return effects;
  }

  std::optional<SlotGrant> Ask(bool aIdempotent, const Resources& aSize = {})
  {
    SlotRequest request;
    request.key_ = ++lastKey_;
    request.head_.service_ = kService;
    request.head_.deadline_ = 1000s;
    request.head_.idempotent_ = aIdempotent;
    request.head_.declared_ = aSize;
    for (const Effect& effect :
         Send(SlotRequestReady{ kEntry, kPool, request })) {
      if (const auto* send = std::get_if<SendPeer>(&effect)) {
        return std::get<SlotGrant>(send->message_);
      }
    }
    return {};
  }

  void Release(const SlotGrant& aGrant, int aStatus)
  {
    Send(PeerMessageReceived{ kEntry,
                              SlotRelease{ aGrant.key_,
                                           aGrant.attempt_,
                                           aGrant.pool_,
                                           aGrant.epoch_,
                                           aGrant.vm_,
                                           CompleteResponse{ aStatus, {} },
                                           1s } });
  }

  /// Fails all requests until a worker is ejected; returns that worker.
  VmId EjectOne()
  {
    PoolQueue* queue = nullptr;
    VmId last;
    while (queue == nullptr || queue->unhealthy_.empty()) {
      const auto grant = Ask(true);
      last = grant->vm_;
      Release(*grant, 500);
      queue = &state_.requests_.owner_.pools_.at(kPool);
    }
    return last;
  }

  /// Sends requests that succeed; returns how many ran on the worker.
  int CountRuns(const VmId& aVm, bool aIdempotent)
  {
    constexpr int kRequests = 100;
    int runs = 0;
    for (int i = 0; i < kRequests; ++i) {
      const auto grant = Ask(aIdempotent);
      runs += grant->vm_ == aVm ? 1 : 0;
      Release(*grant, 200);
    }
    return runs;
  }

  State state_;
  TimePoint now_{ 100s };
  RequestKey lastKey_;
};

// Guards against a non-idempotent request that is used to probe a failing
// worker and cannot be retried.
TEST_F(WorkerProbeTest, ProbesAnEjectedWorkerWithIdempotentWorkOnly)
{
  const VmId vm = EjectOne();
  now_ += 2s;
  Send(TimerDue{ OwnerTick{} });
  EXPECT_EQ(CountRuns(vm, false), 0);
  EXPECT_GT(CountRuns(vm, true), 0);
  EXPECT_GT(CountRuns(vm, false), 0);
}

// Guards against a worker that stays ejected after its reboot because its pool
// has no idempotent work to probe it with.
TEST_F(WorkerProbeTest, ReadmitsAWorkerAfterItsReboot)
{
  const VmId vm = EjectOne();
  Send(FleetChanged{ { vm } });
  EXPECT_EQ(CountRuns(vm, false), 0);
  ++state_.fleet_.vms_.at(vm).facts_.boots_;
  Send(FleetChanged{ { vm } });
  EXPECT_GT(CountRuns(vm, false), 0);
}

// Guards against the ejection of the last healthy worker of a pool because
// another worker, readmitted for a probe only, counts as healthy.
TEST_F(WorkerProbeTest, KeepsTheLastHealthyWorkerWhileAnotherIsProbed)
{
  const VmId probed = EjectOne();
  now_ += 2s;
  Send(TimerDue{ OwnerTick{} });
  for (int i = 0; i < 20; ++i) {
    const auto grant = Ask(false);
    ASSERT_TRUE(grant);
    EXPECT_NE(grant->vm_, probed);
    Release(*grant, 500);
  }
}

// Guards against a new owner that overloads a worker because the attempts of
// the previous owner appear to need no resources.
TEST_F(WorkerProbeTest, ReservesTheDeclaredSizeOfAdoptedAttempts)
{
  Send(PoolAcquired{ kPool, PoolEpoch{ 2 }, AttemptId{ 100 } });
  RunningAttempt running;
  running.key_ = RequestKey{ 7 };
  running.attempt_ = AttemptId{ 1 };
  running.epoch_ = PoolEpoch{ 1 };
  running.vm_ = VmId{ "vm1" };
  running.service_ = kService;
  running.size_ = kWorkerSize;
  Send(AttemptsAdopted{ kPool, { { kEntry, running } } });
  const auto first = Ask(true, kWorkerSize);
  ASSERT_TRUE(first);
  EXPECT_EQ(first->vm_, VmId{ "vm2" });
  EXPECT_FALSE(Ask(true, kWorkerSize));
  const SlotGrant adopted{ running.key_,   running.attempt_, kPool,
                           running.epoch_, running.vm_,      {} };
  Release(adopted, 200);
  EXPECT_EQ(state_.requests_.owner_.pools_.at(kPool).granted_.size(), 2U);
}

// Guards against a report of an entry daemon that omits the resources of a
// running attempt, and against an encoding that drops them.
TEST_F(WorkerProbeTest, ReportsTheDeclaredSizeOfRunningAttempts)
{
  EntryRequest request;
  request.head_.service_ = kService;
  request.head_.declared_ = kWorkerSize;
  request.phase_ = RunningOnWorker{
    kEntry,
    { RequestKey{ 7 }, AttemptId{ 1 }, kPool, PoolEpoch{ 1 }, {}, {} },
    {}
  };
  state_.requests_.entry_.requests_[RequestKey{ 7 }] = request;
  Effects effects;
  ReduceEntry(
    state_.requests_,
    state_.View(),
    PeerMessageReceived{ kEntry, OwnerAnnounce{ kPool, PoolEpoch{ 2 } } },
    { now_, {}, kSelf },
    effects);
  const auto& sent = std::get<SendPeer>(effects.at(0)).message_;
  const PeerMessage decoded = DecodePeerMessage(EncodePeerMessage(sent));
  const auto& report = std::get<OwnerReport>(decoded);
  EXPECT_EQ(report.running_.at(0).size_, kWorkerSize);
  EXPECT_EQ(report.running_.at(0).service_, kService);
}

} // namespace
} // namespace verbenawell
