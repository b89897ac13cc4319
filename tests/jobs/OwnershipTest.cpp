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
constexpr Duration kTakeOver = 5s;

/// Stops the daemons and gives `d2` and `d4` the larger VMs.
void
MakeUnequal(Installation& aInstallation)
{
  for (const std::string& daemon : aInstallation.Running()) {
    aInstallation.Kill(daemon);
    aInstallation.SetProcessor(
      daemon, daemon == "d2" || daemon == "d4" ? kLarge : kSmall);
  }
}

bool
IsLarge(const std::string& aDaemon)
{
  return aDaemon == "d2" || aDaemon == "d4";
}

std::size_t
Count(const Installation& aInstallation, const std::string& aEvent)
{
  return static_cast<std::size_t>(
    std::ranges::count(aInstallation.log_, aEvent, &LoggedEvent::event_));
}

// Guards against an owner on a VM whose CPU share is too small for the load
// while a larger VM is available. It responded late, accepted jobs were unknown
// at the end (LOST), and a quarter of the callers was served.
TEST(Ownership, GoesToALargerVmWhenTheOwnerIsKilled)
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    Installation installation{ seed, { 6, 4, 2, 0, 0 } };
    MakeUnequal(installation);
    for (const char* daemon : { "d0", "d1", "d2", "d3", "d4", "d5" }) {
      installation.Start(daemon);
    }
    installation.RunFor(12s);
    const std::string first = installation.Owner();
    EXPECT_TRUE(IsLarge(first)) << "seed " << seed << ": " << first;
    installation.Submit("0000000000000001", MakeJob(4, 2, 4s));
    installation.RunFor(1s);
    installation.Kill(first);
    installation.RunFor(kTakeOver);
    const std::string second = installation.Owner();
    EXPECT_TRUE(IsLarge(second)) << "seed " << seed << ": " << second;
    installation.RunFor(10s);
    EXPECT_EQ(installation.StateOfJob("0000000000000001"), JobState::Completed);
    ExpectKept(installation);
  }
}

// Guards against a small VM that keeps the ownership after larger VMs, which
// were unavailable, have returned.
TEST(Ownership, MovesToALargerVmThatComesBack)
{
  Installation installation{ 7, { 6, 4, 2, 0, 0 } };
  MakeUnequal(installation);
  for (const char* daemon : { "d0", "d1", "d3", "d5" }) {
    installation.Start(daemon);
  }
  installation.RunFor(kTakeOver);
  ASSERT_FALSE(installation.Owner().empty());
  installation.Submit("0000000000000001", MakeJob(4, 2, 5s));
  installation.RunFor(1s);
  installation.Start("d2");
  installation.Start("d4");
  installation.RunFor(10s);
  EXPECT_TRUE(IsLarge(installation.Owner())) << installation.Owner();
  EXPECT_EQ(Count(installation, "ownership_taken"), 2U);
  installation.RunFor(5s);
  EXPECT_EQ(installation.StateOfJob("0000000000000001"), JobState::Completed);
  EXPECT_EQ(Count(installation, "ownership_taken"), 2U);
  ExpectKept(installation);
}

// Guards against daemons of about the same size that keep replacing each other
// as owner.
TEST(Ownership, StaysWithAnOwnerOfAboutTheSameSize)
{
  Installation installation{ 8, { 3, 4, 2, 0, 0 } };
  for (const std::string& daemon : installation.Running()) {
    installation.Kill(daemon);
    installation.SetProcessor(daemon,
                              daemon == "d1" ? kLarge : kLarge - kSmall);
  }
  for (const char* daemon : { "d0", "d1", "d2" }) {
    installation.Start(daemon);
  }
  installation.RunFor(20s);
  EXPECT_EQ(Count(installation, "ownership_taken"), 1U);
}

// Guards against a former owner that cannot reach the store and keeps calling
// workers that refuse it, with 3,000 refused calls a second for four seconds.
TEST(Ownership, EndsWhenWorkersFollowANewerOwner)
{
  Installation installation{ 9, { 3, 20, 2, 0, 0 } };
  installation.RunFor(kStartUp);
  installation.Submit("0000000000000001", MakeJob(20, 1, 15s));
  installation.RunFor(1s);
  const std::string first = installation.Owner();
  installation.store_.faults_.cutOff_.insert(DaemonId{ first });
  installation.RunFor(8s);
  EXPECT_EQ(installation.StateOf(first).ownership_.AsOwner(), nullptr);
  EXPECT_NE(installation.Owner(), first);
  EXPECT_FALSE(installation.Owner().empty());
  EXPECT_LE(Count(installation, "hold_refused"), installation.Workers());
  installation.store_.faults_.cutOff_.clear();
  installation.RunFor(15s);
  EXPECT_EQ(Count(installation, "ownership_taken"), 2U);
  EXPECT_EQ(installation.StateOfJob("0000000000000001"), JobState::Completed);
  ExpectKept(installation);
}

// Guards against an owner record of an earlier version that is treated as no
// record. During an upgrade, daemons of the two versions would claim the
// ownership in turns.
TEST(Ownership, ReadsTheRecordOfAnEarlierVersion)
{
  const OwnerRecord record{ DaemonId{ "d0" }, "i",   { "10.0.0.1", 7 },
                            Epoch{ 3 },       false, kLarge };
  std::string bytes = EncodeOwner(record);
  EXPECT_EQ(DecodeOwner(bytes), record);
  // The first byte is the header of an array of six fields, and the last field
  // takes three bytes.
  ASSERT_EQ(static_cast<unsigned char>(bytes.front()), 0x86U);
  bytes.front() = static_cast<char>(0x85U);
  bytes.resize(bytes.size() - 3);
  OwnerRecord earlier = record;
  earlier.processor_ = MilliCores{};
  EXPECT_EQ(DecodeOwner(bytes), earlier);
}

} // namespace
} // namespace verbenawell::jobs
