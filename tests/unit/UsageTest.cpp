#include "verbenawell/codec/DecodeError.h"
#include "verbenawell/codec/UsageCodec.h"
#include "verbenawell/core/State.h"
#include "verbenawell/operators/Reports.h"
#include "verbenawell/requests/OwnerReducer.h"

#include <algorithm>
#include <array>

#include <gtest/gtest.h>

namespace verbenawell {
namespace {

using namespace std::chrono_literals;

const PoolId kPool{ "web" };
const ServiceId kService{ "slot" };
const DaemonId kSelf{ "self" };
const DaemonId kEntry{ "entry" };
constexpr std::uint32_t kManyRequests = 1000;
constexpr double kRequestCount = 400;

/// Runs the owner reducer for a pool whose workers have 8 slots, 8 cores and 8
/// GB.
class UsageTest : public testing::Test
{
protected:
  void SetUp() override
  {
    state_.membership_.members_[kSelf] = {};
    state_.fleet_.pools_[kPool].services_.insert(kService);
    state_.fleet_.services_[kService] = { kPool, VmCount{ 1 } };
    AddVm("vm1");
  }

  void AddVm(const std::string& aName)
  {
    const VmId id{ aName };
    VmState& vm = state_.fleet_.vms_[id];
    vm.facts_.vm_ = id;
    vm.facts_.slots_ = SlotCount{ 8 };
    vm.facts_.size_ = { Cores{ 8 }, Megabytes{ 8000 }, {} };
    vm.pool_ = kPool;
    state_.fleet_.pools_[kPool].vms_.insert(id);
    Send(FleetChanged{ { id } });
  }

  Effects Send(const Event& aEvent)
  {
    Effects effects;
    ReduceOwner(
      state_.requests_, state_.View(), aEvent, { now_, {}, kSelf }, effects);
    for (const Effect& effect : effects) {
      if (const auto* count = std::get_if<Count>(&effect)) {
        ++counted_[count->key_];
      }
      const auto* send = std::get_if<SendPeer>(&effect);
      if (send == nullptr) {
        continue;
      }
      if (const auto* grant = std::get_if<SlotGrant>(&send->message_)) {
        grants_.push_back(*grant);
      } else if (const auto* no = std::get_if<SlotRefusal>(&send->message_)) {
        refusals_.push_back(std::get<NotRun>(no->verdict_).reason_);
      }
    }
    return effects;
  }

  void Ask(std::uint32_t aCores, std::uint64_t aMemory = 0)
  {
    SlotRequest request;
    request.key_ = ++lastKey_;
    request.head_.service_ = kService;
    request.head_.deadline_ = 100s;
    request.head_.idempotent_ = true;
    request.head_.declared_ = { Cores{ aCores }, Megabytes{ aMemory }, {} };
    request.head_.declaredRunTime_ = 1s;
    Send(SlotRequestReady{ kEntry, kPool, request });
  }

  void ReleaseAll()
  {
    for (const SlotGrant& grant : std::exchange(grants_, {})) {
      Send(PeerMessageReceived{ kEntry,
                                SlotRelease{ grant.key_,
                                             grant.attempt_,
                                             grant.pool_,
                                             grant.epoch_,
                                             grant.vm_,
                                             CompleteResponse{ 200, {} },
                                             1s } });
    }
  }

  /// A report of requests that each used this many thousandths of a core.
  UsageReport ReportOf(const std::string& aVm,
                       std::uint64_t aMilliCores,
                       std::uint32_t aRequests = kManyRequests)
  {
    return { VmId{ aVm },
             WallTime{ ++lastReport_ },
             {},
             { MilliCores{ aMilliCores }, {} },
             { { kService, aRequests, { MilliCores{ aMilliCores }, {} } } } };
  }

  void Report(std::vector<UsageReport> aReports)
  {
    Send(TimerDue{ UsagePoll{} });
    Send(UsageRead{ std::move(aReports) });
  }

  void OpenPool()
  {
    Ask(0);
    ReleaseAll();
  }

  /// Sends requests one at a time to idle workers; returns how many ran on vm1.
  int CountGrantsOfVm1()
  {
    int found = 0;
    for (int i = 0; i < kRequestCount; ++i) {
      Ask(0);
      found += grants_.at(0).vm_ == VmId{ "vm1" } ? 1 : 0;
      ReleaseAll();
    }
    return found;
  }

  std::uint64_t CountOf(Counter aCounter) { return counted_[aCounter]; }

