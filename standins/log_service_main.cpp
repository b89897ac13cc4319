#include "verbenawell/adapters/HttpServer.h"

#include "LogStore.h"
#include "SignalWaiter.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <iostream>
#include <mutex>
#include <string>

#include <gflags/gflags.h>

DEFINE_string(host, "127.0.0.1", "IP address to listen on");
DEFINE_int32(port, 7490, "port number to listen on");
DEFINE_uint64(retention,
              0,
              "number of records that a stream keeps; 0 keeps all");

namespace {

using verbenawell::HttpServer;

constexpr std::size_t kMaxConnections = 512;
constexpr std::size_t kMaxPageRecords = 500;
constexpr int kUnavailable = 503;

/// Faults that a test sets through `/faults`.
struct Faults
{
  std::atomic<bool> down_ = false;
  std::atomic<std::uint64_t> delayMs_ = 0;
  /// Number of next appends that take effect but get an error response.
  std::atomic<std::uint64_t> lostResponses_ = 0;
};

void
Delay(const Faults& aFaults)
{
  if (const auto delay = aFaults.delayMs_.load(); delay > 0) {
    std::mutex mutex;
    std::unique_lock lock{ mutex };
    std::condition_variable().wait_for(lock, std::chrono::milliseconds(delay));
  }
}

bool
ConsumeLostResponse(Faults& aFaults)
{
  std::uint64_t left = aFaults.lostResponses_;
  while (left > 0 &&
         !aFaults.lostResponses_.compare_exchange_weak(left, left - 1)) {
  }
  return left > 0;
}

void
SetFaults(const httplib::Request& aRequest, Faults& aFaults)
{
  if (aRequest.has_param("down")) {
    aFaults.down_ = aRequest.get_param_value("down") == "1";
  }
  if (aRequest.has_param("delayMs")) {
    aFaults.delayMs_ = std::stoull(aRequest.get_param_value("delayMs"));
  }
  if (aRequest.has_param("lostAnswers")) {
    aFaults.lostResponses_ =
      std::stoull(aRequest.get_param_value("lostAnswers"));
  }
}

std::size_t
PageLimit(const httplib::Request& aRequest)
{
  if (!aRequest.has_param("limit")) {
    return kMaxPageRecords;
  }
  const std::size_t limit = std::stoull(aRequest.get_param_value("limit"));
  return std::min(limit, kMaxPageRecords);
}

void
Serve(HttpServer& aServer, standins::LogStore& aStore, Faults& aFaults)
{
  aServer.Post(
    "/records",
    [&](const httplib::Request& aRequest, httplib::Response& aResponse) {
      Delay(aFaults);
      if (aFaults.down_) {
        aResponse.status = kUnavailable;
        return;
      }
      const auto offset =
        aStore.Append(aRequest.get_param_value("stream"), aRequest.body);
      if (ConsumeLostResponse(aFaults)) {
        aResponse.status = kUnavailable;
        return;
      }
      aResponse.set_content(verbenawell::EncodeAppendResponse(offset),
                            "application/cbor");
    });
  aServer.Get(
    "/records",
    [&](const httplib::Request& aRequest, httplib::Response& aResponse) {
      Delay(aFaults);
      if (aFaults.down_) {
        aResponse.status = kUnavailable;
        return;
      }
      const auto page = aStore.Read(
        aRequest.get_param_value("stream"),
        verbenawell::Offset{ std::stoull(aRequest.get_param_value("from")) },
        PageLimit(aRequest));
      aResponse.set_content(verbenawell::EncodeLogPage(page),
                            "application/cbor");
    });
  aServer.Post("/faults",
               [&](const httplib::Request& aRequest, httplib::Response&) {
                 SetFaults(aRequest, aFaults);
               });
  aServer.Post("/expire",
               [&](const httplib::Request& aRequest, httplib::Response&) {
                 aStore.Expire(std::stoull(aRequest.get_param_value("keep")));
               });
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  try {
    standins::SignalWaiter signals;
    standins::LogStore store{ FLAGS_retention };
    Faults faults;
    HttpServer server{ { kMaxConnections } };
    Serve(server, store, faults);
    server.Start({ FLAGS_host, static_cast<std::uint16_t>(FLAGS_port) });
    signals.Wait();
    server.Stop();
  } catch (const std::exception& error) {
    std::cerr << "standin-log: " << error.what() << '\n';
    return 1;
  }
}
