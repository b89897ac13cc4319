#pragma once

#include <functional>
#include <memory>

#include <asio/io_context.hpp>
#include <asio/posix/stream_descriptor.hpp>

namespace verbenawell {

/// Detects that a caller closes its connection before it gets a response,
/// without reading from the socket.
class ConnectionWatch : public std::enable_shared_from_this<ConnectionWatch>
{
public:
  using Callback = std::function<void()>;

  /// `aSocket` is duplicated; `aOnClosed` runs on the thread of `aIo`.
  static std::shared_ptr<ConnectionWatch> Start(asio::io_context& aIo,
                                                int aSocket,
                                                Callback aOnClosed);

  ConnectionWatch(asio::io_context& aIo, int aSocket, Callback aOnClosed);

  /// May be called by any thread.
  void Stop();

private:
  void Wait();

  asio::io_context& io_;
  asio::posix::stream_descriptor descriptor_;
  Callback onClosed_;
};

} // namespace verbenawell
