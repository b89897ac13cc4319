#pragma once

#include "verbenawell/adapters/http/HttpListener.h"
#include "verbenawell/core/Endpoint.h"

#include <string>
#include <utility>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace verbenawell::platform {

/// A loopback address on which nothing listens.
inline Endpoint
FreeEndpoint()
{
  asio::io_context io;
  const asio::ip::tcp::acceptor acceptor(
    io, { asio::ip::make_address("127.0.0.1"), 0 });
  return { "127.0.0.1", acceptor.local_endpoint().port() };
}

/// A server that sends the same prepared response to each request and keeps the
/// last request.
class StubServer
{
public:
  StubServer(asio::io_context& aIo,
             http::Response aResponse,
             Endpoint aAddress = FreeEndpoint())
    : address_(std::move(aAddress))
    , listener_(aIo,
                address_,
                http::ListenerLimits{ .bodyBytes_ = 1'000'000 },
                { [this, response = std::move(aResponse)](
                    http::ExchangeId aExchange,
                    const http::Request& aRequest) {
                   target_ = aRequest.target_;
                   targets_.push_back(target_);
                   body_ = aRequest.body_;
                   listener_.Respond(aExchange, response);
                 },
                  [](http::ExchangeId) {} })
  {
  }

  Endpoint address_;
  std::string target_;
  /// The targets of all requests.
  std::vector<std::string> targets_;
  std::string body_;

private:
  http::Listener listener_;
};

} // namespace verbenawell::platform
