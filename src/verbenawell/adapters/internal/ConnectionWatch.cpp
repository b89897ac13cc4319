#include "verbenawell/adapters/internal/ConnectionWatch.h"

#include <utility>

#include <asio/post.hpp>
#include <sys/socket.h>
#include <unistd.h>

namespace verbenawell {

std::shared_ptr<ConnectionWatch>
ConnectionWatch::Start(asio::io_context& aIo, int aSocket, Callback aOnClosed)
{
  auto watch =
    std::make_shared<ConnectionWatch>(aIo, dup(aSocket), std::move(aOnClosed));
  asio::post(aIo, [watch] { watch->Wait(); });
  return watch;
}

ConnectionWatch::ConnectionWatch(asio::io_context& aIo,
                                 int aSocket,
                                 Callback aOnClosed)
  : io_(aIo)
  , descriptor_(aIo, aSocket)
  , onClosed_(std::move(aOnClosed))
{
}

void
ConnectionWatch::Stop()
{
  asio::post(io_, [self = shared_from_this()] {
    std::error_code ignored;
    self->descriptor_.close(ignored);
  });
}

void
ConnectionWatch::Wait()
{
  if (!descriptor_.is_open()) {
    return;
  }
  descriptor_.async_wait(
    asio::posix::stream_descriptor::wait_read,
    [self = shared_from_this()](const std::error_code& aError) {
      if (aError || !self->descriptor_.is_open()) {
        return;
      }
      char byte = 0;
      const ssize_t received = recv(
        self->descriptor_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
      // The watch ends when bytes of the next request arrive: a later close
      // cannot be detected without reading them.
      if (received <= 0) {
        self->onClosed_();
      }
    });
}

} // namespace verbenawell
