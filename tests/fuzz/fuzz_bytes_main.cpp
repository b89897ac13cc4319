#include "ByteFuzz.h"

#include <cstdlib>
#include <exception>
#include <iostream>
#include <sstream>
#include <stdexcept>

#include <gflags/gflags.h>

DEFINE_string(seeds, "1..20000", "a range of seeds to run, A..B");
DEFINE_bool(trace, false, "print the target of each seed before it runs");

namespace {

constexpr int kExitUsage = 2;

void
RunAll()
{
  std::istringstream input{ FLAGS_seeds };
  std::uint64_t first = 0;
  std::uint64_t last = 0;
  char dot = 0;
  char otherDot = 0;
  input >> first >> dot >> otherDot >> last;
  if (!input || dot != '.' || otherDot != '.') {
    throw std::invalid_argument("--seeds: expected A..B, got \"" + FLAGS_seeds +
                                "\"");
  }
  verbenawell::fuzz::ByteFuzz fuzz;
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    if (FLAGS_trace) {
      std::cout << "seed " << seed << std::endl;
    }
    fuzz.RunSeed(seed);
  }
  std::cout << (last - first + 1) << " seeds, " << fuzz.Accepted()
            << " inputs accepted, " << fuzz.Rejected() << " refused\n";
}

} // namespace

int
main(int aCount, char** aArguments)
{
  gflags::SetUsageMessage("[--seeds A..B] [--trace]");
  gflags::ParseCommandLineFlags(&aCount, &aArguments, true);
  try {
    RunAll();
  } catch (const std::invalid_argument& error) {
    std::cerr << "fuzz_bytes: " << error.what() << '\n';
    return kExitUsage;
  } catch (const std::exception& error) {
    std::cerr << "fuzz_bytes: " << error.what() << '\n';
    return EXIT_FAILURE;
  }
  return EXIT_SUCCESS;
}
