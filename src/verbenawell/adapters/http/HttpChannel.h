#pragma once

#include "verbenawell/adapters/http/HttpMessage.h"
#include "verbenawell/adapters/http/HttpParser.h"
#include "verbenawell/core/Endpoint.h"
#include "verbenawell/core/Quantity.h"
#include "verbenawell/core/Time.h"

#include <array>
#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <system_error>
#include <variant>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

namespace verbenawell::http {

using ResultHandler = std::function<void(Result)>;

/// Identifies a connection of one channel; never used again by that channel.
using ConnectionNumber = Quantity<struct ConnectionTag, std::uint64_t>;

/// Makes the request of a call when it is sent, for the connection that carries
/// it. Without a request, the call fails and nothing is sent.
using RequestSource = std::function<std::optional<Request>(ConnectionNumber)>;

/// Time limits of a call that may wait behind others.
struct CallLimits
{
  /// From sending, or from connecting for it, to the response.
  Duration response_;
  /// Longest wait before that; unlimited if empty.
  std::optional<Duration> queue_;
  /// Longest time to connect, within `response_`. Nothing was sent if it ends.
  std::optional<Duration> connect_{};
};

/// One persistent connection to a server. It carries one call at a time;
/// further calls are queued. Every call gets exactly one result, at the latest
/// when its time limit expires. A call that is given up resets the connection,
/// so that it cannot arrive later. An unlimited wait in the queue ends with the
/// calls before it. The limit is extended while the event loop is
/// late, because responses that have arrived are then read late too.
class Channel : public std::enable_shared_from_this<Channel>
{
public:
  Channel(asio::io_context& aIo, Endpoint aServer, std::size_t aMaxBodyBytes);

  /// Limits the time from now to the response.
  void Call(Request aRequest, Duration aLimit, ResultHandler aHandler);

  void Call(RequestSource aSource, Duration aLimit, ResultHandler aHandler);

  void Call(Request aRequest, CallLimits aLimits, ResultHandler aHandler);

  void Call(RequestSource aSource, CallLimits aLimits, ResultHandler aHandler);

  /// Fails all pending calls and closes the connection.
  void Close();

  [[nodiscard]] bool IsIdle() const { return calls_.empty(); }

private:
  struct PendingCall
  {
    std::variant<Request, RequestSource> request_;
    std::chrono::steady_clock::time_point deadline_;
    /// Sets the deadline anew when the wait in the queue ends.
    std::optional<Duration> responseLimit_;
    std::optional<Duration> connectLimit_;
    ResultHandler handler_;
    /// How often the deadline was extended because its timer fired late.
    int extensions_ = 0;
  };

  void AddCall(std::variant<Request, RequestSource> aRequest,
               CallLimits aLimits,
               ResultHandler aHandler);
  void StartNextCall();
  [[nodiscard]] std::chrono::steady_clock::time_point ConnectDeadline() const;
  void Connect();
  void Send();
  void Read();
  void OnBytes(std::size_t aCount);
  void ArmTimer(std::chrono::steady_clock::time_point aDeadline);
  void OnDeadline();
  void CompleteCall(Result aResult);
  /// Closes the connection and discards bytes that have not arrived.
  void ResetConnection();
  /// Closes a connection without a call in flight.
  void CloseConnection();
  void SetResetOnClose(bool aIsReset);
  void Disconnect();

  asio::io_context& io_;
  Endpoint server_;
  std::string host_;
  std::size_t maxBodyBytes_;
  asio::ip::tcp::socket socket_;
  asio::steady_timer timer_;
  /// When the timer ends the call or, earlier, the attempt to connect.
  std::chrono::steady_clock::time_point timerDeadline_;
  std::deque<PendingCall> calls_;
  Parser<Response> parser_;
  std::array<char, 16384> buffer_{};
  std::string output_;
  /// Number of the current connection. Callbacks of earlier connections have
  /// another number and are ignored.
  ConnectionNumber connection_;
  bool isConnected_ = false;
  bool isBusy_ = false;
  bool isSent_ = false;
  bool isClosed_ = false;
};

} // namespace verbenawell::http
