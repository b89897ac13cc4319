#pragma once

#include "verbenawell/adapters/http/HttpChannel.h"
#include "verbenawell/adapters/http/HttpListener.h"
#include "verbenawell/adapters/http/OpenExchanges.h"
#include "verbenawell/jobs/core/Effect.h"
#include "verbenawell/jobs/sharding/ReduceShards.h"

#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <vector>

namespace verbenawell::jobs {

/// Forwards callers' requests to the daemons that own the shards and, in these
/// daemons, sends the responses back. Carries the reports that daemons request
/// from each other.
class RequestForwarder
{
public:
  using KeySource = std::function<RequestKey()>;
  using Sink = std::function<void(ShardEvent)>;

  /// Size limit of a forwarded request.
  static constexpr std::size_t kMaxBodyBytes = 1'048'576;

  RequestForwarder(asio::io_context& aIo,
                   const Endpoint& aAddress,
                   const http::ListenerLimits& aLimits,
                   KeySource aKeys,
                   Sink aSink);

  void Run(const ForwardRequest& aEffect);
  void Run(const RequestPeerReport& aEffect);

  /// Sends the response to a forwarded request. Returns false if no request of
  /// this key is open in this daemon.
  bool Respond(RequestKey aKey, const CallerResponse& aResponse);

  /// Sends the response to a request for a report.
  void Respond(const SendPeerReport& aEffect);

private:
  void OnRequest(http::ExchangeId aExchange, const http::Request& aRequest);
  void OnReportRequest(http::ExchangeId aExchange,
                       const http::Request& aRequest);
  void OnReport(const Endpoint& aPeer, const http::Result& aResult);
  void OnDisconnected(http::ExchangeId aExchange);
  http::Channel& IdleChannel(ShardIndex aShard, const Endpoint& aOwner);

  struct OwnerConnections
  {
    Endpoint owner_;
    std::vector<std::shared_ptr<http::Channel>> channels_;
  };

  asio::io_context& io_;
  Endpoint address_;
  KeySource keys_;
  Sink sink_;
  std::map<ShardIndex, OwnerConnections> owners_;
  std::map<Endpoint, std::shared_ptr<http::Channel>> reportChannels_;
  http::OpenExchanges open_;
  http::Listener listener_;
};

} // namespace verbenawell::jobs
