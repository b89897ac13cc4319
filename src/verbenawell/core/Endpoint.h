#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace verbenawell {

/// IP address and port of a listener.
struct Endpoint
{
  std::string host_;
  std::uint16_t port_ = 0;

  auto operator<=>(const Endpoint&) const = default;
};

inline std::string
ToString(const Endpoint& aEndpoint)
{
  return aEndpoint.host_ + ":" + std::to_string(aEndpoint.port_);
}

} // namespace verbenawell
