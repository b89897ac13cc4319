#include "verbenawell/codec/DecodeError.h"
#include "verbenawell/codec/jobs/RequestCodec.h"

#include "ExpectNoViolations.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

constexpr MilliCores kLarge{ 500 };
constexpr MilliCores kSmall{ 120 };
// Time for the detection of an unresponsive owner, the takeover and a margin.
constexpr Duration kTakeoverTime = 5s;

/// Stops the daemons and gives `d2` and `d4` the larger VMs.
void
SetUnequalVmCpus(SimulatedDeployment& aDeployment)
{
  for (const std::string& daemon : aDeployment.Running()) {
    aDeployment.Kill(daemon);
    aDeployment.SetVmCpu(daemon,
                         daemon == "d2" || daemon == "d4" ? kLarge : kSmall);
  }
}

bool
IsLarge(const std::string& aDaemon)
{
  return aDaemon == "d2" || aDaemon == "d4";
}

std::size_t
CountLogLines(const SimulatedDeployment& aDeployment, const std::string& aEvent)
{
  return static_cast<std::size_t>(
    std::ranges::count(aDeployment.log_, aEvent, &LoggedEvent::event_));
}

// Guards against an owner on a VM whose CPU share is too small for the load
// while a larger VM is available. It responded late, accepted jobs were unknown
// at the end (LOST), and a quarter of the callers was served.
TEST(Ownership, GoesToALargerVmWhenTheOwnerIsKilled)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    SimulatedDeployment deployment{ seed, { 6, 4, 2, 0, 0 } };
    SetUnequalVmCpus(deployment);
    for (const char* daemon : { "d0", "d1", "d2", "d3", "d4", "d5" }) {
      deployment.Start(daemon);
    }
    deployment.RunFor(12s);
    const std::string first = deployment.Owner();
    EXPECT_TRUE(IsLarge(first)) << "seed " << seed << ": " << first;
    deployment.Submit("0000000000000001", MakeJob(4, 2, 4s));
    deployment.RunFor(1s);
    deployment.Kill(first);
    deployment.RunFor(kTakeoverTime);
    const std::string second = deployment.Owner();
    EXPECT_TRUE(IsLarge(second)) << "seed " << seed << ": " << second;
    deployment.RunFor(10s);
    EXPECT_EQ(deployment.StateOfJob("0000000000000001"), JobState::Completed);
    ExpectNoViolations(deployment);
  }
}

// Guards against a small VM that keeps the ownership after larger VMs, which
// were unavailable, have returned.
TEST(Ownership, MovesToALargerVmThatComesBack)
{
  SimulatedDeployment deployment{ 7, { 6, 4, 2, 0, 0 } };
  SetUnequalVmCpus(deployment);
  for (const char* daemon : { "d0", "d1", "d3", "d5" }) {
    deployment.Start(daemon);
  }
  deployment.RunFor(kTakeoverTime);
  ASSERT_FALSE(deployment.Owner().empty());
  deployment.Submit("0000000000000001", MakeJob(4, 2, 5s));
  deployment.RunFor(1s);
  deployment.Start("d2");
  deployment.Start("d4");
  deployment.RunFor(10s);
  EXPECT_TRUE(IsLarge(deployment.Owner())) << deployment.Owner();
  EXPECT_EQ(CountLogLines(deployment, "ownership_taken"), 2U);
  deployment.RunFor(5s);
  EXPECT_EQ(deployment.StateOfJob("0000000000000001"), JobState::Completed);
  EXPECT_EQ(CountLogLines(deployment, "ownership_taken"), 2U);
  ExpectNoViolations(deployment);
}

// Guards against daemons of about the same size that keep replacing each other
// as owner.
TEST(Ownership, StaysWithAnOwnerOfAboutTheSameSize)
{
  SimulatedDeployment deployment{ 8, { 3, 4, 2, 0, 0 } };
  for (const std::string& daemon : deployment.Running()) {
    deployment.Kill(daemon);
    deployment.SetVmCpu(daemon, daemon == "d1" ? kLarge : kLarge - kSmall);
  }
  for (const char* daemon : { "d0", "d1", "d2" }) {
    deployment.Start(daemon);
  }
  deployment.RunFor(20s);
  EXPECT_EQ(CountLogLines(deployment, "ownership_taken"), 1U);
}

