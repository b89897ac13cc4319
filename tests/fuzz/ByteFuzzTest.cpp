#include "ByteFuzz.h"

#include <stdexcept>

#include <gtest/gtest.h>

namespace verbenawell::fuzz {
namespace {

constexpr std::uint64_t kSeeds = 20'000;

// Guards against external input that crashes the process, exhausts its memory
// or stack, or makes a parser throw an exception that its callers do not
// handle.
TEST(ByteFuzzTest, AcceptsOrRejectsAnyInput)
{
  ByteFuzz fuzz;
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    ASSERT_NO_THROW(fuzz.RunSeed(seed));
  }
  EXPECT_GT(fuzz.Accepted(), 0U);
  EXPECT_GT(fuzz.Rejected(), 0U);
}

} // namespace
} // namespace verbenawell::fuzz
