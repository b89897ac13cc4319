#include "Cluster.h"
#include "RawConnection.h"

#include <future>
#include <memory>
#include <string>
#include <system_error>
#include <vector>

#include <gtest/gtest.h>

namespace verbenawell::tests {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr std::size_t kDaemons = Cluster::kDaemons;
// Two workers with two slots each.
constexpr std::size_t kSlots = 4;

std::string
ReasonOf(const httplib::Result& aResult)
{
  return aResult ? aResult->get_header_value("Verbenawell-Reason")
                 : httplib::to_string(aResult.error());
}

} // namespace

// Guards against a daemon that decompresses a response, or compresses it again:
// its headers would name another encoding than that of its bytes.
TEST(Callers, GetResponsesInTheEncodingOfTheBackendServer)
{
  const Cluster cluster;
  httplib::Client client{ cluster.CallerAddress(0).host_,
                          cluster.CallerAddress(0).port_ };
  client.set_decompress(false);
  httplib::Headers headers = MakeHeaders({ "encoded" });
  headers.emplace("Accept-Encoding", "gzip, br");
  const std::string body(3000, 'x');
  const auto plain = client.Post("/", headers, body, "text/plain");
  ASSERT_TRUE(plain);
  EXPECT_EQ(plain->get_header_value_count("Content-Encoding"), 0U);
  EXPECT_EQ(plain->body, "answer to encoded\n" + body);
  // The body is not valid gzip: whoever tries to decompress it fails.
  headers.emplace("Standin-Encoding", "gzip");
  const auto encoded = client.Post("/", headers, body, "text/plain");
  ASSERT_TRUE(encoded);
  EXPECT_EQ(encoded->get_header_value_count("Content-Encoding"), 1U);
  EXPECT_EQ(encoded->get_header_value("Content-Encoding"), "gzip");
  EXPECT_EQ(encoded->body, body);
  headers.emplace("Range", "bytes=2-5");
  const auto part = client.Post("/", headers, body, "text/plain");
  ASSERT_TRUE(part);
  EXPECT_EQ(part->body, body) << "the backend server ignores ranges";
}

// Guards against slots and queue places that stay occupied, and backend
// connections that stay open, after their callers have disconnected.
TEST(Callers, FreeSlotsAndQueuePlacesWhenManyCancelTogether)
{
  constexpr std::size_t kCallers = 40;
  const Cluster cluster;
  const auto openToWorkers = [&] {
    return cluster.CountConnectionsToWorker(0) +
           cluster.CountConnectionsToWorker(1);
  };
  const std::size_t idle = openToWorkers();
  std::vector<std::unique_ptr<RawConnection>> openCallers;
  for (std::size_t index = 0; index < kCallers; ++index) {
    auto& caller = openCallers.emplace_back(
      std::make_unique<RawConnection>(cluster.CallerAddress(index % kDaemons)));
    // The first four requests run. They are not idempotent, so each uses a new
    // connection to its worker.
    caller->Send(MakeRequestText({ "wave-" + std::to_string(index),
                                   index >= kSlots && index % 2 == 0,
                                   seconds(60),
                                   seconds(60) }));
    if (index < kSlots) {
      ASSERT_TRUE(
        WaitFor([&] { return cluster.CountRunningRequests() == index + 1; }));
    }
  }
  for (std::size_t index = 0; index < kDaemons; ++index) {
    ASSERT_TRUE(WaitFor([&] {
      return cluster.ReadCounter(index, "requests_received_total") >=
             kCallers / kDaemons;
    }));
  }
  openCallers.clear();
  for (std::size_t index = 0; index < kDaemons; ++index) {
    EXPECT_TRUE(WaitFor([&] {
      return cluster.ReadCounter(index, "requests_cancelled_total") >=
             kCallers / kDaemons;
    }));
  }
  // Queue places become free on cancellation, not only when their turn comes.
  const std::size_t owner = cluster.FindOwner("p");
  EXPECT_TRUE(WaitFor(
    [&] { return cluster.ReadCounter(owner, "tickets_cancelled_total") > 0; }));
  EXPECT_TRUE(WaitFor([&] { return openToWorkers() <= idle; }));
  std::vector<std::future<httplib::Result>> next;
  for (std::size_t index = 0; index < kSlots; ++index) {
    next.push_back(std::async(std::launch::async, [&, index] {
      return cluster.SendRequest(
        index % kDaemons,
        { "next-" + std::to_string(index), true, milliseconds(300) });
    }));
  }
  for (auto& response : next) {
    EXPECT_EQ(ReasonOf(response.get()), "");
  }
  EXPECT_EQ(cluster.WaitForCountersToAddUp(), "");
}

