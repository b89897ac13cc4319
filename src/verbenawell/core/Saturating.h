#pragma once

#include <cstdint>
#include <limits>

namespace verbenawell {

/// Sum, capped at the largest number. Declared sizes come from outside, and a
/// sum that wraps around would make a huge backlog look small.
constexpr std::uint64_t
SaturatingAdd(std::uint64_t aLeft, std::uint64_t aRight)
{
  constexpr std::uint64_t kMax = std::numeric_limits<std::uint64_t>::max();
  return aLeft > kMax - aRight ? kMax : aLeft + aRight;
}

/// Product, capped at the largest number.
constexpr std::uint64_t
SaturatingMultiply(std::uint64_t aLeft, std::uint64_t aRight)
{
  constexpr std::uint64_t kMax = std::numeric_limits<std::uint64_t>::max();
  return aRight != 0 && aLeft > kMax / aRight ? kMax : aLeft * aRight;
}

} // namespace verbenawell
