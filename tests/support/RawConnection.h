#pragma once

#include "Cluster.h"

#include <string>
#include <string_view>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace verbenawell::tests {

/// A TCP connection to a daemon whose bytes the test decides.
class RawConnection
{
public:
  /// `aReceiveBuffer` limits what this side takes without reading, in
  /// bytes; 0 leaves the system's default.
  explicit RawConnection(const Endpoint& aAddress, int aReceiveBuffer = 0);

  void Send(std::string_view aBytes);
  void Close() { socket_.close(); }

  /// Everything until the other side closes.
  std::string ReadToEnd();

private:
  asio::io_context io_;
  asio::ip::tcp::socket socket_{ io_ };
};

/// The bytes of a caller's whole request.
std::string
RequestText(const CallerRequest& aRequest);

/// The first bytes of another daemon that shows the token; its stream stays
/// open for `PeerData`.
std::string
PeerGreeting(const std::string& aToken);

/// A piece of the stream that `PeerGreeting` opened.
std::string
PeerData(std::string_view aBytes, bool aLast);

/// An HTTP/2 ping, which the other side is to answer.
std::string
PeerPing();

} // namespace verbenawell::tests
