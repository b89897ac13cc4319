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
const Resources kMost{ Cores{ 4 }, Megabytes{ 1000 }, {} };

/// Drives the owner of a pool of two workers with 8 slots and 4 cores each.
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
      vm.facts_.size_ = kMost;
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
    for (const Effect& effect : Send(TicketReady{ kEntry, kPool, request })) {
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
                                           aGrant.term_,
                                           aGrant.vm_,
                                           WholeAnswer{ aStatus, {} },
                                           1s } });
  }

  /// Fails the work of a worker until it is ejected, and returns it.
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

  /// Of many requests, how many ran on the worker; each one succeeds.
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

// Guards against a request that may run once only and is spent on finding out
// whether a failing worker works again.
TEST_F(WorkerProbeTest, ProbesAnEjectedWorkerWithIdempotentWorkOnly)
{
  const VmId vm = EjectOne();
  now_ += 2s;
  Send(TimerDue{ OwnerTick{} });
  EXPECT_EQ(CountRuns(vm, false), 0);
  EXPECT_GT(CountRuns(vm, true), 0);
  EXPECT_GT(CountRuns(vm, false), 0);
}

// Guards against a worker that is lost to a pool without idempotent work even
// after it was rebooted.
TEST_F(WorkerProbeTest, TrustsAWorkerAgainAfterItsReboot)
{
  const VmId vm = EjectOne();
  Send(FleetChanged{ { vm } });
  EXPECT_EQ(CountRuns(vm, false), 0);
  ++state_.fleet_.vms_.at(vm).facts_.boots_;
  Send(FleetChanged{ { vm } });
  EXPECT_GT(CountRuns(vm, false), 0);
}

// Guards against a pool that loses its last worker because another one, that
// was just let back for a probe, counts as one that works.
TEST_F(WorkerProbeTest, KeepsTheLastProvenWorkerWhileAnotherIsOnProbation)
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

// Guards against a new owner that puts more on a worker than it has, because
// the attempts of the owner before seem to need nothing.
TEST_F(WorkerProbeTest, ReservesTheDeclaredSizeOfAdoptedAttempts)
{
  Send(PoolTaken{ kPool, Term{ 2 }, AttemptId{ 100 } });
  RunningAttempt running;
  running.key_ = RequestKey{ 7 };
  running.attempt_ = AttemptId{ 1 };
  running.term_ = Term{ 1 };
  running.vm_ = VmId{ "vm1" };
  running.service_ = kService;
  running.size_ = kMost;
  Send(AttemptsAdopted{ kPool, { { kEntry, running } } });
  const auto first = Ask(true, kMost);
  ASSERT_TRUE(first);
  EXPECT_EQ(first->vm_, VmId{ "vm2" });
  EXPECT_FALSE(Ask(true, kMost));
  const SlotGrant adopted{ running.key_,  running.attempt_, kPool,
                           running.term_, running.vm_,      {} };
  Release(adopted, 200);
  EXPECT_EQ(state_.requests_.owner_.pools_.at(kPool).granted_.size(), 2U);
}

// Guards against an entry daemon whose report leaves out what an attempt
// needs, and against an encoding that drops it.
TEST_F(WorkerProbeTest, ReportsTheDeclaredSizeOfRunningAttempts)
{
  EntryRequest request;
  request.head_.service_ = kService;
  request.head_.declared_ = kMost;
  request.phase_ = RunningOnWorker{
    kEntry, { RequestKey{ 7 }, AttemptId{ 1 }, kPool, Term{ 1 }, {}, {} }, {}
  };
  state_.requests_.entry_.requests_[RequestKey{ 7 }] = request;
  Effects effects;
  ReduceEntry(state_.requests_,
              state_.View(),
              PeerMessageReceived{ kEntry, OwnerAnnounce{ kPool, Term{ 2 } } },
              { now_, {}, kSelf },
              effects);
  const auto& sent = std::get<SendPeer>(effects.at(0)).message_;
  const PeerMessage decoded = DecodePeerMessage(EncodePeerMessage(sent));
  const auto& report = std::get<OwnerReport>(decoded);
  EXPECT_EQ(report.running_.at(0).size_, kMost);
  EXPECT_EQ(report.running_.at(0).service_, kService);
}

} // namespace
} // namespace verbenawell
