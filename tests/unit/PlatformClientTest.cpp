#include "verbenawell/adapters/PlatformClient.h"

#include "verbenawell/adapters/HttpServer.h"
#include "verbenawell/metrics/Metrics.h"

#include "PortRange.h"

#include <condition_variable>
#include <mutex>
#include <variant>

#include <gtest/gtest.h>

namespace verbenawell {
namespace {

// Guards against reads of a slow VM list that queue up and delay a reboot
// command, and against an older list that is delivered after a newer one.
TEST(PlatformClientTest, RebootsWithoutWaitingForASlowList)
{
  std::mutex mutex;
  std::condition_variable changed;
  bool rebootRequested = false;
  int reads = 0;
  HttpServer server{ {} };
  server.Get("/vms", [&](const httplib::Request&, httplib::Response&) {
    std::unique_lock lock{ mutex };
    ++reads;
    changed.notify_all();
    changed.wait_for(
      lock, std::chrono::seconds(1), [&] { return rebootRequested; });
  });
  server.Post("/reboot", [&](const httplib::Request&, httplib::Response&) {
    const std::lock_guard lock{ mutex };
    rebootRequested = true;
    changed.notify_all();
  });
  const standins::PortRange ports;
  const Endpoint address{ "127.0.0.1", ports.At(0) };
  server.Start(address);
  {
    Metrics metrics;
    PlatformClient client{ address, metrics, [](const Event&) {} };
    client.Run(ReadVmList{});
    std::unique_lock lock{ mutex };
    ASSERT_TRUE(changed.wait_for(
      lock, std::chrono::seconds(20), [&] { return reads == 1; }));
    for (int poll = 0; poll < 5; ++poll) {
      client.Run(ReadVmList{});
    }
    client.Run(RebootVm{ VmId{ "w0" }, BootCount{} });
    EXPECT_TRUE(changed.wait_for(
      lock, std::chrono::seconds(20), [&] { return rebootRequested; }));
    EXPECT_EQ(reads, 1);
  }
  server.Stop();
}

} // namespace
} // namespace verbenawell
