#include "Cluster.h"

#include <csignal>
#include <future>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace verbenawell::tests {

namespace {

constexpr std::size_t kDaemons = Cluster::kDaemons;
// Two workers with two slots each.
constexpr std::size_t kSlots = 4;
constexpr const char* kNoOwner = "requests_refused_total{reason=\"no-owner\"}";

/// Runs one request on each slot at the same time; returns the errors of those
/// that failed.
std::string
FailuresOnAllSlots(const Cluster& aCluster, std::size_t aEntry)
{
  std::vector<std::future<httplib::Result>> answers;
  for (std::size_t index = 0; index < kSlots; ++index) {
    answers.push_back(std::async(std::launch::async, [&, index] {
      return aCluster.Ask(aEntry,
                          { "slot-" + std::to_string(index),
                            true,
                            std::chrono::milliseconds(50) });
    }));
  }
  std::string failures;
  for (auto& answer : answers) {
    const httplib::Result result = answer.get();
    if (!result) {
      failures += httplib::to_string(result.error()) + "; ";
    } else if (result->status != 200) {
      failures += result->get_header_value("Verbenawell-Reason") + "; ";
    }
  }
  return failures;
}

} // namespace

// Guards against a daemon that does not find the others and claims pools which
// another one owns too.
TEST(Membership, CallersAreAnsweredThroughAnyOfThreeDaemons)
{
  const Cluster cluster;
  for (std::size_t index = 0; index < kDaemons; ++index) {
    EXPECT_TRUE(cluster.IsAnswered(index)) << "daemon " << index;
    EXPECT_EQ(cluster.CounterAt(index, "slots_overrun_total"), 0U);
  }
}

// Guards against requests that fail because a daemon through which they did not
// go is killed, and against slots that the dead daemon still occupies.
TEST(Membership, SlotsOfAKilledDaemonAreFreed)
{
  Cluster cluster;
  for (std::size_t victim = 0; victim < kDaemons; ++victim) {
    std::vector<std::future<httplib::Result>> cut;
    for (std::size_t index = 0; index < kSlots; ++index) {
      cut.push_back(std::async(std::launch::async, [&] {
        return cluster.Ask(victim,
                           { "long", true, std::chrono::milliseconds(1000) });
      }));
    }
    ASSERT_TRUE(WaitFor([&] { return cluster.Running() == kSlots; }));
    cluster.End(victim, SIGKILL);
    cut.clear();
    EXPECT_EQ(FailuresOnAllSlots(cluster, (victim + 1) % kDaemons), "");
    EXPECT_EQ(FailuresOnAllSlots(cluster, (victim + 2) % kDaemons), "");
    cluster.StartDaemon(victim);
    ASSERT_TRUE(WaitFor([&] { return cluster.AreReady(); }));
  }
}

// Guards against a replaced daemon that is taken for its predecessor, so that
// the slots of the predecessor are never freed.
TEST(Membership, ADaemonReplacedEmptyServesAgain)
{
  Cluster cluster;
  auto cut = std::async(std::launch::async, [&] {
    return cluster.Ask(1, { "long", true, std::chrono::milliseconds(2000) });
  });
  ASSERT_TRUE(WaitFor([&] { return cluster.Running() == 1; }));
  cluster.End(1, SIGKILL);
  cluster.StartDaemon(1);
  EXPECT_TRUE(WaitFor([&] { return cluster.AreReady(); }));
  for (std::size_t index = 0; index < kDaemons; ++index) {
    EXPECT_EQ(FailuresOnAllSlots(cluster, index), "") << "daemon " << index;
  }
}

// Guards against a paused daemon that continues as an owner after others have
// taken over its pools, and runs a request a second time.
TEST(Membership, APausedDaemonDoublesNoRun)
{
  Cluster cluster;
  for (std::size_t paused = 0; paused < kDaemons; ++paused) {
    const std::uint64_t gaps = cluster.CounterAt(paused, "clock_gaps_total");
    std::vector<std::future<httplib::Result>> answers;
    for (std::size_t index = 0; index < 2 * kSlots; ++index) {
      answers.push_back(std::async(std::launch::async, [&, index] {
        const std::string id =
          "once-" + std::to_string(paused) + "-" + std::to_string(index);
        return cluster.Ask(index % kDaemons,
                           { id, false, std::chrono::milliseconds(300) });
      }));
    }
    cluster.Signal(paused, SIGSTOP);
    const auto resumeAt =
      std::chrono::steady_clock::now() + std::chrono::seconds(3);
    WaitFor([&] { return std::chrono::steady_clock::now() > resumeAt; });
    cluster.Signal(paused, SIGCONT);
    answers.clear();
    EXPECT_TRUE(WaitFor(
      [&] { return cluster.CounterAt(paused, "clock_gaps_total") > gaps; }));
    ASSERT_TRUE(WaitFor([&] { return cluster.AreReady(); }));
    for (std::size_t index = 0; index < 2 * kSlots; ++index) {
      const std::string id =
        "once-" + std::to_string(paused) + "-" + std::to_string(index);
      EXPECT_LE(cluster.RunsOf(id), 1U) << id;
    }
  }
}

// Guards against an owner on each side of a partition.
TEST(Membership, OnlyTheMajoritySideOfAPartitionServes)
{
  const Cluster cluster;
  for (std::size_t minority = 0; minority < kDaemons; ++minority) {
    cluster.Isolate(minority, true);
    ASSERT_TRUE(WaitFor([&] { return !cluster.IsReady(minority); }));
    const std::uint64_t before = cluster.CounterAt(minority, kNoOwner);
    const auto refused = cluster.Ask(minority, { "refused" });
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->get_header_value("Verbenawell-Reason"), "no-owner");
    EXPECT_GT(cluster.CounterAt(minority, kNoOwner), before);
    for (std::size_t other = 0; other < kDaemons; ++other) {
      if (other != minority) {
        EXPECT_TRUE(WaitFor([&] { return cluster.IsAnswered(other); }));
      }
    }
    EXPECT_FALSE(cluster.IsReady(minority));
    cluster.Isolate(minority, false);
    ASSERT_TRUE(WaitFor([&] { return cluster.AreReady(); }));
    EXPECT_TRUE(cluster.IsAnswered(minority));
  }
}

// Guards against a planned stop that the other daemons notice only by the
// time-out for unresponsive members.
TEST(Membership, ADaemonThatIsToldToStopLeaves)
{
  Cluster cluster;
  EXPECT_EQ(cluster.End(2, SIGTERM), 0);
  EXPECT_TRUE(cluster.IsAnswered(0));
  EXPECT_TRUE(cluster.IsAnswered(1));
}

} // namespace verbenawell::tests
