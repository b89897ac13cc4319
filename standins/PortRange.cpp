#include "PortRange.h"

#include <stdexcept>
#include <string>
#include <system_error>

#include <unistd.h>

namespace standins {

namespace {

using asio::ip::tcp;

// The ranges end below 32768, where the ephemeral ports of Linux start. The
// kernel could assign an ephemeral port to a connection of another process
// before a stand-in listens on it.
constexpr std::size_t kFirstPort = 10'000;
constexpr std::size_t kRanges = 22;

// Reserves a range by listening on its first port. The socket is bound without
// SO_REUSEADDR, so no second process can bind the same port.
bool
Reserve(tcp::acceptor& aReservation, std::size_t aRange)
{
  const auto port =
    static_cast<std::uint16_t>(kFirstPort + aRange * PortRange::kSize);
  std::error_code error;
  aReservation.open(tcp::v4());
  aReservation.bind({ asio::ip::address_v4::loopback(), port }, error);
  if (!error) {
    aReservation.listen(1, error);
  }
  if (error) {
    aReservation.close();
  }
  return !error;
}

} // namespace

PortRange::PortRange()
  : reservation_(io_)
{
  const auto first = static_cast<std::size_t>(getpid());
  for (std::size_t tried = 0; tried < kRanges; ++tried) {
    if (Reserve(reservation_, (first + tried) % kRanges)) {
      return;
    }
  }
  throw std::runtime_error("all " + std::to_string(kRanges) +
                           " ranges of loopback ports are taken");
}

std::uint16_t
PortRange::At(std::size_t aOffset) const
{
  if (aOffset + 1 >= kSize) {
    throw std::out_of_range("port offset " + std::to_string(aOffset) +
                            " is beyond the range");
  }
  return static_cast<std::uint16_t>(reservation_.local_endpoint().port() + 1 +
                                    aOffset);
}

} // namespace standins
