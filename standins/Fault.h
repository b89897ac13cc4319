#pragma once

#include <chrono>
#include <cstddef>
#include <stdexcept>
#include <string>
#include <variant>

namespace standins {

/// Bytes pass unchanged.
struct Pass
{};

/// Bytes arrive later.
struct Delay
{
  std::chrono::milliseconds time_{};
};

/// The connection stays open and nothing passes any more, either way.
struct Silence
{};

/// Bytes reach the server; its answers are lost.
struct SwallowAnswers
{};

/// The connection is closed.
struct Cut
{};

/// The connection is closed after so many bytes of the server's answers.
struct CutAnswer
{
  std::size_t bytes_ = 0;
};

/// The proxy closes its sending side towards the client and goes on reading.
struct HalfClose
{};

/// What a proxy does to a connection.
using Fault =
  std::variant<Pass, Delay, Silence, SwallowAnswers, Cut, CutAnswer, HalfClose>;

/// Reads "pass", "delay", "silence", "swallow", "cut", "cut-answer" or
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

/// Which connections get a fault from now on.
struct Rule
{
  Fault fault_;
  /// Only connections from this IP number; empty for all.
  std::string from_;
  /// Share of the connections, decided by the proxy's seed.
  double share_ = 1;
  /// Applies to connections that are open, and to those that come.
  bool open_ = true;
  bool coming_ = true;
};

} // namespace standins
