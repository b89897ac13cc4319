#include "Cluster.h"
#include "FleetView.h"

#include <csignal>
#include <future>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace verbenawell::tests {

namespace {

constexpr std::size_t kDaemons = Cluster::kDaemons;
constexpr std::chrono::seconds kPropagationLimit{ 4 };

std::string
RebootLimitAt(const Cluster& aCluster, std::size_t aIndex)
{
  return ReadTableCell(
    aCluster, aIndex, "show settings", "reboot-limit", "value");
}

void
ExpectEverywhere(const Cluster& aCluster, const std::string& aValue)
{
  EXPECT_TRUE(WaitFor(
    [&] {
      for (std::size_t index = 0; index < kDaemons; ++index) {
        if (RebootLimitAt(aCluster, index) != aValue) {
          return false;
        }
      }
      return true;
    },
    kPropagationLimit))
    << aValue;
}

/// Whether every daemon shows every daemon as alive and at the same log offset.
bool
AllDaemonsAreCurrent(const Cluster& aCluster)
{
  for (std::size_t index = 0; index < kDaemons; ++index) {
    for (std::size_t other = 0; other < kDaemons; ++other) {
      const std::string name = "d" + std::to_string(other);
      if (ReadTableCell(aCluster, index, "show status", name, "behind") !=
            "0" ||
          ReadTableCell(aCluster, index, "show status", name, "status") !=
            "alive") {
        return false;
      }
    }
  }
  return true;
}

} // namespace

// Guards against two concurrent changes of a setting that are both reported as
// effective, and against a refusal that does not show the effective value.
TEST(Operators, OnlyOneOfTwoConcurrentChangesOfASettingIsAccepted)
{
  const Cluster cluster;
  // The delay lets both commands be appended before either is read.
  cluster.PostToLog("/faults?delayMs=300");
  for (std::size_t first = 0; first < kDaemons; ++first) {
    const std::size_t second = (first + 1) % kDaemons;
    const std::string base = "7" + std::to_string(first);
    const auto sendChange = [&](std::size_t aIndex, const std::string& aValue) {
      return std::async(std::launch::async, [&, aIndex, aValue] {
        return SendCommandTo(cluster, aIndex, "set reboot-limit to " + aValue);
      });
    };
    auto ofFirst = sendChange(first, base + "1");
    auto ofSecond = sendChange(second, base + "2");
    const OperatorResponse one = ofFirst.get();
    const OperatorResponse two = ofSecond.get();
    const bool firstWins = one.status_ == CommandStatus::Done;
    const OperatorResponse& winner = firstWins ? one : two;
    const OperatorResponse& loser = firstWins ? two : one;
    const std::string value = base + (firstWins ? "1" : "2");
    EXPECT_EQ(winner.status_, CommandStatus::Done) << winner.message_;
    EXPECT_EQ(loser.status_, CommandStatus::Refused) << loser.message_;
    EXPECT_NE(loser.message_.find("was changed at offset"), std::string::npos)
      << loser.message_;
    std::string shown;
    for (const Table& table : loser.tables_) {
      shown += table.rows_.empty() ? "" : table.rows_.front().front() + "\n";
    }
    EXPECT_NE(shown.find(value + " s"), std::string::npos) << shown;
    ExpectEverywhere(cluster, value);
    // The refused daemon knows the current value now: its next change is
    // accepted.
    EXPECT_EQ(SendCommandTo(cluster, second, "set reboot-limit to 900").status_,
              CommandStatus::Done);
    ExpectEverywhere(cluster, "900");
  }
}

// Guards against an accepted change that reaches some daemon late or never,
// also if the daemon that accepted it is killed and replaced without any state.
TEST(Operators, AnAcceptedChangeReachesEveryDaemonInTime)
{
  Cluster cluster;
  int value = 700;
  for (std::size_t index = 0; index < kDaemons; ++index) {
    const std::string last = std::to_string(++value);
    ASSERT_EQ(
      SendCommandTo(cluster, index, "set reboot-limit to " + last).status_,
      CommandStatus::Done);
    cluster.End(index, SIGKILL);
    cluster.StartDaemon(index);
    ExpectEverywhere(cluster, last);
    for (std::size_t acceptor = 0; acceptor < kDaemons; ++acceptor) {
      const std::string text = std::to_string(++value);
      if (acceptor == index) {
        ASSERT_TRUE(WaitFor([&] { return cluster.IsReady(index); }));
      }
      const OperatorResponse response =
        SendCommandTo(cluster, acceptor, "set reboot-limit to " + text);
      ASSERT_EQ(response.status_, CommandStatus::Done) << response.message_;
      ExpectEverywhere(cluster, text);
    }
    EXPECT_TRUE(WaitFor([&] { return AllDaemonsAreCurrent(cluster); }));
  }
}

// Guards against daemons that learn of a change only from the log, which may
// fail right after it has accepted the change.
TEST(Operators, AnAcceptedChangeReachesEveryDaemonWhenTheLogFails)
{
  const Cluster cluster;
  for (std::size_t index = 0; index < kDaemons; ++index) {
    const std::string value = std::to_string(700 + index);
    ASSERT_TRUE(WaitFor([&] {
      return SendCommandTo(cluster, index, "set reboot-limit to " + value)
               .status_ == CommandStatus::Done;
    }));
    cluster.PostToLog("/faults?down=1");
    ExpectEverywhere(cluster, value);
    cluster.PostToLog("/faults?down=0");
  }
}

} // namespace verbenawell::tests
