#pragma once

#include "verbenawell/metrics/Metrics.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include <asio/ip/tcp.hpp>
#include <nghttp2/nghttp2.h>

namespace verbenawell {

enum class Http2Role : std::uint8_t
{
  Client,
  Server,
};

/// Callbacks to the owner of a connection; called on the event loop's thread.
struct Http2Handler
{
  std::function<
    void(std::int32_t aStream, std::string_view aName, std::string_view aValue)>
    onHeader_;
  std::function<void(std::int32_t aStream)> onHeadersEnd_;
  std::function<void(std::int32_t aStream, std::string_view aBytes)> onData_;
  std::function<void(std::int32_t aStream)> onStreamEnd_;
  /// Called once, when the connection has been closed. `aReason` is a text for
  /// the log.
  std::function<void(std::string_view aReason)> onClosed_;
};

/// An HTTP/2 session (nghttp2) over one TCP connection. It takes output from
/// nghttp2 only as fast as the socket accepts it.
class Http2Connection : public std::enable_shared_from_this<Http2Connection>
{
public:
  using Clock = std::chrono::steady_clock;

  Http2Connection(asio::ip::tcp::socket aSocket,
                  Http2Role aRole,
                  Http2Handler aHandler,
                  Metrics& aMetrics);
  ~Http2Connection();
  Http2Connection(const Http2Connection&) = delete;
  Http2Connection& operator=(const Http2Connection&) = delete;

  void Start();

  /// For submitting requests and responses; call `Flush` afterwards.
  [[nodiscard]] nghttp2_session* Session() const { return session_; }
  void Flush();

  /// Sends an HTTP/2 PING.
  void SendPing();

  /// Ends the session with GOAWAY and then closes the connection.
  void Terminate();

  void Close(std::string_view aReason);

  [[nodiscard]] bool IsClosed() const { return closed_; }
  [[nodiscard]] Clock::time_point LastReceivedAt() const
  {
    return lastReceivedAt_;
  }

  /// Restarts the inactivity time-out, so that a pause of this process does not
  /// count as inactivity of the peer.
  void ResetInactivity() { lastReceivedAt_ = Clock::now(); }

private:
  static int OnHeader(nghttp2_session* aSession,
                      const nghttp2_frame* aFrame,
                      const std::uint8_t* aName,
                      std::size_t aNameSize,
                      const std::uint8_t* aValue,
                      std::size_t aValueSize,
                      std::uint8_t aFlags,
                      void* aSelf);
  static int OnFrame(nghttp2_session* aSession,
                     const nghttp2_frame* aFrame,
                     void* aSelf);
  static int OnData(nghttp2_session* aSession,
                    std::uint8_t aFlags,
                    std::int32_t aStream,
                    const std::uint8_t* aBytes,
                    std::size_t aSize,
                    void* aSelf);
  static int OnStreamClose(nghttp2_session* aSession,
                           std::int32_t aStream,
                           std::uint32_t aError,
                           void* aSelf);

  void CreateSession(Http2Role aRole);
  void Read();
  void Receive(std::size_t aSize);
  void CollectOutput();

  asio::ip::tcp::socket socket_;
  Http2Handler handler_;
  Metrics& metrics_;
  nghttp2_session* session_ = nullptr;
  std::array<char, 16U << 10U> input_{};
  std::string output_;
  bool writing_ = false;
  bool receiving_ = false;
  bool closed_ = false;
  Clock::time_point lastReceivedAt_;
};

} // namespace verbenawell
