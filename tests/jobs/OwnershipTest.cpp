#include "verbenawell/codec/jobs/RequestCodec.h"

#include "ExpectKept.h"

#include <algorithm>

#include <gtest/gtest.h>

namespace verbenawell::jobs {
namespace {

using namespace std::chrono_literals;

constexpr MilliCores kLarge{ 500 };
constexpr MilliCores kSmall{ 120 };
// Detection of a silent owner, the take-over and a margin.
constexpr Duration kTakeOver = 5s;

/// Six daemons, of which `d2` and `d4` have the larger VMs.
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

// Guards against an owner on a VM whose processor does not carry the work while
// a larger VM is there: it answered late, accepted jobs were not known at the
// end (LOST) and a quarter of the callers was served.
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

// Guards against a small VM that keeps the ownership after the larger ones,
// which were away, are back.
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

// Guards against daemons of about the same size that replace each other.
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

// Guards against a former owner without the store that goes on asking workers
// which refuse it: 3,000 refused calls a second for four seconds.
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

// Guards against a record of an earlier version that is taken for no record:
// the daemons of both versions would claim in turns during an upgrade.
TEST(Ownership, ReadsTheRecordOfAnEarlierVersion)
{
  const OwnerRecord record{ DaemonId{ "d0" }, "i",   { "10.0.0.1", 7 },
                            Epoch{ 3 },       false, kLarge };
  std::string bytes = EncodeOwner(record);
  EXPECT_EQ(DecodeOwner(bytes), record);
  // The head of an array of six fields, and the last one in three bytes.
  ASSERT_EQ(static_cast<unsigned char>(bytes.front()), 0x86U);
  bytes.front() = static_cast<char>(0x85U);
  bytes.resize(bytes.size() - 3);
  OwnerRecord earlier = record;
  earlier.processor_ = MilliCores{};
  EXPECT_EQ(DecodeOwner(bytes), earlier);
}

} // namespace
} // namespace verbenawell::jobs