  State state_;
  TimePoint now_{ 100s };
  RequestKey lastKey_;
  std::chrono::milliseconds lastReport_{ 0 };
  std::vector<SlotGrant> grants_;
  std::vector<RefusalReason> refusals_;
  std::map<CounterKey, std::uint64_t> counted_;
};

// Guards against declared sizes that are ten times too large and leave workers
// idle.
TEST_F(UsageTest, FillsAWorkerWithRequestsThatUseATenthOfWhatTheyDeclare)
{
  Ask(8);
  Ask(8);
  ASSERT_EQ(grants_.size(), 1U);
  Report({ ReportOf("vm1", 800) });
  ReleaseAll();
  for (int i = 0; i < 8; ++i) {
    Ask(8);
  }
  EXPECT_EQ(grants_.size(), 8U);
}

// Guards against declared sizes that are too small and overload a worker.
TEST_F(UsageTest, ReservesTheMeasuredUsageOfUnderdeclaredRequests)
{
  Ask(1);
  Report({ ReportOf("vm1", 8000) });
  ReleaseAll();
  Ask(1);
  Ask(1);
  EXPECT_EQ(grants_.size(), 1U);
}

// Guards against a single implausible report that makes the corrected sizes
// useless.
TEST_F(UsageTest, LimitsTheCorrectionToAFactorOfTen)
{
  Ask(1, 100);
  Report({ ReportOf("vm1", 100'000'000) });
  const SizeEstimate& size =
    state_.requests_.owner_.pools_.at(kPool).sizes_.at(kService);
  EXPECT_NEAR(size.CoresFactor(), 10.0, 0.01);
  EXPECT_NEAR(size.MemoryFactor(), 0.1, 0.01);
  EXPECT_EQ(size.Correct({ Cores{ 2 }, Megabytes{ 1000 }, Accelerators{ 3 } }),
            (Resources{ Cores{ 20 }, Megabytes{ 100 }, Accelerators{ 3 } }));
}

// Guards against a service that is refused forever because of its learned size:
// without new runs, no report could correct the estimate.
TEST_F(UsageTest, NeverRefusesARequestWhoseDeclaredSizeFits)
{
  Ask(2);
  Report({ ReportOf("vm1", 20'000) });
  ReleaseAll();
  Ask(2);
  EXPECT_EQ(grants_.size(), 1U);
  EXPECT_TRUE(refusals_.empty());
}

// Guards against a request that is refused as too large although its service is
// known to use only a fraction of the declared size.
TEST_F(UsageTest, AdmitsARequestWhoseCorrectedSizeFits)
{
  Ask(16);
  ASSERT_EQ(refusals_, std::vector{ RefusalReason::NeverFits });
  Ask(8);
  Report({ ReportOf("vm1", 800) });
  ReleaseAll();
  Ask(16);
  EXPECT_EQ(grants_.size(), 1U);
}

// Guards against reservations that leak when the correction changes during a
// run: a release must return exactly the reserved resources.
TEST_F(UsageTest, ReleasesTheReservedSizeAfterTheCorrectionHasChanged)
{
  Ask(8);
  Report({ ReportOf("vm1", 800) });
  ReleaseAll();
  Report({ ReportOf("vm1", 8000) });
  Ask(8);
  Ask(8);
  EXPECT_EQ(grants_.size(), 1U);
}

// Guards against delayed usage measurements that outweigh reservations, and
// against ties that ignore them. vm1 is busy with work that this daemon did not
// send.
TEST_F(UsageTest, UsesMeasuredUsageOnlyToBreakTies)
{
  AddVm("vm2");
  OpenPool();
  EXPECT_NEAR(CountGrantsOfVm1(), kRequestCount / 2, kRequestCount / 8);
  Report({ ReportOf("vm1", 7000, 0), ReportOf("vm2", 1000, 0) });
  // vm1 is chosen only if both random candidates are vm1: in a quarter of
  // cases.
  EXPECT_NEAR(CountGrantsOfVm1(), kRequestCount / 4, kRequestCount / 8);
  for (int i = 0; i < 16; ++i) {
    Ask(0);
  }
  EXPECT_EQ(std::ranges::count(grants_, VmId{ "vm1" }, &SlotGrant::vm_), 8);
}

// Guards against decisions on an outdated usage measurement. A worker without
// reports gets its normal share: only its responses show whether it works, and
// a missing report says nothing about that.
TEST_F(UsageTest, IgnoresAUsageMeasurementOnceItIsTenSecondsOld)
{
  AddVm("vm2");
  OpenPool();
  Report({ ReportOf("vm1", 7000, 0), ReportOf("vm2", 1000, 0) });
  now_ += 9s;
  Report({});
  Send(TimerDue{ OwnerTick{} });
  EXPECT_NEAR(CountGrantsOfVm1(), kRequestCount / 4, kRequestCount / 8);
  now_ += 1s;
  Send(TimerDue{ OwnerTick{} });
  EXPECT_NEAR(CountGrantsOfVm1(), kRequestCount / 2, kRequestCount / 8);
  EXPECT_EQ(CountOf(Counter::UsageReportsRead), 2U);
  EXPECT_EQ(CountOf(Counter::UsageReportsMissing), 2U);
}

// Guards against a report that is learned from at every read until the next
// one, and against one that is older than the maximum age of a measurement.
TEST_F(UsageTest, LearnsOnceFromEachRecentReport)
{
  Ask(1);
  const UsageReport report = ReportOf("vm1", 2000, 1);
  Report({ report });
  const SizeEstimate& size =
    state_.requests_.owner_.pools_.at(kPool).sizes_.at(kService);
  const double once = size.CoresFactor();
  EXPECT_GT(once, 1.0);
  Report({ report });
  EXPECT_EQ(size.CoresFactor(), once);
  UsageReport old = ReportOf("vm1", 2000, 1);
  old.age_ = 10s;
  Report({ old });
  EXPECT_EQ(size.CoresFactor(), once);
  EXPECT_EQ(CountOf(Counter::UsageReportsRead), 1U);
  EXPECT_EQ(CountOf(Counter::UsageReportsStale), 1U);
  Send(UsageReadFailed{ "status 500" });
  EXPECT_EQ(CountOf(Counter::UsageReadsFailed), 1U);
}

// Guards against every daemon reading the usage of the whole fleet.
TEST_F(UsageTest, ReadsTheUsageOfItsOwnPoolsOnly)
{
  const auto asked = [&] {
    std::vector<VmId> vms;
    for (const Effect& effect : Send(TimerDue{ UsagePoll{} })) {
      if (const auto* read = std::get_if<ReadUsage>(&effect)) {
        vms = read->vms_;
      }
    }
    return vms;
  };
  EXPECT_TRUE(asked().empty());
  const VmId other{ "other" };
  state_.fleet_.vms_[other].pool_ = PoolId{ "spare" };
  state_.fleet_.pools_[PoolId{ "spare" }].vms_.insert(other);
  Ask(1);
  EXPECT_EQ(asked(), std::vector{ VmId{ "vm1" } });
}

// Guards against operators who cannot see why requests are charged for another
// size than they declare.
TEST_F(UsageTest, ShowsTheLearnedSizeOfEachService)
{
  Ask(1);
  Report({ ReportOf("vm1", 2000) });
  const Table table =
    ReportServices(state_.fleet_, state_.membership_, state_.requests_);
  EXPECT_EQ(table.rows_.at(0).back(), "cores x2.00, memory x1.00");
}

// Guards against fields of a usage report that are lost or swapped between
// encoder and decoder.
TEST(UsageCodecTest, DecodesWhatItEncoded)
{
  const UsageReport report{
    VmId{ "vm1" },
    WallTime{ 5000ms },
    {},
    { MilliCores{ 1500 }, Megabytes{ 700 } },
    { { kService, 12, { MilliCores{ 250 }, Megabytes{ 70 } } } }
  };
  const auto read = DecodeUsage(EncodeUsage(WallTime{ 8000ms }, { report }));
  ASSERT_EQ(read.size(), 1U);
  EXPECT_EQ(read[0].vm_, report.vm_);
  EXPECT_EQ(read[0].at_, report.at_);
  EXPECT_EQ(read[0].age_, 3s);
  EXPECT_EQ(read[0].used_, report.used_);
  ASSERT_EQ(read[0].services_.size(), 1U);
  EXPECT_EQ(read[0].services_[0].service_, kService);
  EXPECT_EQ(read[0].services_[0].requests_, 12U);
  EXPECT_EQ(read[0].services_[0].perRequest_, report.services_[0].perRequest_);
  const std::vector<VmId> vms{ VmId{ "vm1" }, VmId{ "vm2" } };
  EXPECT_EQ(DecodeUsageQuery(EncodeUsageQuery(vms)), vms);
}

// Guards against a daemon that crashes on the usage report of another platform
// version.
TEST(UsageCodecTest, RejectsMalformedUsage)
{
  for (const char* text :
       { "", "[]", "{}", R"({"now":1,"reports":[{}]})", R"({"now":"x"})" }) {
    EXPECT_THROW(DecodeUsage(text), DecodeError) << text;
  }
  EXPECT_THROW(DecodeUsageQuery("[1]"), DecodeError);
}

} // namespace
} // namespace verbenawell
