#include "verbenawell/adapters/internal/PeerOutbound.h"

#include "verbenawell/adapters/LogOutput.h"
#include "verbenawell/adapters/internal/MessageFrames.h"
#include "verbenawell/adapters/internal/PeerLimits.h"

#include <algorithm>
#include <utility>

#include <asio/ip/address.hpp>

namespace verbenawell {

namespace {

using asio::ip::tcp;

nghttp2_nv
Header(std::string_view aName, std::string_view aValue)
{
  // nghttp2 copies the name and the value and does not modify them.
  const auto bytes = [](std::string_view aText) {
    return reinterpret_cast<std::uint8_t*>(const_cast<char*>(aText.data()));
  };
  return { bytes(aName),
           bytes(aValue),
           aName.size(),
           aValue.size(),
           NGHTTP2_NV_FLAG_NO_INDEX };
}

} // namespace

PeerOutbound::PeerOutbound(asio::io_context& aIo,
                           const PeerIdentity& aIdentity,
                           Endpoint aAddress,
                           Metrics& aMetrics)
  : io_(aIo)
  , identity_(aIdentity)
  , address_(std::move(aAddress))
  , metrics_(aMetrics)
  , lastUsedAt_(Clock::now())
  , backoff_(kMinBackoff)
{
}

void
PeerOutbound::Send(PeerChannel aChannel, std::string_view aMessage)
{
  lastUsedAt_ = Clock::now();
  if (connection_ == nullptr && connecting_ == nullptr) {
    Connect();
  }
  const bool reachable = connection_ != nullptr || connecting_ != nullptr;
  if (!reachable || aMessage.size() > kMaxPeerMessageBytes) {
    metrics_.Increment(Counter::PeerMessagesDropped);
    return;
  }
  if (queuedBytes_ + kLengthPrefixBytes + aMessage.size() > kMaxQueuedBytes) {
    metrics_.Increment(Counter::PeerConnectionsReplaced);
    metrics_.Increment(Counter::PeerMessagesDropped);
    Fail("send queue is full: the peer reads too slowly");
    return;
  }
  Channel& channel = channels_.at(static_cast<std::size_t>(aChannel));
  channel.frames_.push_back(FrameMessage(aMessage));
  queuedBytes_ += channel.frames_.back().size();
  if (connection_ != nullptr) {
    nghttp2_session_resume_data(connection_->Session(), channel.stream_);
    connection_->Flush();
  }
}

void
PeerOutbound::Tick(Clock::time_point aNow)
{
  if (connecting_ != nullptr && aNow - connectStartedAt_ > kConnectTimeout) {
    Fail("connect timed out");
    return;
  }
  if (connection_ == nullptr) {
    return;
  }
  if (aNow - connection_->LastReceivedAt() > kInactivityTimeout) {
    metrics_.Increment(Counter::PeerConnectionsReplaced);
    Fail("peer is silent: nothing received within the time-out");
  } else if (aNow - lastPingAt_ >= kConnectionPingInterval) {
    lastPingAt_ = aNow;
    connection_->SendPing();
  }
}

bool
PeerOutbound::IsUnused(Clock::time_point aNow) const
{
  return aNow - lastUsedAt_ > kUnusedTimeout;
}

void
PeerOutbound::ResetInactivity()
{
  if (connection_ != nullptr) {
    connection_->ResetInactivity();
  }
}

void
PeerOutbound::Close()
{
  ClearQueues();
  if (const auto connecting = std::exchange(connecting_, nullptr)) {
    std::error_code ignored;
    connecting->close(ignored);
  }
  if (const auto connection = std::exchange(connection_, nullptr)) {
    connection->Close("closed by this daemon");
  }
}

void
PeerOutbound::Connect()
{
  const auto now = Clock::now();
  if (now < earliestConnectAt_) {
    return;
  }
  connectStartedAt_ = now;
  connecting_ = std::make_shared<tcp::socket>(io_);
  if (!OpenSocket()) {
    return;
  }
  const tcp::endpoint to{ asio::ip::make_address(address_.host_),
                          address_.port_ };
  connecting_->async_connect(to,
                             [self = shared_from_this(), socket = connecting_](
                               const std::error_code& aError) {
                               if (self->connecting_ != socket) {
                                 return;
                               }
                               if (aError) {
                                 self->Fail(aError.message());
                                 return;
                               }
                               self->connecting_ = nullptr;
                               self->OnConnected(std::move(*socket));
                             });
}

// Binds the socket to this daemon's own address, so that the peer and the
// network in between can distinguish several daemons on one machine.
bool
PeerOutbound::OpenSocket()
{
  std::error_code error;
  const auto to = asio::ip::make_address(address_.host_, error);
  if (!error) {
    connecting_->open(to.is_v4() ? tcp::v4() : tcp::v6(), error);
  }
  if (error) {
    Fail(error.message());
    return false;
  }
  const auto from = asio::ip::make_address(identity_.listen_.host_, error);
  if (!error && !from.is_unspecified() && from.is_v4() == to.is_v4()) {
    connecting_->bind(tcp::endpoint(from, 0), error);
  }
  return true;
}

void
PeerOutbound::OnConnected(tcp::socket aSocket)
{
  const std::weak_ptr<PeerOutbound> weak = weak_from_this();
  Http2Handler handler;
  handler.onHeader_ =
    [weak](std::int32_t, std::string_view aName, std::string_view aValue) {
      if (const auto self = weak.lock()) {
        self->OnHeader(aName, aValue);
      }
    };
  handler.onHeadersEnd_ = [](std::int32_t) {};
  handler.onData_ = [](std::int32_t, std::string_view) {};
  handler.onStreamEnd_ = [](std::int32_t) {};
  handler.onClosed_ = [weak](std::string_view aReason) {
    if (const auto self = weak.lock(); self && self->connection_ != nullptr) {
      self->Fail(aReason);
    }
  };
  connection_ = std::make_shared<Http2Connection>(
    std::move(aSocket), Http2Role::Client, std::move(handler), metrics_);
  lastPingAt_ = Clock::now();
  OpenStreams();
  connection_->Start();
}

void
PeerOutbound::OpenStreams()
{
  const std::string authorization = "Bearer " + identity_.token_;
  for (std::size_t index = 0; index < kPeerChannelCount; ++index) {
    const std::array<nghttp2_nv, 7> headers{ {
      Header(":method", "POST"),
      Header(":scheme", "http"),
      Header(":authority", "verbenawell"),
      Header(":path", kChannelPaths.at(index)),
      Header(kClusterHeader, identity_.cluster_),
      Header(kDaemonHeader, identity_.daemon_.Value()),
      Header(kTokenHeader, authorization),
    } };
    nghttp2_data_provider provider{};
    provider.source.ptr = this;
    provider.read_callback = ReadFrames;
    channels_.at(index).stream_ = nghttp2_submit_request(connection_->Session(),
                                                         nullptr,
                                                         headers.data(),
                                                         headers.size(),
                                                         &provider,
                                                         &channels_.at(index));
  }
}

ssize_t
PeerOutbound::ReadFrames(nghttp2_session* aSession,
                         std::int32_t aStream,
                         std::uint8_t* aBuffer,
                         std::size_t aSize,
                         std::uint32_t*,
                         nghttp2_data_source* aSource,
                         void*)
{
  auto& self = *static_cast<PeerOutbound*>(aSource->ptr);
  auto* channel = static_cast<Channel*>(
    nghttp2_session_get_stream_user_data(aSession, aStream));
  std::size_t copied = 0;
  while (copied < aSize && !channel->frames_.empty()) {
    const std::string& frame = channel->frames_.front();
    const std::size_t count =
      std::min(aSize - copied, frame.size() - channel->sent_);
    std::copy_n(frame.data() + channel->sent_, count, aBuffer + copied);
    copied += count;
    channel->sent_ += count;
    self.queuedBytes_ -= count;
    if (channel->sent_ == frame.size()) {
      channel->frames_.pop_front();
      channel->sent_ = 0;
    }
  }
  if (copied == 0) {
    return NGHTTP2_ERR_DEFERRED;
  }
  return static_cast<ssize_t>(copied);
}

void
PeerOutbound::OnHeader(std::string_view aName, std::string_view aValue)
{
  if (aName != ":status") {
    return;
  }
  if (aValue == "200") {
    backoff_ = kMinBackoff;
    if (std::exchange(failureLogged_, false)) {
      WriteLogLine({ LogLevel::Info,
                     "peer-connected",
                     { { "address", ToString(address_) } } });
    }
  } else if (connection_ != nullptr) {
    Fail("refused with status " + std::string(aValue));
  }
}

void
PeerOutbound::Fail(std::string_view aReason)
{
  if (!std::exchange(failureLogged_, true)) {
    WriteLogLine({ LogLevel::Warning,
                   "peer-connection-failed",
                   { { "address", ToString(address_) },
                     { "reason", std::string(aReason) } } });
  }
  Close();
  earliestConnectAt_ = Clock::now() + backoff_;
  backoff_ = std::min(2 * backoff_, kMaxBackoff);
}

void
PeerOutbound::ClearQueues()
{
  for (Channel& channel : channels_) {
    for (std::size_t index = 0; index < channel.frames_.size(); ++index) {
      metrics_.Increment(Counter::PeerMessagesDropped);
    }
    channel = {};
  }
  queuedBytes_ = 0;
}

} // namespace verbenawell
