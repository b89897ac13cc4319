#pragma once

#include "Cluster.h"

#include <string>
#include <string_view>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace verbenawell::tests {

/// A TCP connection to a daemon on which a test sends arbitrary bytes.
class RawConnection
{
public:
  /// `aReceiveBuffer` is the size of the socket's receive buffer in bytes; 0
  /// keeps the system's default.
  explicit RawConnection(const Endpoint& aAddress, int aReceiveBuffer = 0);

  void Send(std::string_view aBytes);
  void Close() { socket_.close(); }

  /// Reads until the daemon closes the connection.
  std::string ReadToEnd();

private:
  asio::io_context io_;
  asio::ip::tcp::socket socket_{ io_ };
};

/// A caller's request as HTTP/1.1 text.
std::string
MakeRequestText(const CallerRequest& aRequest);

/// The HTTP/2 connection preface and request headers of a peer daemon with the
/// token; the stream stays open for `PeerData`.
std::string
PeerRequestStart(const std::string& aToken);

/// A data frame of the stream that `PeerRequestStart` opened.
std::string
PeerData(std::string_view aBytes, bool aLast);

/// An HTTP/2 ping frame, which the daemon must acknowledge.
std::string
PeerPing();

} // namespace verbenawell::tests