// Guards against a request that no VM can ever run and that waits in the queue,
// ahead of others.
TEST(Callers, ARequestLargerThanAnyVmIsRefusedAndBlocksNoOthers)
{
  constexpr std::size_t kTooMuchMb = 2048;
  const Cluster cluster;
  std::vector<std::future<httplib::Result>> running;
  for (std::size_t index = 0; index < 2 * kSlots; ++index) {
    running.push_back(std::async(std::launch::async, [&, index] {
      return cluster.SendRequest(
        index % kDaemons,
        { "fits-" + std::to_string(index), true, milliseconds(1500) });
    }));
  }
  ASSERT_TRUE(
    WaitFor([&] { return cluster.CountRunningRequests() == kSlots; }));
  for (std::size_t index = 0; index < kDaemons; ++index) {
    for (const bool idempotent : { true, false }) {
      const std::string id = "large-" + std::to_string(index) +
                             (idempotent ? "-repeatable" : "-once");
      const auto result = cluster.SendRequest(
        index, { id, idempotent, milliseconds(0), seconds(15), kTooMuchMb });
      EXPECT_EQ(ReasonOf(result), "never-fits");
      EXPECT_EQ(cluster.CountRuns(id), 0U);
    }
  }
  for (auto& response : running) {
    EXPECT_EQ(ReasonOf(response.get()), "");
  }
  EXPECT_EQ(cluster.WaitForCountersToAddUp(), "");
}

// Guards against callers that send half a request and then nothing, and so
// occupy the threads that serve others.
TEST(Callers, ThatSendHalfARequestBlockNoOthers)
{
  constexpr std::size_t kMaxCallers = 8;
  const Cluster cluster{ { .maxCallers_ = kMaxCallers } };
  std::vector<std::unique_ptr<RawConnection>> silent;
  const std::string request = MakeRequestText({ "half" });
  for (std::size_t index = 0; index < kMaxCallers; ++index) {
    silent.push_back(std::make_unique<RawConnection>(cluster.CallerAddress(0)));
    silent.back()->Send(request.substr(0, request.size() - 2));
  }
  // They occupy every thread of their daemon, which refuses further callers.
  ASSERT_TRUE(WaitFor([&] {
    return ReasonOf(cluster.SendRequest(0, { "refused" })) == "queue-full";
  }));
  constexpr std::size_t kRefused = 20;
  for (std::size_t index = 0; index < kRefused; ++index) {
    EXPECT_EQ(ReasonOf(cluster.SendRequest(0, { "refused" })), "queue-full");
  }
  EXPECT_TRUE(cluster.ServesCallers(1));
  EXPECT_TRUE(cluster.ServesCallers(2));
  EXPECT_TRUE(WaitFor([&] { return cluster.ServesCallers(0); }));
  for (const auto& caller : silent) {
    EXPECT_NE(caller->ReadToEnd().find("bad-request"), std::string::npos);
  }
  EXPECT_EQ(cluster.CountRuns("half"), 0U);
  EXPECT_EQ(cluster.WaitForCountersToAddUp(), "");
}

// Guards against callers that do not read their responses, and so occupy slots,
// threads and memory without limit.
TEST(Callers, ThatDoNotReadTheirResponsesBlockNoOthers)
{
  constexpr std::size_t kMaxCallers = 8;
  constexpr std::size_t kBodyBytes = 1'000'000;
  // Memory limit of a daemon according to the design page.
  constexpr std::uint64_t kMaxResident = 128'000'000;
  const Cluster cluster{ { .maxCallers_ = kMaxCallers } };
  // The responses exceed the capacity of all buffers between daemon and caller.
  constexpr std::size_t kRequestsOfEach = 12;
  std::string requests;
  for (std::size_t index = 0; index < kRequestsOfEach; ++index) {
    requests +=
      MakeRequestText({ .id_ = "slow", .body_ = std::string(kBodyBytes, 'x') });
  }
  std::vector<std::unique_ptr<RawConnection>> slow;
  std::vector<std::future<void>> sending;
  for (std::size_t index = 0; index < kMaxCallers; ++index) {
    auto& caller = slow.emplace_back(
      std::make_unique<RawConnection>(cluster.CallerAddress(0), 4096));
    sending.push_back(std::async(std::launch::async, [&, to = caller.get()] {
      try {
        to->Send(requests);
      } catch (const std::system_error&) {
        // The daemon has closed the connection.
      }
    }));
  }
  ASSERT_TRUE(
    WaitFor([&] { return cluster.CountRuns("slow") >= kMaxCallers; }));
  EXPECT_TRUE(cluster.ServesCallers(1));
  EXPECT_TRUE(cluster.ServesCallers(2));
  EXPECT_LT(cluster.ReadResidentBytes(0), kMaxResident);
  // The threads of the slow callers serve others again.
  EXPECT_TRUE(WaitFor([&] { return cluster.ServesCallers(0); }));
  EXPECT_LT(cluster.CountRuns("slow"), kMaxCallers * kRequestsOfEach);
  EXPECT_EQ(cluster.WaitForCountersToAddUp(), "");
}

} // namespace verbenawell::tests
