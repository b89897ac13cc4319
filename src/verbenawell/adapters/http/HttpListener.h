#pragma once

#include "verbenawell/adapters/TimerService.h"
#include "verbenawell/adapters/http/HttpMessage.h"
#include "verbenawell/core/Endpoint.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace verbenawell::http {

class Session;

/// Identifies a received request, for its response.
using ExchangeId = std::uint64_t;

struct ListenerHandlers
{
  std::function<void(ExchangeId, const Request&)> request_;
  /// The connection ended before the response was sent.
  std::function<void(ExchangeId)> disconnected_;
};

/// What clients may make a listener hold. The defaults are far above what a
/// client needs.
struct ListenerLimits
{
  std::size_t bodyBytes_ = 0;
  /// Of all requests that have not arrived completely. Beyond it, the largest
  /// one is refused with 503.
  std::size_t bufferedBytes_ = 64U << 20U;
  /// Beyond it, the connection that has had no request for the longest time is
  /// closed for a new one.
  std::size_t connections_ = 4096;
  /// From the first byte of a request to its last one.
  std::chrono::milliseconds requestTime_{ 30'000 };
  /// For a client to read a response.
  std::chrono::milliseconds responseTime_{ 30'000 };
};

/// Accepts connections and reads one request at a time from each.
class Listener
{
public:
  /// Throws `std::system_error` if the address cannot be used.
  Listener(asio::io_context& aIo,
           const Endpoint& aAddress,
           const ListenerLimits& aLimits,
           ListenerHandlers aHandlers);
  ~Listener();

  void Respond(ExchangeId aExchange, const Response& aResponse);

  /// Closes each connection after its next response.
  void CloseAfterResponses() { isClosing_ = true; }

private:
  friend class Session;

  enum class Timer : std::uint8_t
  {
    AcceptRetry,
    Deadlines,
  };

  void Accept();
  void OnTimer(Timer aTimer);
  /// Closes connections whose deadline has passed.
  void CheckDeadlines();
  /// Makes sure that `CheckDeadlines` runs soon after this time.
  void WatchDeadline(std::chrono::steady_clock::time_point aDeadline);
  /// Closes an idle connection if there are too many; returns false if there is
  /// none to close.
  bool MakeRoom();
  /// Refuses the largest unfinished requests until the others fit the limit.
  void LimitBufferedBytes();

  asio::ip::tcp::acceptor acceptor_;
  ListenerLimits limits_;
  TimerService<Timer> timers_;
  ListenerHandlers handlers_;
  std::unordered_map<ExchangeId, std::weak_ptr<Session>> open_;
  std::unordered_map<const Session*, std::weak_ptr<Session>> sessions_;
  /// Bytes of the requests that have not arrived completely.
  std::size_t bufferedBytes_ = 0;
  bool isWatchingDeadlines_ = false;
  ExchangeId lastExchange_ = 0;
  bool isClosing_ = false;
};

} // namespace verbenawell::http
