#pragma once

#include "verbenawell/core/Endpoint.h"
#include "verbenawell/core/Random.h"

#include "Fault.h"

#include <cstdint>
#include <list>
#include <memory>
#include <vector>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace standins {

class ProxyConnection;

/// Forwards TCP connections from one address to another and injects faults by
/// rules. Runs on the thread of its `io_context`.
class Proxy
{
public:
  Proxy(asio::io_context& aIo,
        const verbenawell::Endpoint& aListen,
        verbenawell::Endpoint aTo,
        std::uint64_t aSeed);

  /// Applies a rule. A rule for new connections replaces the earlier ones of
  /// the same client; a rule for all clients replaces all earlier rules.
  void Apply(const FaultRule& aRule);

private:
  void Accept();
  void StartConnection(asio::ip::tcp::socket aClient);
  bool Selects(const FaultRule& aRule, const std::string& aFrom);

  asio::io_context& io_;
  verbenawell::Endpoint to_;
  verbenawell::Random random_;
  asio::ip::tcp::acceptor acceptor_;
  std::vector<FaultRule> rules_;
  std::list<std::weak_ptr<ProxyConnection>> connections_;
};

} // namespace standins
