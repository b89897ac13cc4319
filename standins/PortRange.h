#pragma once

#include <cstddef>
#include <cstdint>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace standins {

/// Reserves a range of loopback TCP ports until its destruction. No other
/// `PortRange` on this machine gets the same ports.
class PortRange
{
public:
  static constexpr std::size_t kSize = 1'000;

  /// Throws `std::runtime_error` if all ranges are reserved.
  PortRange();

  /// Returns the port at the offset; throws `std::out_of_range`.
  [[nodiscard]] std::uint16_t At(std::size_t aOffset) const;

private:
  asio::io_context io_;
  asio::ip::tcp::acceptor reservation_;
};

} // namespace standins
