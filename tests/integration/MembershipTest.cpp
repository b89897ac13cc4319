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
  std::vector<std::future<httplib::Result>> responses;
  for (std::size_t index = 0; index < kSlots; ++index) {
    responses.push_back(std::async(std::launch::async, [&, index] {
      return aCluster.SendRequest(aEntry,
                                  { "slot-" + std::to_string(index),
                                    true,
                                    std::chrono::milliseconds(50) });
    }));
  }
  std::string failures;
  for (auto& response : responses) {
    const httplib::Result result = response.get();
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
TEST(Membership, AnyOfThreeDaemonsServesCallers)
{
  const Cluster cluster;
  for (std::size_t index = 0; index < kDaemons; ++index) {
    EXPECT_TRUE(cluster.ServesCallers(index)) << "daemon " << index;
    EXPECT_EQ(cluster.ReadCounter(index, "slots_overrun_total"), 0U);
  }
}

// Guards against requests that fail because a daemon through which they did not
// go is killed, and against slots that the dead daemon still occupies.
TEST(Membership, SlotsOfAKilledDaemonAreFreed)
{
  Cluster cluster;
  for (std::size_t victim = 0; victim < kDaemons; ++victim) {
    std::vector<std::future<httplib::Result>> interrupted;
    for (std::size_t index = 0; index < kSlots; ++index) {
      interrupted.push_back(std::async(std::launch::async, [&] {
        return cluster.SendRequest(
          victim, { "long", true, std::chrono::milliseconds(1000) });
      }));
    }
    ASSERT_TRUE(
      WaitFor([&] { return cluster.CountRunningRequests() == kSlots; }));
    cluster.End(victim, SIGKILL);
    interrupted.clear();
    EXPECT_EQ(FailuresOnAllSlots(cluster, (victim + 1) % kDaemons), "");
    EXPECT_EQ(FailuresOnAllSlots(cluster, (victim + 2) % kDaemons), "");
    cluster.StartDaemon(victim);
    ASSERT_TRUE(WaitFor([&] { return cluster.AreReady(); }));
  }
}

// Guards against a replaced daemon that is taken for its predecessor, so that
// the slots of the predecessor are never freed.
TEST(Membership, ADaemonReplacedWithoutStateServesAgain)
{
  Cluster cluster;
  auto interrupted = std::async(std::launch::async, [&] {
    return cluster.SendRequest(
      1, { "long", true, std::chrono::milliseconds(2000) });
  });
  ASSERT_TRUE(WaitFor([&] { return cluster.CountRunningRequests() == 1; }));
  cluster.End(1, SIGKILL);
  cluster.StartDaemon(1);
  EXPECT_TRUE(WaitFor([&] { return cluster.AreReady(); }));
  for (std::size_t index = 0; index < kDaemons; ++index) {
    EXPECT_EQ(FailuresOnAllSlots(cluster, index), "") << "daemon " << index;
  }
}

// Guards against a paused daemon that continues as an owner after others have
// taken over its pools, and runs a request a second time.
TEST(Membership, APausedDaemonRunsNoRequestTwice)
{
  Cluster cluster;
  for (std::size_t paused = 0; paused < kDaemons; ++paused) {
    const std::uint64_t gaps = cluster.ReadCounter(paused, "clock_gaps_total");
    std::vector<std::future<httplib::Result>> responses;
    for (std::size_t index = 0; index < 2 * kSlots; ++index) {
      responses.push_back(std::async(std::launch::async, [&, index] {
        const std::string id =
          "once-" + std::to_string(paused) + "-" + std::to_string(index);
        return cluster.SendRequest(
          index % kDaemons, { id, false, std::chrono::milliseconds(300) });
      }));
    }
    cluster.Signal(paused, SIGSTOP);
    const auto resumeAt =
      std::chrono::steady_clock::now() + std::chrono::seconds(3);
    WaitFor([&] { return std::chrono::steady_clock::now() > resumeAt; });
    cluster.Signal(paused, SIGCONT);
    responses.clear();
    EXPECT_TRUE(WaitFor(
      [&] { return cluster.ReadCounter(paused, "clock_gaps_total") > gaps; }));
    ASSERT_TRUE(WaitFor([&] { return cluster.AreReady(); }));
    for (std::size_t index = 0; index < 2 * kSlots; ++index) {
      const std::string id =
        "once-" + std::to_string(paused) + "-" + std::to_string(index);
      EXPECT_LE(cluster.CountRuns(id), 1U) << id;
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
    const std::uint64_t before = cluster.ReadCounter(minority, kNoOwner);
    const auto refused = cluster.SendRequest(minority, { "refused" });
    ASSERT_TRUE(refused);
    EXPECT_EQ(refused->get_header_value("Verbenawell-Reason"), "no-owner");
    EXPECT_GT(cluster.ReadCounter(minority, kNoOwner), before);
    for (std::size_t other = 0; other < kDaemons; ++other) {
      if (other != minority) {
        EXPECT_TRUE(WaitFor([&] { return cluster.ServesCallers(other); }));
      }
    }
    EXPECT_FALSE(cluster.IsReady(minority));
    cluster.Isolate(minority, false);
    ASSERT_TRUE(WaitFor([&] { return cluster.AreReady(); }));
    EXPECT_TRUE(cluster.ServesCallers(minority));
  }
}

// Guards against a planned stop that the other daemons notice only by the
// time-out for unresponsive members.
TEST(Membership, ADaemonStoppedBySigtermLeavesTheCluster)
{
  Cluster cluster;
  EXPECT_EQ(cluster.End(2, SIGTERM), 0);
  EXPECT_TRUE(cluster.ServesCallers(0));
  EXPECT_TRUE(cluster.ServesCallers(1));
}

} // namespace verbenawell::tests
