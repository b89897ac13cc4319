#include "Cluster.h"

#include <future>
#include <string>
#include <vector>

#include <gtest/gtest.h>

namespace verbenawell::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDaemons = Cluster::kDaemons;
// Workers of the pool; the last one is the spare VM.
constexpr std::size_t kPoolWorkers = 2;
constexpr std::size_t kSlots = 4;
constexpr int kOk = 200;
constexpr int kServerError = 500;

std::future<httplib::Result>
SendAsync(const Cluster& aCluster, std::size_t aEntry, CallerRequest aRequest)
{
  return std::async(std::launch::async,
                    [&aCluster, aEntry, request = std::move(aRequest)] {
                      return aCluster.SendRequest(aEntry, request);
                    });
}

/// The outcome for the caller: the status, the reason that the daemon gives, or
/// the connection error.
std::string
Describe(const httplib::Result& aResult)
{
  if (!aResult) {
    return httplib::to_string(aResult.error());
  }
  const std::string reason = aResult->get_header_value("Verbenawell-Reason");
  return reason.empty() ? std::to_string(aResult->status) : reason;
}

void
SetWorkerRules(const Cluster& aCluster, const std::string& aQuery)
{
  for (std::size_t index = 0; index < kPoolWorkers; ++index) {
    aCluster.SetRule(ToWorker{ index }, aQuery);
  }
}

std::uint64_t
SumOverDaemons(const Cluster& aCluster, const std::string& aCounter)
{
  std::uint64_t sum = 0;
  for (std::size_t index = 0; index < kDaemons; ++index) {
    sum += aCluster.ReadCounter(index, aCounter);
  }
  return sum;
}

} // namespace

// Guards against requests that are lost, or wait forever, on connections that
// no longer carry data while new ones work; against a non-idempotent request
// that is sent twice; and against idle connections in that state, each of which
// would cost the next request its deadline.
TEST(BackendFaults, StalledConnectionsLoseNoRequest)
{
  const Cluster cluster{ { .isPlatformProxied_ = true } };
  // Leaves idle connections to the workers open at each daemon.
  for (std::size_t index = 0; index < kDaemons; ++index) {
    ASSERT_TRUE(cluster.ServesCallers(index));
  }
  auto repeated =
    SendAsync(cluster, 0, { "repeated", true, milliseconds(400), seconds(15) });
  auto once =
    SendAsync(cluster, 1, { "once", false, milliseconds(400), seconds(3) });
  ASSERT_TRUE(WaitFor([&] { return cluster.CountRunningRequests() == 2; }));
  SetWorkerRules(cluster, "fault=silence&coming=0");

  std::vector<std::future<httplib::Result>> others;
  for (std::size_t index = 0; index < 2 * kSlots; ++index) {
    others.push_back(SendAsync(cluster,
                               index % kDaemons,
                               { "other-" + std::to_string(index),
                                 true,
                                 milliseconds(20),
                                 seconds(15) }));
  }
  for (auto& other : others) {
    EXPECT_EQ(Describe(other.get()), "200");
  }
  EXPECT_EQ(Describe(once.get()), "backend-timeout");
  EXPECT_EQ(cluster.CountRuns("once"), 1U);
  EXPECT_EQ(Describe(repeated.get()), "200");
  EXPECT_EQ(cluster.CountRuns("repeated"), 2U);
  EXPECT_EQ(cluster.WaitForCountersToAddUp(), "");
}

// Guards against a truncated response that reaches the caller as a short
// success. The connection ends after each possible number of bytes, for
// responses with a length and for chunked ones.
TEST(BackendFaults, ATruncatedResponseNeverReachesTheCallerAsASuccess)
{
  // The only worker of the pool is never ejected, however often it fails.
  const Cluster cluster{ { .workers_ = 2, .isPlatformProxied_ = true } };
  std::size_t truncatedCount = 0;
  for (const bool chunked : { false, true }) {
    CallerRequest request;
    request.idempotent_ = false;
    request.isChunked_ = chunked;
    // Length of the status line and the first headers. Shorter responses fail
    // in the same way.
    constexpr std::size_t kMinBytes = 60;
    constexpr std::size_t kMaxBytes = 300;
    bool whole = false;
    for (std::size_t bytes = kMinBytes; bytes < kMaxBytes && !whole; ++bytes) {
      SetWorkerRules(cluster,
                     "fault=cut-answer&bytes=" + std::to_string(bytes));
      request.id_ = (chunked ? "chunked-" : "sized-") + std::to_string(bytes);
      const auto result = cluster.SendRequest(0, request);
      ASSERT_TRUE(result);
      whole = result->status == kOk;
      if (whole) {
        EXPECT_EQ(result->body, "answer to " + request.id_ + "\nbody");
      } else {
        ASSERT_EQ(Describe(result), "backend-cut") << request.id_;
        ASSERT_EQ(cluster.CountRuns(request.id_), 1U) << request.id_;
        ++truncatedCount;
      }
    }
    EXPECT_TRUE(whole) << (chunked ? "chunked" : "sized");
  }
  EXPECT_EQ(
    cluster.ReadCounter(0, "requests_unknown_total{reason=\"backend-cut\"}"),
    truncatedCount);
  SetWorkerRules(cluster, "fault=pass");
  EXPECT_EQ(cluster.WaitForCountersToAddUp(), "");
}

