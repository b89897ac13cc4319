#pragma once

#include <chrono>
#include <cstddef>
#include <string_view>

namespace verbenawell {

using std::chrono_literals::operator""ms;

inline constexpr std::string_view kClusterHeader = "verbenawell-cluster";
inline constexpr std::string_view kDaemonHeader = "verbenawell-daemon";
inline constexpr std::string_view kTokenHeader = "authorization";

/// Interval between the pings on a connection to another daemon.
inline constexpr std::chrono::milliseconds kConnectionPingInterval = 500ms;

/// A connection on which nothing arrives for this time, three ping intervals,
/// is replaced. Two pings in a row may be late.
inline constexpr std::chrono::milliseconds kInactivityTimeout = 1500ms;

/// The side that accepted a connection waits for one ping interval more, so
/// that the connecting side, which can replace the connection, detects the
/// failure first.
inline constexpr std::chrono::milliseconds kInboundInactivityTimeout = 2000ms;

/// Time for an accepted connection to send its cluster name and token.
inline constexpr std::chrono::milliseconds kHandshakeTimeout = 2000ms;

inline constexpr std::chrono::milliseconds kConnectTimeout = 1000ms;

/// A connection without messages for this time is closed: with hundreds of
/// daemons, pings on a full mesh would cost more than the control traffic.
inline constexpr std::chrono::milliseconds kUnusedTimeout = 10'000ms;

inline constexpr std::chrono::milliseconds kMinBackoff = 100ms;
inline constexpr std::chrono::milliseconds kMaxBackoff = 1000ms;

/// How often connections are checked against these limits.
inline constexpr std::chrono::milliseconds kCheckInterval = 100ms;

/// A longer gap between two checks means that this process was paused. The
/// pause is then not counted as inactivity of the peers.
inline constexpr std::chrono::milliseconds kPauseThreshold = 1000ms;

/// Limit of the send queue to a peer that reads slowly: two messages of the
/// maximum size.
inline constexpr std::size_t kMaxQueuedBytes = 2UL * ((1UL << 20U) + 4UL);

/// Limits of the number of accepted connections, and of those among them that
/// have not authenticated yet.
inline constexpr std::size_t kMaxInbound = 2048;
inline constexpr std::size_t kMaxUnauthenticated = 256;

} // namespace verbenawell
