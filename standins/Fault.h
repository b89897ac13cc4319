#pragma once

#include <chrono>
#include <cstddef>
#include <stdexcept>
#include <string>
#include <variant>

namespace standins {

/// Forwards all bytes unchanged.
struct Pass
{};

/// Forwards bytes in both directions after a delay.
struct Delay
{
  std::chrono::milliseconds time_{};
};

/// Keeps the connection open and drops all further bytes in both directions.
struct Silence
{};

/// Forwards bytes to the server and drops the bytes of its responses.
struct SwallowAnswers
{};

/// Closes the connection.
struct Cut
{};

/// Closes the connection after this number of response bytes in total.
struct CutAnswer
{
  std::size_t bytes_ = 0;
};

/// Shuts down the sending side towards the client and continues to read.
struct HalfClose
{};

/// How the proxy treats a connection.
using Fault =
  std::variant<Pass, Delay, Silence, SwallowAnswers, Cut, CutAnswer, HalfClose>;

/// Parses "pass", "delay", "silence", "swallow", "cut", "cut-answer" or
/// "half-close"; throws `std::invalid_argument`.
inline Fault
ParseFault(const std::string& aName,
           std::chrono::milliseconds aDelay,
           std::size_t aBytes)
{
  if (aName == "pass") {
    return Pass{};
  }
  if (aName == "delay") {
    return Delay{ aDelay };
  }
  if (aName == "silence") {
    return Silence{};
  }
  if (aName == "swallow") {
    return SwallowAnswers{};
  }
  if (aName == "cut") {
    return Cut{};
  }
  if (aName == "cut-answer") {
    return CutAnswer{ aBytes };
  }
  if (aName == "half-close") {
    return HalfClose{};
  }
  throw std::invalid_argument("unknown fault \"" + aName + "\"");
}

/// A fault and the connections that it applies to.
struct Rule
{
  Fault fault_;
  /// Client IP address whose connections are affected; empty means all.
  std::string from_;
  /// Fraction of the connections, drawn at random from the proxy's seed.
  double share_ = 1;
  /// Applies to connections that are open when the rule is set.
  bool open_ = true;
  /// Applies to connections that are opened later.
  bool coming_ = true;
};

} // namespace standins
