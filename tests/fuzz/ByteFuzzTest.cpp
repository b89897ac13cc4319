#include "ByteFuzz.h"

#include <stdexcept>

#include <gtest/gtest.h>

namespace verbenawell::fuzz {
namespace {

constexpr std::uint64_t kSeeds = 20'000;

// Guards against input from outside that ends the process, takes its memory or
// stack, or is refused in a way that no caller of the reader expects.
TEST(ByteFuzzTest, RefusesOrReadsWhateverComesIn)
{
  ByteFuzz fuzz;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ASSERT_NO_THROW(fuzz.RunSeed(seed));
  }
  EXPECT_GT(fuzz.Accepted(), 0U);
  EXPECT_GT(fuzz.Refused(), 0U);
}

} // namespace
} // namespace verbenawell::fuzz
