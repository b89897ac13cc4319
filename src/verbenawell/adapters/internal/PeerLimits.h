#pragma once

#include <chrono>
#include <cstddef>
#include <string_view>

namespace verbenawell {

using std::chrono_literals::operator""ms;

inline constexpr std::string_view kClusterHeader = "verbenawell-cluster";
inline constexpr std::string_view kDaemonHeader = "verbenawell-daemon";
inline constexpr std::string_view kTokenHeader = "authorization";

inline constexpr std::chrono::milliseconds kPingInterval = 500ms;

/// A connection on which nothing arrives for this time is replaced: two pings
/// may be late, the third may not.
inline constexpr std::chrono::milliseconds kInactivityTimeout = 1500ms;

/// The side that accepted a connection waits for one more ping, so that the
/// side that can replace it notices first.
inline constexpr std::chrono::milliseconds kInboundInactivityTimeout = 2000ms;

/// Time for a new connection to name its cluster and token.
inline constexpr std::chrono::milliseconds kHandshakeTimeout = 2000ms;

inline constexpr std::chrono::milliseconds kConnectTimeout = 1000ms;

/// A connection without messages for this time is closed: at hundreds of
/// daemons, pings on a full mesh would cost more than the control traffic.
inline constexpr std::chrono::milliseconds kUnusedTimeout = 10'000ms;

inline constexpr std::chrono::milliseconds kMinBackoff = 100ms;
inline constexpr std::chrono::milliseconds kMaxBackoff = 1000ms;

/// How often connections are checked against these limits.
inline constexpr std::chrono::milliseconds kCheckInterval = 100ms;

/// A gap between checks above this is a pause of this process.
inline constexpr std::chrono::milliseconds kPauseThreshold = 1000ms;

/// Room for two longest messages to a peer that is slow to read.
inline constexpr std::size_t kMaxQueuedBytes = 2UL * ((1UL << 20U) + 4UL);

/// Connections accepted at once, and those among them that have not yet shown
/// the token.
inline constexpr std::size_t kMaxInbound = 2048;
inline constexpr std::size_t kMaxUnauthenticated = 256;

} // namespace verbenawell