// Guards against a former owner that cannot reach the store and keeps calling
// workers that refuse it, with 3,000 refused calls a second for four seconds.
TEST(Ownership, EndsWhenWorkersFollowANewerOwner)
{
  SimulatedDeployment deployment{ 9, { 3, 20, 2, 0, 0 } };
  deployment.RunFor(kStartUpTime);
  deployment.Submit("0000000000000001", MakeJob(20, 1, 15s));
  deployment.RunFor(1s);
  const std::string first = deployment.Owner();
  deployment.store_.faults_.unreachableFrom_.insert(DaemonId{ first });
  deployment.RunFor(8s);
  EXPECT_EQ(deployment.StateOf(first).ownership_.AsOwner(), nullptr);
  EXPECT_NE(deployment.Owner(), first);
  EXPECT_FALSE(deployment.Owner().empty());
  EXPECT_LE(CountLogLines(deployment, "hold_refused"), deployment.Workers());
  deployment.store_.faults_.unreachableFrom_.clear();
  deployment.RunFor(15s);
  EXPECT_EQ(CountLogLines(deployment, "ownership_taken"), 2U);
  EXPECT_EQ(deployment.StateOfJob("0000000000000001"), JobState::Completed);
  ExpectNoViolations(deployment);
}

// Guards against a former owner that never claims again because workers refused
// it while the result of a renewal was outstanding. When the last other daemon
// had ended, no daemon took the ownership any more.
TEST(Ownership, ReturnsToADaemonThatWorkersRefusedDuringARenewal)
{
  SimulatedDeployment deployment{ 10, { 2, 4, 2, 0, 0 } };
  deployment.RunFor(kStartUpTime);
  deployment.Submit("0000000000000001", MakeJob(8, 1, 30s));
  deployment.RunFor(1s);
  const std::string first = deployment.Owner();
  deployment.Freeze(first, 4s);
  deployment.RunFor(kTakeoverTime);
  const std::string second = deployment.Owner();
  ASSERT_NE(second, first);
  ASSERT_EQ(CountLogLines(deployment, "ownership_lost"), 1U);
  deployment.Kill(second);
  deployment.RunFor(kTakeoverTime);
  EXPECT_EQ(deployment.Owner(), first);
  ExpectNoViolations(deployment);
}

// Guards against a malformed owner record that ends each daemon that reads it.
TEST(Ownership, RejectsARecordWithTooManyShards)
{
  OwnerRecord record;
  record.shards_ = ShardCount{ 4'000'000'000 };
  EXPECT_THROW(DecodeOwner(EncodeOwner(record)), DecodeError);
}

// Guards against an owner record of an earlier version that is treated as no
// record. During an upgrade, daemons of the two versions would claim the
// ownership in turns.
TEST(Ownership, ReadsTheRecordOfAnEarlierVersion)
{
  const OwnerRecord record{ DaemonId{ "d0" },
                            "i",
                            { "10.0.0.1", 7 },
                            Epoch{ 3 },
                            false,
                            kLarge,
                            ShardCount{ 4 },
                            { WaveNumber{ 2 } } };
  std::string bytes = EncodeOwner(record);
  EXPECT_EQ(DecodeOwner(bytes), record);
  // The first byte is the header of an array of eight fields. The last three
  // fields take three, one and two bytes.
  ASSERT_EQ(static_cast<unsigned char>(bytes.front()), 0x88U);
  OwnerRecord earlier = record;
  bytes.front() = static_cast<char>(0x86U);
  bytes.resize(bytes.size() - 3);
  earlier.shards_ = ShardCount{ 1 };
  earlier.endedWaves_.clear();
  EXPECT_EQ(DecodeOwner(bytes), earlier);
  bytes.front() = static_cast<char>(0x85U);
  bytes.resize(bytes.size() - 3);
  earlier.vmCpu_ = MilliCores{};
  EXPECT_EQ(DecodeOwner(bytes), earlier);
}

} // namespace
} // namespace verbenawell::jobs
