#include "verbenawell/adapters/internal/PeerInbound.h"

#include "verbenawell/adapters/internal/PeerChannel.h"
#include "verbenawell/adapters/internal/PeerLimits.h"
#include "verbenawell/codec/DecodeError.h"
#include "verbenawell/codec/PeerCodec.h"

#include <array>
#include <utility>

#include <openssl/crypto.h>

namespace verbenawell {

namespace {

constexpr std::size_t kMaxHeaderValue = 1024;

bool
EqualInConstantTime(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         CRYPTO_memcmp(aLeft.data(), aRight.data(), aLeft.size()) == 0;
}

// Data source of a response without a body: it never provides data, which keeps
// the stream open.
ssize_t
DeferIndefinitely(nghttp2_session*,
                  std::int32_t,
                  std::uint8_t*,
                  std::size_t,
                  std::uint32_t*,
                  nghttp2_data_source*,
                  void*)
{
  return NGHTTP2_ERR_DEFERRED;
}

} // namespace

PeerInbound::PeerInbound(const PeerIdentity& aIdentity,
                         Metrics& aMetrics,
                         EventSink aSink)
  : identity_(aIdentity)
  , metrics_(aMetrics)
  , sink_(std::move(aSink))
  , acceptedAt_(Clock::now())
{
}

void
PeerInbound::Start(asio::ip::tcp::socket aSocket)
{
  // The connection's pending operations keep it alive; it must not keep this
  // object alive through its handler.
  const std::weak_ptr<PeerInbound> weak = weak_from_this();
  const auto withSelf = [weak](auto aMethod) {
    return [weak, aMethod](auto... aArguments) {
      if (const auto self = weak.lock()) {
        ((*self).*aMethod)(aArguments...);
      }
    };
  };
  connection_ = std::make_shared<Http2Connection>(
    std::move(aSocket),
    Http2Role::Server,
    Http2Handler{ withSelf(&PeerInbound::OnHeader),
                  withSelf(&PeerInbound::OnHeadersEnd),
                  withSelf(&PeerInbound::OnData),
                  withSelf(&PeerInbound::OnStreamEnd),
                  withSelf(&PeerInbound::OnClosed) },
    metrics_);
  connection_->Start();
}

void
PeerInbound::Tick(Clock::time_point aNow)
{
  if (!authenticated_ && aNow - acceptedAt_ > kHandshakeTimeout) {
    RejectFrame("no authenticated request in time");
  } else if (aNow - connection_->LastReceivedAt() > kInboundInactivityTimeout) {
    connection_->Close("peer is silent: nothing received within the time-out");
  }
}

void
PeerInbound::OnHeader(std::int32_t aStream,
                      std::string_view aName,
                      std::string_view aValue)
{
  if (aValue.size() > kMaxHeaderValue) {
    return;
  }
  Stream& stream = streams_[aStream];
  if (aName == ":path") {
    stream.path_ = aValue;
  } else if (aName == kClusterHeader) {
    stream.cluster_ = aValue;
  } else if (aName == kDaemonHeader) {
    stream.from_ = DaemonId{ std::string(aValue) };
  } else if (aName == kTokenHeader) {
    stream.token_ = aValue;
  }
}

void
PeerInbound::OnHeadersEnd(std::int32_t aStream)
{
  Stream& stream = streams_[aStream];
  if (!IsAuthorized(stream)) {
    if (!std::exchange(refusalCounted_, true)) {
      metrics_.Increment(Counter::PeerUnauthorized);
    }
    Respond(aStream, "403");
    connection_->Terminate();
    return;
  }
  if (!ParseChannelPath(stream.path_)) {
    Respond(aStream, "404");
    return;
  }
  stream.accepted_ = true;
  authenticated_ = true;
  Respond(aStream, "200");
}

bool
PeerInbound::IsAuthorized(const Stream& aStream) const
{
  return aStream.cluster_ == identity_.cluster_ && !aStream.from_.IsEmpty() &&
         EqualInConstantTime(aStream.token_, "Bearer " + identity_.token_);
}

void
PeerInbound::Respond(std::int32_t aStream, std::string_view aStatus)
{
  std::string name = ":status";
  std::string value{ aStatus };
  const nghttp2_nv status{ reinterpret_cast<std::uint8_t*>(name.data()),
                           reinterpret_cast<std::uint8_t*>(value.data()),
                           name.size(),
                           value.size(),
                           NGHTTP2_NV_FLAG_NONE };
  nghttp2_data_provider provider{};
  provider.read_callback = DeferIndefinitely;
  const bool open = aStatus == "200";
  nghttp2_submit_response(
    connection_->Session(), aStream, &status, 1, open ? &provider : nullptr);
}

void
PeerInbound::OnData(std::int32_t aStream, std::string_view aBytes)
{
  const auto found = streams_.find(aStream);
  if (found == streams_.end() || !found->second.accepted_) {
    return;
  }
  Stream& stream = found->second;
  try {
    stream.reader_.Consume(aBytes, [&](std::string_view aMessage) {
      sink_(PeerMessageReceived{ stream.from_, DecodePeerMessage(aMessage) });
    });
  } catch (const DecodeError& error) {
    RejectFrame(error.what());
  }
}

void
PeerInbound::OnStreamEnd(std::int32_t aStream)
{
  const auto found = streams_.find(aStream);
  if (found == streams_.end()) {
    return;
  }
  const bool truncated = found->second.reader_.IsWithinMessage();
  streams_.erase(found);
  if (truncated) {
    RejectFrame("stream ended within a message");
  }
}

// A connection that ends before it has authenticated counts as invalid input
// too.
void
PeerInbound::OnClosed(std::string_view)
{
  bool isInvalid = !authenticated_ && !refusalCounted_;
  for (const auto& [id, stream] : streams_) {
    isInvalid = isInvalid || stream.reader_.IsWithinMessage();
  }
  if (isInvalid && !std::exchange(invalidCounted_, true)) {
    metrics_.Increment(Counter::PeerFramesInvalid);
  }
  streams_.clear();
}

void
PeerInbound::RejectFrame(std::string_view aReason)
{
  if (!std::exchange(invalidCounted_, true)) {
    metrics_.Increment(Counter::PeerFramesInvalid);
  }
  connection_->Close(aReason);
}

} // namespace verbenawell
