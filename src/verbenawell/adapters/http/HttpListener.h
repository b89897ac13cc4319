#pragma once

#include "verbenawell/adapters/http/HttpMessage.h"
#include "verbenawell/core/Endpoint.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <unordered_map>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace verbenawell::http {

class Session;

/// A request on a connection; answered with `Listener::Answer`.
using ExchangeId = std::uint64_t;

struct ListenerHandlers
{
  std::function<void(ExchangeId, const Request&)> request_;
  /// The connection ended before its request was answered.
  std::function<void(ExchangeId)> gone_;
};

/// Accepts connections and reads requests from them, one at a time each.
class Listener
{
public:
  /// Throws `std::system_error` where the address cannot be used.
  Listener(asio::io_context& aIo,
           const Endpoint& aAddress,
           std::size_t aMaxBodyBytes,
           ListenerHandlers aHandlers);
  ~Listener();

  void Answer(ExchangeId aExchange, const Response& aResponse);

  /// Has each connection close behind its next answer.
  void CloseAfterAnswers() { isClosing_ = true; }

private:
  friend class Session;

  void Accept();

  asio::io_context& io_;
  asio::ip::tcp::acceptor acceptor_;
  std::size_t maxBodyBytes_;
  ListenerHandlers handlers_;
  std::unordered_map<ExchangeId, std::weak_ptr<Session>> open_;
  std::unordered_map<const Session*, std::weak_ptr<Session>> sessions_;
  ExchangeId lastExchange_ = 0;
  bool isClosing_ = false;
};

} // namespace verbenawell::http
