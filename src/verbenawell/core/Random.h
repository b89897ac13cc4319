#pragma once

#include <cstdint>
#include <limits>

namespace verbenawell {

/// Pseudo-random number generator (splitmix64). It is part of a reducer's
/// state, so that the same seed and events lead to the same decisions.
class Random
{
public:
  using result_type = std::uint64_t;

  Random() = default;
  explicit Random(std::uint64_t aSeed)
    : state_(aSeed)
  {
  }

  static constexpr result_type min() { return 0; }
  static constexpr result_type max()
  {
    return std::numeric_limits<result_type>::max();
  }

  result_type operator()()
  {
    state_ += 0x9E3779B97F4A7C15ULL;
    result_type mixed = state_;
    mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
    return mixed ^ (mixed >> 31U);
  }

  /// Returns a number below `aBound`, which must be at least 1.
  std::uint64_t Below(std::uint64_t aBound) { return (*this)() % aBound; }

private:
  std::uint64_t state_ = 0;
};

} // namespace verbenawell
