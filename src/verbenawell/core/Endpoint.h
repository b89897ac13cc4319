#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace verbenawell {

/// IP number and port of a listener.
struct Endpoint
{
  std::string host_;
  std::uint16_t port_ = 0;

  auto operator<=>(const Endpoint&) const = default;
};

} // namespace verbenawell
