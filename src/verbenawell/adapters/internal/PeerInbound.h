#pragma once

#include "verbenawell/adapters/EventSink.h"
#include "verbenawell/adapters/PeerIdentity.h"
#include "verbenawell/adapters/internal/Http2Connection.h"
#include "verbenawell/adapters/internal/MessageFrames.h"
#include "verbenawell/metrics/Metrics.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>

#include <asio/ip/tcp.hpp>

namespace verbenawell {

/// Receives the messages of one accepted connection.
class PeerInbound : public std::enable_shared_from_this<PeerInbound>
{
public:
  using Clock = Http2Connection::Clock;

  PeerInbound(const PeerIdentity& aIdentity,
              Metrics& aMetrics,
              EventSink aSink);

  void Start(asio::ip::tcp::socket aSocket);

  /// Closes the connection if it has been inactive for too long, or has not
  /// authenticated in time.
  void Tick(Clock::time_point aNow);

  void ResetInactivity() { connection_->ResetInactivity(); }
  void Close() { connection_->Close("closed by this daemon"); }
  [[nodiscard]] bool IsClosed() const { return connection_->IsClosed(); }
  [[nodiscard]] bool IsAuthenticated() const { return authenticated_; }

private:
  struct Stream
  {
    std::string path_;
    std::string cluster_;
    std::string token_;
    DaemonId from_;
    bool accepted_ = false;
    MessageReader reader_;
  };

  void OnHeader(std::int32_t aStream,
                std::string_view aName,
                std::string_view aValue);
  void OnHeadersEnd(std::int32_t aStream);
  void OnData(std::int32_t aStream, std::string_view aBytes);
  void OnStreamEnd(std::int32_t aStream);
  void OnClosed(std::string_view aReason);
  [[nodiscard]] bool IsAuthorized(const Stream& aStream) const;
  void Respond(std::int32_t aStream, std::string_view aStatus);
  void RejectFrame(std::string_view aReason);

  const PeerIdentity& identity_;
  Metrics& metrics_;
  EventSink sink_;
  std::shared_ptr<Http2Connection> connection_;
  std::map<std::int32_t, Stream> streams_;
  Clock::time_point acceptedAt_;
  bool authenticated_ = false;
  bool refusalCounted_ = false;
  bool invalidCounted_ = false;
};

} // namespace verbenawell
