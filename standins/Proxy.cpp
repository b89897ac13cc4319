#include "Proxy.h"

#include "ProxyConnection.h"

#include <limits>
#include <utility>

#include <asio/ip/address.hpp>

namespace standins {

using asio::ip::tcp;

namespace {

tcp::endpoint
Resolve(const verbenawell::Endpoint& aEndpoint)
{
  return { asio::ip::make_address(aEndpoint.host_), aEndpoint.port_ };
}

} // namespace

Proxy::Proxy(asio::io_context& aIo,
             const verbenawell::Endpoint& aListen,
             verbenawell::Endpoint aTo,
             std::uint64_t aSeed)
  : io_(aIo)
  , to_(std::move(aTo))
  , random_(aSeed)
  , acceptor_(aIo, Resolve(aListen))
{
  Accept();
}

void
Proxy::Apply(const FaultRule& aRule)
{
  if (aRule.appliesToNew_) {
    std::erase_if(rules_, [&](const FaultRule& aOld) {
      return aRule.from_.empty() || aOld.from_ == aRule.from_;
    });
    rules_.push_back(aRule);
  }
  for (const auto& weak : connections_) {
    const auto connection = weak.lock();
    if (connection && aRule.appliesToOpen_ &&
        Selects(aRule, connection->From())) {
      connection->SetFault(aRule.fault_);
    }
  }
}

void
Proxy::Accept()
{
  acceptor_.async_accept(
    [this](const std::error_code& aError, tcp::socket aClient) {
      if (!aError) {
        StartConnection(std::move(aClient));
      }
      Accept();
    });
}

void
Proxy::StartConnection(tcp::socket aClient)
{
  std::error_code ignored;
  const std::string from =
    aClient.remote_endpoint(ignored).address().to_string();
  Fault fault = PassThrough{};
  for (const FaultRule& rule : rules_) {
    if (Selects(rule, from)) {
      fault = rule.fault_;
    }
  }
  // The connection is closed before any byte is forwarded.
  if (std::holds_alternative<Disconnect>(fault)) {
    return;
  }
  const auto connection =
    std::make_shared<ProxyConnection>(io_, std::move(aClient), fault);
  std::erase_if(connections_,
                [](const auto& aWeak) { return aWeak.expired(); });
  connections_.push_back(connection);
  connection->Start(Resolve(to_));
}

bool
Proxy::Selects(const FaultRule& aRule, const std::string& aFrom)
{
  if (!aRule.from_.empty() && aRule.from_ != aFrom) {
    return false;
  }
  const auto drawn = static_cast<double>(random_());
  return drawn < aRule.share_ * static_cast<double>(
                                  std::numeric_limits<std::uint64_t>::max());
}

} // namespace standins
