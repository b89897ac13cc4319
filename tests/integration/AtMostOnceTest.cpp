#include "Cluster.h"

#include <algorithm>
#include <csignal>
#include <cstdint>
#include <functional>
#include <future>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace verbenawell::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDaemons = Cluster::kDaemons;
// When the daemon is lost, half of the requests run or have run, and the
// intents of the others are being written to a slow log or wait to be.
constexpr std::size_t kRequests = 8;

/// How the first daemon becomes unavailable to its callers, and how it returns.
struct Outage
{
  std::function<void(Cluster&, std::size_t)> begin_;
  std::function<void(Cluster&, std::size_t)> end_;
};

/// Sends the request until its outcome is not "not-run" any more, as a caller
/// does that wants its booking; returns the reason, empty on success.
std::string
RetryUntilDecided(const Cluster& aCluster,
                  std::size_t aEntry,
                  const CallerRequest& aRequest)
{
  std::string reason;
  const bool decided = WaitFor([&] {
    const auto result = aCluster.SendRequest(aEntry, aRequest);
    reason = result ? result->get_header_value("Verbenawell-Reason")
                    : httplib::to_string(result.error());
    return result &&
           result->get_header_value("Verbenawell-Outcome") != "not-run";
  });
  return decided ? reason : "undecided: " + reason;
}

/// Callers book through the first daemon, lose it, and each retry their booking
/// at both other daemons at the same time.
void
RetryAtOtherDaemons(Cluster& aCluster,
                    std::size_t aFirst,
                    const Outage& aOutage)
{
  std::vector<CallerRequest> requests;
  for (std::size_t index = 0; index < kRequests; ++index) {
    requests.push_back(
      { "booking-" + std::to_string(aFirst) + "-" + std::to_string(index),
        false,
        milliseconds(400),
        seconds(8) });
  }
  const auto received = [&] {
    return aCluster.ReadCounter(aFirst, "requests_received_total");
  };
  const std::uint64_t before = received();
  std::vector<std::future<httplib::Result>> lost;
  for (std::size_t index = 0; index < kRequests; ++index) {
    lost.push_back(std::async(std::launch::async, [&, index] {
      return aCluster.SendRequest(aFirst, requests[index]);
    }));
    ASSERT_TRUE(WaitFor([&] { return received() > before + index; }));
    if (index + 1 == kRequests / 2) {
      // A request that has ended meanwhile counts too: it runs for 400 ms only.
      ASSERT_TRUE(WaitFor([&] {
        return std::ranges::any_of(requests, [&](const CallerRequest& aSent) {
          return aCluster.CountRuns(aSent.id_) > 0;
        });
      }));
      aCluster.PostToLog("/faults?delayMs=500");
    }
  }
  aOutage.begin_(aCluster, aFirst);
  std::vector<std::future<std::string>> retries;
  for (const CallerRequest& request : requests) {
    for (std::size_t other = 0; other < kDaemons; ++other) {
      if (other != aFirst) {
        retries.push_back(std::async(std::launch::async, [&, other] {
          return RetryUntilDecided(aCluster, other, request);
        }));
      }
    }
  }
  std::size_t succeeded = 0;
  for (auto& retry : retries) {
    const std::string reason = retry.get();
    EXPECT_TRUE(reason.empty() || reason == "already-started") << reason;
    succeeded += reason.empty() ? 1 : 0;
  }
  aOutage.end_(aCluster, aFirst);
  lost.clear();
  aCluster.PostToLog("/faults?delayMs=0");
  ASSERT_TRUE(WaitFor([&] { return aCluster.AreReady(); }));
  ASSERT_TRUE(WaitFor([&] { return aCluster.CountRunningRequests() == 0; }));
  for (const CallerRequest& request : requests) {
    EXPECT_LE(aCluster.CountRuns(request.id_), 1U) << request.id_;
  }
  // Each successful response belongs to the only run of its booking.
  EXPECT_LE(succeeded, kRequests);
}

/// Loses the pool's owner first, and then a daemon that has not owned it.
void
RetryAfterLosingOwnerAndEntry(const Outage& aOutage)
{
  Cluster cluster;
  const std::size_t owner = cluster.FindOwner("p");
  RetryAtOtherDaemons(cluster, owner, aOutage);
  const std::size_t next = cluster.FindOwner("p");
  std::size_t entry = 0;
  while (entry == owner || entry == next) {
    ++entry;
  }
  RetryAtOtherDaemons(cluster, entry, aOutage);
  EXPECT_EQ(cluster.WaitForCountersToAddUp(), "");
}

} // namespace

// Guards against a second run of a booking whose caller retries it at other
// daemons while the first daemon is paused, and after it has resumed.
TEST(AtMostOnce, RunsRetriedBookingsOnceWhileTheFirstDaemonIsPaused)
{
  RetryAfterLosingOwnerAndEntry({ [](Cluster& aCluster, std::size_t aFirst) {
                                   aCluster.Signal(aFirst, SIGSTOP);
                                 },
                                  [](Cluster& aCluster, std::size_t aFirst) {
                                    aCluster.Signal(aFirst, SIGCONT);
                                  } });
}

// Guards against a second run of a booking whose daemon is killed: its intents
// are known only from the log then.
TEST(AtMostOnce, RunsRetriedBookingsOnceAfterTheFirstDaemonIsKilled)
{
  RetryAfterLosingOwnerAndEntry({ [](Cluster& aCluster, std::size_t aFirst) {
                                   aCluster.End(aFirst, SIGKILL);
                                 },
                                  [](Cluster& aCluster, std::size_t aFirst) {
                                    aCluster.StartDaemon(aFirst);
                                  } });
}

// Guards against a second run of a booking that one side of a partition runs
// and the caller retries at the other side.
TEST(AtMostOnce, RunsRetriedBookingsOnceWhileTheFirstDaemonIsPartitioned)
{
  RetryAfterLosingOwnerAndEntry({ [](Cluster& aCluster, std::size_t aFirst) {
                                   aCluster.Isolate(aFirst, true);
                                 },
                                  [](Cluster& aCluster, std::size_t aFirst) {
                                    aCluster.Isolate(aFirst, false);
                                  } });
}

} // namespace verbenawell::tests
