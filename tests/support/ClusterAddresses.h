#pragma once

#include <cstddef>
#include <string>

namespace verbenawell::tests {

inline constexpr std::size_t kLogPort = 0;
inline constexpr std::size_t kVmListPort = 1;
inline constexpr std::size_t kFirstWorkerPort = 10;
inline constexpr std::size_t kFirstDaemonPort = 100;
inline constexpr std::size_t kPortsPerDaemon = 5;
// Difference between the control port and the listening port of a proxy in
// front of the platform.
inline constexpr std::size_t kControlPortOffset = 500;
inline constexpr const char* kHost = "127.0.0.1";
// A server behind a proxy listens at this address, on the port of its proxy.
inline constexpr const char* kProxiedHost = "127.0.0.2";

// A daemon's own address, by which proxies tell its connections from those of
// other daemons.
inline std::string
PeerHost(std::size_t aIndex)
{
  return "127.0.0." + std::to_string(10 + aIndex);
}

} // namespace verbenawell::tests
