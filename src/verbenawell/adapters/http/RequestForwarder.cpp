#include "verbenawell/adapters/http/RequestForwarder.h"

#include "verbenawell/codec/jobs/PeerReportCodec.h"
#include "verbenawell/codec/jobs/RequestCodec.h"

#include <charconv>
#include <optional>
#include <string>
#include <utility>

namespace verbenawell::jobs {

namespace {

using namespace std::chrono_literals;

constexpr const char* kTimeLeftHeader = "Time-Left-Us";
constexpr const char* kSenderHeader = "Sender";
constexpr const char* kReportTarget = "/report";
constexpr int kOk = 200;
// A connection between zones takes a few milliseconds. Without this limit, a
// request to a daemon that is cut off would end at its deadline as one that may
// have arrived.
constexpr Duration kConnectTimeout = 500ms;
constexpr Duration kReportTimeout = 1s;
// 20,000 keys take about 1 MB.
constexpr std::size_t kMaxReportBytes = 4'194'304;
// The owners of all shards and two more are asked at a time.
constexpr std::size_t kMaxReportChannels = 20;

std::optional<CallerResponse>
ParseCallerResponse(const http::Result& aResult)
{
  const auto* response = std::get_if<http::Response>(&aResult);
  if (response == nullptr || response->status_ != kOk) {
    return std::nullopt;
  }
  try {
    return DecodeResponse(response->body_);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

Duration
TimeLeftOf(const http::Request& aRequest)
{
  const std::string_view text = aRequest.Find(kTimeLeftHeader);
  Duration::rep microseconds = 0;
  std::from_chars(text.data(), text.data() + text.size(), microseconds);
  return Duration{ microseconds };
}

std::optional<Endpoint>
SenderOf(const http::Request& aRequest)
{
  const std::string_view text = aRequest.Find(kSenderHeader);
  const auto colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return std::nullopt;
  }
  Endpoint sender{ std::string(text.substr(0, colon)), 0 };
  std::from_chars(
    text.data() + colon + 1, text.data() + text.size(), sender.port_);
  return sender.port_ == 0 ? std::nullopt : std::optional{ std::move(sender) };
}

} // namespace

RequestForwarder::RequestForwarder(asio::io_context& aIo,
                                   const Endpoint& aAddress,
                                   const http::ListenerLimits& aLimits,
                                   KeySource aKeys,
                                   Sink aSink)
  : io_(aIo)
  , address_(aAddress)
  , keys_(std::move(aKeys))
  , sink_(std::move(aSink))
  , listener_(
      aIo,
      aAddress,
      aLimits,
      { [this](http::ExchangeId aExchange, const http::Request& aRequest) {
         OnRequest(aExchange, aRequest);
       },
        [this](http::ExchangeId aExchange) { OnDisconnected(aExchange); } })
{
}

void
RequestForwarder::Run(const ForwardRequest& aEffect)
{
  http::Request request{ "POST",
                         "/requests",
                         { { kTimeLeftHeader,
                             std::to_string(aEffect.timeLeft_.count()) },
                           { kSenderHeader, ToString(address_) } },
                         EncodeRequest(aEffect.request_) };
  const ShardIndex shard = aEffect.request_.shard_;
  IdleChannel(shard, aEffect.owner_)
    .Call(std::move(request),
          http::CallLimits{ aEffect.timeLeft_, std::nullopt, kConnectTimeout },
          [this, shard, key = aEffect.key_](const http::Result& aResult) {
            const auto* failure = std::get_if<http::Failure>(&aResult);
            sink_({ shard,
                    ForwardCompleted{ key,
                                      ParseCallerResponse(aResult),
                                      failure == nullptr ||
                                        failure->mayHaveArrived_ } });
          });
}

void
RequestForwarder::Run(const RequestPeerReport& aEffect)
{
  if (!reportChannels_.contains(aEffect.peer_) &&
      reportChannels_.size() >= kMaxReportChannels) {
    std::erase_if(reportChannels_, [](const auto& aEntry) {
      const bool isIdle = aEntry.second->IsIdle();
      if (isIdle) {
        aEntry.second->Close();
      }
      return isIdle;
    });
  }
  auto& channel = reportChannels_[aEffect.peer_];
  if (!channel) {
    channel =
      std::make_shared<http::Channel>(io_, aEffect.peer_, kMaxReportBytes);
  }
  // A peer that has not responded to the request before is not asked twice.
  if (!channel->IsIdle()) {
    return;
  }
  channel->Call({ "POST",
                  kReportTarget,
                  { { kSenderHeader, ToString(address_) } },
                  EncodeKnownVersion(aEffect.known_) },
                kReportTimeout,
                [this, peer = aEffect.peer_](const http::Result& aResult) {
                  OnReport(peer, aResult);
                });
}

// A daemon of an earlier version responds with an error, and one that is down
// does not respond.
void
RequestForwarder::OnReport(const Endpoint& aPeer, const http::Result& aResult)
{
  const auto* response = std::get_if<http::Response>(&aResult);
  if (response == nullptr || response->status_ != kOk) {
    return;
  }
  try {
    sink_(
      { {}, PeerReportReceived{ aPeer, DecodePeerReport(response->body_) } });
  } catch (const std::exception& error) {
    sink_(
      { {}, RecordInvalid{ "report of " + ToString(aPeer), error.what() } });
  }
}

// A connection carries one request at a time, so that a slow response delays no
// other request.
http::Channel&
RequestForwarder::IdleChannel(ShardIndex aShard, const Endpoint& aOwner)
{
  OwnerConnections& connections = owners_[aShard];
  if (connections.owner_ != aOwner) {
    connections.owner_ = aOwner;
    const auto old = std::move(connections.channels_);
    connections.channels_.clear();
    for (const auto& channel : old) {
      channel->Close();
    }
  }
  for (const auto& channel : connections.channels_) {
    if (channel->IsIdle()) {
      return *channel;
    }
  }
  return *connections.channels_.emplace_back(
    std::make_shared<http::Channel>(io_, aOwner, kMaxBodyBytes));
}

void
RequestForwarder::OnRequest(http::ExchangeId aExchange,
                            const http::Request& aRequest)
{
  if (aRequest.target_ == kReportTarget) {
    OnReportRequest(aExchange, aRequest);
    return;
  }
  CallerRequest request;
  try {
    request = DecodeRequest(aRequest.body_);
  } catch (const std::exception& error) {
    listener_.Respond(aExchange, { 400, {}, error.what() });
    return;
  }
  const RequestKey key = keys_();
  open_.Add(key, aExchange);
  sink_({ {},
          CallerRequested{ key,
                           std::move(request),
                           TimeLeftOf(aRequest),
                           true,
                           SenderOf(aRequest) } });
}

void
RequestForwarder::OnReportRequest(http::ExchangeId aExchange,
                                  const http::Request& aRequest)
{
  ConfigurationVersion known;
  try {
    known = DecodeKnownVersion(aRequest.body_);
  } catch (const std::exception& error) {
    listener_.Respond(aExchange, { 400, {}, error.what() });
    return;
  }
  const RequestKey key = keys_();
  open_.Add(key, aExchange);
  sink_({ {}, PeerReportRequested{ key, known } });
}

void
RequestForwarder::OnDisconnected(http::ExchangeId aExchange)
{
  if (const auto key = open_.Remove(aExchange); key) {
    sink_({ {}, CallerDisconnected{ *key } });
  }
}

bool
RequestForwarder::Respond(RequestKey aKey, const CallerResponse& aResponse)
{
  const auto exchange = open_.Remove(aKey);
  if (!exchange) {
    return false;
  }
  listener_.Respond(*exchange, { kOk, {}, EncodeResponse(aResponse) });
  return true;
}

void
RequestForwarder::Respond(const SendPeerReport& aEffect)
{
  if (const auto exchange = open_.Remove(aEffect.key_); exchange) {
    listener_.Respond(*exchange,
                      { kOk, {}, EncodePeerReport(aEffect.report_) });
  }
}

} // namespace verbenawell::jobs
