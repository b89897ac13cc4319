#pragma once

#include <cstddef>
#include <string>

namespace verbenawell::tests {

inline constexpr std::size_t kLogPort = 0;
inline constexpr std::size_t kVmListPort = 1;
inline constexpr std::size_t kFirstWorkerPort = 10;
inline constexpr std::size_t kFirstDaemonPort = 100;
inline constexpr std::size_t kPortsOfDaemon = 5;
// The control port of a proxy in front of the platform is this far above the
// port that it stands at.
inline constexpr std::size_t kControlPorts = 500;
inline constexpr const char* kHost = "127.0.0.1";
// Servers with a proxy in front listen here, with the port of the proxy.
inline constexpr const char* kHiddenHost = "127.0.0.2";

// Connections of one daemon are told apart from another's by this address.
inline std::string
PeerHost(std::size_t aIndex)
{
  return "127.0.0." + std::to_string(10 + aIndex);
}

} // namespace verbenawell::tests
