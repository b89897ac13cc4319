#include "FreePort.h"

#include <set>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace verbenawell::tests {

std::uint16_t
FreePort()
{
  static std::set<std::uint16_t> taken;
  while (true) {
    asio::io_context io;
    const asio::ip::tcp::acceptor probe{ io, { asio::ip::tcp::v4(), 0 } };
    const std::uint16_t port = probe.local_endpoint().port();
    if (taken.insert(port).second) {
      return port;
    }
  }
}

} // namespace verbenawell::tests
