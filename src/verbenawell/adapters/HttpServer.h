#pragma once

#include "verbenawell/core/Endpoint.h"

#include <atomic>
#include <chrono>
#include <cstddef>
#include <functional>
#include <latch>
#include <mutex>
#include <string>
#include <thread>
#include <unordered_set>

#include <httplib.h>

namespace verbenawell {

struct HttpServerLimits
{
  std::size_t maxConnections_ = 64;
  std::size_t maxBodyBytes_ = 1U << 20U;
  /// A connection without a request is closed after this time.
  std::chrono::milliseconds idleTimeout_{ 30'000 };
  /// Longest wait until the next bytes of a request arrive, or until the client
  /// accepts the next bytes of the response.
  std::chrono::milliseconds transferTimeout_{ 5'000 };
  /// Longest time for a whole request to arrive. Without this limit, a client
  /// that sends one byte at a time could occupy its thread forever.
  std::chrono::milliseconds requestTimeout_{ 30'000 };
};

/// An HTTP server based on cpp-httplib. It replaces the library's connection
/// loop, which wakes up every 10 ms while a connection is idle.
class HttpServer : public httplib::Server
{
public:
  explicit HttpServer(const HttpServerLimits& aLimits);
  ~HttpServer() override;

  /// Listens and accepts on a thread of its own; throws `std::system_error` if
  /// the address cannot be used.
  void Start(const Endpoint& aListen);

  /// Stops accepting; requests in progress finish, idle connections close.
  void Stop();

  /// Socket of the connection that the calling handler serves.
  static int CurrentSocket();

  /// `Accept-Encoding` of the request that the calling handler serves.
  static const std::string& CurrentAcceptEncoding();

  /// Closes the connection that the calling handler serves once the response is
  /// written. For handlers that respond before the request's body has been
  /// read.
  static void CloseAfterResponse();

  /// Sets the response to connections beyond the limit, and a callback that is
  /// called for each of them.
  void SetBusyResponse(std::string aResponse, std::function<void()> aOnBusy);

private:
  bool process_and_close_socket(socket_t aSocket) override;
  void ServeConnection(int aSocket);
  void RefuseAsBusy(int aSocket) const;

  HttpServerLimits limits_;
  std::string busyResponse_;
  std::function<void()> onBusy_ = [] {};
  int listener_ = -1;
  std::thread thread_;
  std::latch accepting_{ 1 };
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::unordered_set<int> idleSockets_;
};

} // namespace verbenawell
