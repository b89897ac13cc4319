#include "ByteFuzz.h"

#include "verbenawell/codec/DecodeError.h"

#include <algorithm>
#include <iterator>
#include <stdexcept>
#include <utility>

#include <sys/resource.h>

namespace verbenawell::fuzz {

namespace {

// The largest input has 1 MiB, and a parser may need some tens of bytes of
// memory for each byte of input.
constexpr long kMaxGrowthKb = 128L * 1024;
constexpr std::size_t kMaxNesting = 1U << 20U;
constexpr std::size_t kMaxRandomBytes = 4096;
constexpr std::uint64_t kMaxMutations = 8;

long
PeakMemoryKb()
{
  rusage usage{};
  getrusage(RUSAGE_SELF, &usage);
  return usage.ru_maxrss;
}

char
RandomByte(Random& aRandom)
{
  return static_cast<char>(aRandom.Below(256));
}

std::string
RandomBytes(Random& aRandom)
{
  std::string bytes(aRandom.Below(kMaxRandomBytes), '\0');
  std::ranges::generate(bytes, [&] { return RandomByte(aRandom); });
  return bytes;
}

/// Repeats a byte that opens an array, object, tag or string in CBOR or JSON,
/// without closing it.
std::string
DeepNesting(Random& aRandom)
{
  constexpr std::string_view kOpeners = "\x81\x9f\xa1\xbf\xc1\x5f\x7f[{\"";
  const char opener = kOpeners[aRandom.Below(kOpeners.size())];
  return std::string(aRandom.Below(kMaxNesting), opener);
}

/// Creates the head of a CBOR item whose length is far beyond its input.
std::string
HugeLength(Random& aRandom)
{
  constexpr std::string_view kHeads = "\x9b\xbb\x5b\x7b";
  std::string bytes(1, kHeads[aRandom.Below(kHeads.size())]);
  bytes += aRandom.Below(2) == 0 ? std::string("\x7f\xff\xff\xff\xff\xff\xff")
                                 : std::string("\x00\x00\x00\x00\x40\x00", 6);
  bytes += RandomBytes(aRandom);
  return bytes;
}

} // namespace

std::string
Mutate(Random& aRandom, std::string aBytes)
{
  const auto position = [&] { return aRandom.Below(aBytes.size() + 1); };
  for (auto left = 1 + aRandom.Below(kMaxMutations); left > 0; --left) {
    const std::size_t at = position();
    switch (aRandom.Below(7)) {
      case 0:
        aBytes.erase(at, aRandom.Below(8));
        break;
      case 1:
        aBytes.insert(at, 1, RandomByte(aRandom));
        break;
      case 2:
        aBytes.insert(at, HugeLength(aRandom));
        break;
      case 3:
        aBytes.insert(at, aBytes.substr(position(), aRandom.Below(64)));
        break;
      case 4:
        aBytes.resize(at);
        break;
      case 5:
        if (aRandom.Below(16) == 0) {
          aBytes.insert(at, DeepNesting(aRandom));
        }
        break;
      default:
        if (at < aBytes.size()) {
          aBytes[at] = RandomByte(aRandom);
        }
    }
  }
  return aBytes;
}

ByteFuzz::ByteFuzz(std::vector<ByteTarget> aTargets)
  : targets_(std::move(aTargets))
{
  for (const ByteTarget& target : targets_) {
    for (const std::string& bytes : target.valid_) {
      if (!target.parse_(bytes)) {
        throw std::runtime_error(target.name_ + " rejects its valid input");
      }
    }
  }
}

void
ByteFuzz::RunSeed(std::uint64_t aSeed)
{
  Random random{ aSeed };
  const ByteTarget& target = targets_[random.Below(targets_.size())];
  std::string bytes;
  switch (random.Below(16)) {
    case 0:
      bytes = RandomBytes(random);
      break;
    case 1:
      bytes = HugeLength(random);
      break;
    case 2:
      bytes = DeepNesting(random);
      break;
    default:
      bytes = Mutate(random, target.valid_[random.Below(target.valid_.size())]);
  }
  const std::string where =
    target.name_ + " with seed " + std::to_string(aSeed) + ": ";
  const long before = PeakMemoryKb();
  try {
    Feed(target, bytes);
  } catch (const std::exception& error) {
    throw std::runtime_error(where + "unexpected exception: " + error.what());
  }
  if (const long growth = PeakMemoryKb() - before; growth > kMaxGrowthKb) {
    throw std::runtime_error(where + std::to_string(bytes.size()) +
                             " bytes took " + std::to_string(growth) + " KB");
  }
}

void
ByteFuzz::Feed(const ByteTarget& aTarget, const std::string& aBytes)
{
  if (aTarget.parse_(aBytes)) {
    ++accepted_;
  } else {
    ++rejected_;
  }
}

} // namespace verbenawell::fuzz