// Guards against a backend server that accepts requests and never responds. Its
// requests must end by their deadlines, idempotent ones must run elsewhere, and
// their slots must become free.
TEST(BackendFaults, ARequestWithoutAResponseEndsAtItsDeadline)
{
  const Cluster cluster;
  cluster.PostToPlatform("/mode?vm=w0&mode=silent");
  cluster.PostToPlatform("/mode?vm=w1&mode=silent");
  std::vector<std::future<httplib::Result>> late;
  for (std::size_t index = 0; index < kSlots; ++index) {
    const bool idempotent = index % 2 == 0;
    late.push_back(SendAsync(cluster,
                             index % kDaemons,
                             { "late-" + std::to_string(index),
                               idempotent,
                               milliseconds(0),
                               seconds(2) }));
  }
  ASSERT_TRUE(
    WaitFor([&] { return cluster.CountRunningRequests() == kSlots; }));
  for (auto& response : late) {
    EXPECT_EQ(Describe(response.get()), "backend-timeout");
  }
  cluster.PostToPlatform("/mode?vm=w1&mode=serving");
  std::vector<std::future<httplib::Result>> repeated;
  for (std::size_t index = 0; index < kSlots; ++index) {
    repeated.push_back(SendAsync(cluster,
                                 index % kDaemons,
                                 { "repeated-" + std::to_string(index),
                                   true,
                                   milliseconds(0),
                                   seconds(12) }));
  }
  for (auto& response : repeated) {
    EXPECT_EQ(Describe(response.get()), "200");
  }
  for (std::size_t index = 0; index < kSlots; ++index) {
    EXPECT_LE(cluster.CountRuns("late-" + std::to_string(index)), 1U);
  }
  EXPECT_EQ(cluster.WaitForCountersToAddUp(), "");
}

// Guards against a worker that fails every request at once: it always has free
// slots and would attract all work. It must be ejected while the others keep
// their work, and return once it is repaired.
TEST(BackendFaults, AWorkerThatFailsEveryRequestIsEjectedUntilItIsRepaired)
{
  const Cluster cluster;
  // A long request occupies a slot of one worker, so that the other one, which
  // fails every request, gets work too.
  auto longRequest =
    SendAsync(cluster, 1, { "kept", true, seconds(4), seconds(15) });
  ASSERT_TRUE(WaitFor([&] { return cluster.CountRunningRequests() == 1; }));
  const std::string broken = cluster.ReadLoad("w0").running_ == 1 ? "w1" : "w0";
  cluster.PostToPlatform("/mode?vm=" + broken + "&mode=failing-fast");
  std::size_t failed = 0;
  std::size_t asked = 0;
  const auto ask = [&] {
    const std::string id = "work-" + std::to_string(asked);
    const auto result = cluster.SendRequest(asked++ % kDaemons, { id });
    failed += result && result->status == kServerError ? 1 : 0;
    return result && (result->status == kOk || result->status == kServerError);
  };
  ASSERT_TRUE(WaitFor([&] {
    return ask() && SumOverDaemons(cluster, "workers_ejected_total") > 0;
  }));
  constexpr std::size_t kAfterEjection = 100;
  for (std::size_t index = 0; index < kAfterEjection; ++index) {
    EXPECT_TRUE(ask());
  }
  // Five failures eject the worker; each probe then sends it one request.
  constexpr std::size_t kFailuresToEject = 5;
  EXPECT_LE(failed,
            kFailuresToEject + SumOverDaemons(cluster, "workers_probed_total"));
  EXPECT_EQ(Describe(longRequest.get()), "200");

  cluster.PostToPlatform("/mode?vm=" + broken + "&mode=serving");
  EXPECT_TRUE(WaitFor([&] {
    return ask() && SumOverDaemons(cluster, "workers_recovered_total") > 0;
  }));
  const std::size_t before = cluster.ReadLoad(broken).started_;
  EXPECT_TRUE(WaitFor(
    [&] { return ask() && cluster.ReadLoad(broken).started_ > before; }));
  EXPECT_EQ(cluster.WaitForCountersToAddUp(), "");
}

} // namespace verbenawell::tests
