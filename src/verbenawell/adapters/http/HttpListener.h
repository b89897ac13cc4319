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

/// Identifies a received request, for its response.
using ExchangeId = std::uint64_t;

struct ListenerHandlers
{
  std::function<void(ExchangeId, const Request&)> request_;
  /// The connection ended before the response was sent.
  std::function<void(ExchangeId)> disconnected_;
};

/// Accepts connections and reads one request at a time from each.
class Listener
{
public:
  /// Throws `std::system_error` if the address cannot be used.
  Listener(asio::io_context& aIo,
           const Endpoint& aAddress,
           std::size_t aMaxBodyBytes,
           ListenerHandlers aHandlers);
  ~Listener();

  void Respond(ExchangeId aExchange, const Response& aResponse);

  /// Closes each connection after its next response.
  void CloseAfterResponses() { isClosing_ = true; }

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
