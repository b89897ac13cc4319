#pragma once

#include <cstddef>
#include <cstdint>

#include <asio/io_context.hpp>
#include <asio/ip/tcp.hpp>

namespace standins {

/// Loopback TCP ports that no other range of this machine holds while the
/// object lives. Throws `std::runtime_error` where all ranges are taken.
class PortRange
{
public:
  static constexpr std::size_t kSize = 1'000;

  PortRange();

  /// Throws `std::out_of_range` for an offset beyond the range.
  [[nodiscard]] std::uint16_t At(std::size_t aOffset) const;

private:
  asio::io_context io_;
  asio::ip::tcp::acceptor claim_;
};

} // namespace standins
