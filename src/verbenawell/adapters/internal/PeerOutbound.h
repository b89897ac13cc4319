#pragma once

#include "verbenawell/adapters/PeerIdentity.h"
#include "verbenawell/adapters/internal/Http2Connection.h"
#include "verbenawell/adapters/internal/PeerChannel.h"
#include "verbenawell/metrics/Metrics.h"

#include <array>
#include <chrono>
#include <deque>
#include <memory>
#include <string>
#include <string_view>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace verbenawell {

/// Sends messages to one address. Connects when there is something to send,
/// after a failure with a growing delay.
class PeerOutbound : public std::enable_shared_from_this<PeerOutbound>
{
public:
  using Clock = Http2Connection::Clock;

  PeerOutbound(asio::io_context& aIo,
               const PeerIdentity& aIdentity,
               Endpoint aAddress,
               Metrics& aMetrics);

  /// Queues an encoded message; drops it if the peer cannot be reached.
  void Send(PeerChannel aChannel, std::string_view aMessage);

  /// Pings the peer, closes an inactive connection, and aborts a connect that
  /// takes too long.
  void Tick(Clock::time_point aNow);

  /// Tells whether nothing has been sent for `kUnusedTimeout`, so that the
  /// connection can be closed.
  [[nodiscard]] bool IsUnused(Clock::time_point aNow) const;

  void ResetInactivity();
  void Close();

private:
  struct Channel
  {
    std::deque<std::string> frames_;
    /// Bytes of the first frame that nghttp2 has already taken.
    std::size_t sent_ = 0;
    std::int32_t stream_ = 0;
  };

  void Connect();
  bool OpenSocket();
  void OnConnected(asio::ip::tcp::socket aSocket);
  void OpenStreams();
  void OnHeader(std::string_view aName, std::string_view aValue);
  void Fail(std::string_view aReason);
  void ClearQueues();
  static ssize_t ReadFrames(nghttp2_session* aSession,
                            std::int32_t aStream,
                            std::uint8_t* aBuffer,
                            std::size_t aSize,
                            std::uint32_t* aFlags,
                            nghttp2_data_source* aSource,
                            void* aConnection);

  asio::io_context& io_;
  const PeerIdentity& identity_;
  Endpoint address_;
  Metrics& metrics_;
  std::array<Channel, kPeerChannelCount> channels_;
  std::size_t queuedBytes_ = 0;
  /// Set from the start of a connect until it has succeeded or failed.
  std::shared_ptr<asio::ip::tcp::socket> connecting_;
  std::shared_ptr<Http2Connection> connection_;
  Clock::time_point connectStartedAt_;
  Clock::time_point earliestConnectAt_;
  Clock::time_point lastUsedAt_;
  Clock::time_point lastPingAt_;
  std::chrono::milliseconds backoff_;
  /// A refusal or failure is logged once until the peer accepts a stream again.
  bool failureLogged_ = false;
};

} // namespace verbenawell
