#pragma once

#include "verbenawell/core/Random.h"

#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace verbenawell::fuzz {

/// Something that reads bytes from outside, and valid input for it.
struct ByteTarget
{
  std::string name_;
  std::vector<std::string> valid_;
  /// Tells whether the bytes were accepted; throws what the reader throws on
  /// bytes that it refuses, and nothing else.
  std::function<bool(const std::string&)> read_;
};

/// Every reader that faces a network, the log, an operator or a file.
std::vector<ByteTarget>
AllByteTargets();

/// Feeds random bytes and mutations of valid input to every reader.
class ByteFuzz
{
public:
  explicit ByteFuzz(std::vector<ByteTarget> aTargets = AllByteTargets());

  /// Throws `std::runtime_error` where a reader fails in another way than by
  /// refusing its input, or takes more memory than its input justifies.
  void RunSeed(std::uint64_t aSeed);

  [[nodiscard]] std::size_t Accepted() const { return accepted_; }
  [[nodiscard]] std::size_t Refused() const { return refused_; }

private:
  void Feed(const ByteTarget& aTarget, const std::string& aBytes);

  std::vector<ByteTarget> targets_;
  std::size_t accepted_ = 0;
  std::size_t refused_ = 0;
};

/// Changes bytes, lengths and order of a valid input.
std::string
Mutate(Random& aRandom, std::string aBytes);

} // namespace verbenawell::fuzz
