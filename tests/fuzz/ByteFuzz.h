#pragma once

#include "verbenawell/core/Random.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace verbenawell::fuzz {

/// A parser of external input and examples of valid input for it.
struct ByteTarget
{
  std::string name_;
  std::vector<std::string> valid_;
  /// Returns whether the parser accepts the bytes. Catches only the exception
  /// by which the parser rejects input; any other one is a fault.
  std::function<bool(const std::string&)> parse_;
};

/// All parsers of input from the network, the log, operators and files.
std::vector<ByteTarget>
AllByteTargets();

/// Passes random bytes and mutations of valid input to the parsers.
class ByteFuzz
{
public:
  explicit ByteFuzz(std::vector<ByteTarget> aTargets = AllByteTargets());

  /// Passes one input to one parser, both chosen by the seed. Throws
  /// `std::runtime_error` if the parser throws anything but its rejection, or
  /// if the peak memory of the process grows by more than 128 MiB.
  void RunSeed(std::uint64_t aSeed);

  [[nodiscard]] std::size_t Accepted() const { return accepted_; }
  [[nodiscard]] std::size_t Rejected() const { return rejected_; }

private:
  void Feed(const ByteTarget& aTarget, const std::string& aBytes);

  std::vector<ByteTarget> targets_;
  std::size_t accepted_ = 0;
  std::size_t rejected_ = 0;
};

/// Randomly inserts, removes, copies and replaces bytes of a valid input.
std::string
Mutate(Random& aRandom, std::string aBytes);

} // namespace verbenawell::fuzz
