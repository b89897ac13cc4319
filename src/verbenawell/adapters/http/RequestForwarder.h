#pragma once

#include "verbenawell/adapters/http/HttpChannel.h"
#include "verbenawell/adapters/http/HttpListener.h"
#include "verbenawell/adapters/http/OpenExchanges.h"
#include "verbenawell/jobs/core/Effect.h"

#include <functional>
#include <memory>
#include <vector>

namespace verbenawell::jobs {

/// Carries requests to the owner and, at the owner, its answers back.
class RequestForwarder
{
public:
  using KeySource = std::function<RequestKey()>;
  using Sink = std::function<void(Event)>;

  RequestForwarder(asio::io_context& aIo,
                   const Endpoint& aAddress,
                   KeySource aKeys,
                   Sink aSink);

  void Run(const ForwardRequest& aEffect);

  /// Returns false for a request that is not open here.
  bool Answer(RequestKey aKey, const CallerResponse& aAnswer);

private:
  void OnRequest(http::ExchangeId aExchange, const http::Request& aRequest);
  void OnGone(http::ExchangeId aExchange);
  http::Channel& IdleChannel(const Endpoint& aOwner);

  asio::io_context& io_;
  KeySource keys_;
  Sink sink_;
  Endpoint owner_;
  std::vector<std::shared_ptr<http::Channel>> channels_;
  http::OpenExchanges open_;
  http::Listener listener_;
};

} // namespace verbenawell::jobs
