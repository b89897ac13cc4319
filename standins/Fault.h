#pragma once

#include <chrono>
#include <cstddef>
#include <stdexcept>
#include <string>
#include <variant>

namespace standins {

/// Forwards all bytes unchanged.
struct PassThrough
{};

/// Forwards bytes in both directions after a delay.
struct Delay
{
  std::chrono::milliseconds time_{};
};

/// Keeps the connection open and drops all further bytes in both directions.
struct Stall
{};

/// Forwards bytes to the server and drops the bytes of its responses.
struct DropResponses
{};

/// Closes the connection.
struct Disconnect
{};

/// Closes the connection after this number of response bytes in total.
struct TruncateResponse
{
  std::size_t bytes_ = 0;
};

/// Shuts down the sending side towards the client and continues to read.
struct HalfClose
{};

/// How the proxy treats a connection.
using Fault = std::variant<PassThrough,
                           Delay,
                           Stall,
                           DropResponses,
                           Disconnect,
                           TruncateResponse,
                           HalfClose>;

/// Parses "pass", "delay", "silence", "swallow", "cut", "cut-answer" or
/// "half-close"; throws `std::invalid_argument`.
inline Fault
ParseFault(const std::string& aName,
           std::chrono::milliseconds aDelay,
           std::size_t aBytes)
{
  if (aName == "pass") {
    return PassThrough{};
  }
  if (aName == "delay") {
    return Delay{ aDelay };
  }
  if (aName == "silence") {
    return Stall{};
  }
  if (aName == "swallow") {
    return DropResponses{};
  }
  if (aName == "cut") {
    return Disconnect{};
  }
  if (aName == "cut-answer") {
    return TruncateResponse{ aBytes };
  }
  if (aName == "half-close") {
    return HalfClose{};
  }
  throw std::invalid_argument("unknown fault \"" + aName + "\"");
}

/// A fault and the connections that it applies to.
struct FaultRule
{
  Fault fault_;
  /// Client IP address whose connections are affected; empty means all.
  std::string from_;
  /// Fraction of the connections, drawn at random from the proxy's seed.
  double share_ = 1;
  /// Applies to connections that are open when the rule is set.
  bool appliesToOpen_ = true;
  /// Applies to connections that are opened later.
  bool appliesToNew_ = true;
};

} // namespace standins
