#include "verbenawell/codec/internal/CheckCbor.h"

#include "verbenawell/codec/DecodeError.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace verbenawell::codec {

namespace {

// The deepest message, a log record with a change, nests less than half as
// deep.
constexpr std::size_t kMaxDepth = 32;

enum class Kind : std::uint8_t
{
  Unsigned,
  Negative,
  Bytes,
  Text,
  Array,
  Map,
  Tag,
  Simple,
};

struct Head
{
  Kind kind_ = Kind::Simple;
  std::uint64_t value_ = 0;
};

class Reader
{
public:
  explicit Reader(std::string_view aBytes)
    : rest_(aBytes)
  {
  }

  [[nodiscard]] std::size_t Left() const { return rest_.size(); }

  Head TakeHead()
  {
    constexpr unsigned kKindShift = 5;
    constexpr unsigned kShortMask = 31;
    constexpr unsigned kFirstLong = 24;
    constexpr unsigned kLastLong = 27;
    const unsigned first = TakeByte();
    Head head{ static_cast<Kind>(first >> kKindShift), first & kShortMask };
    if (head.value_ > kLastLong) {
      throw DecodeError("CBOR item without a definite length");
    }
    if (head.value_ >= kFirstLong) {
      const std::uint64_t size = 1ULL << (head.value_ - kFirstLong);
      head.value_ = 0;
      for (std::uint64_t at = 0; at < size; ++at) {
        head.value_ = (head.value_ << 8U) | TakeByte();
      }
    }
    return head;
  }

  void Skip(std::uint64_t aSize)
  {
    RequireLeft(aSize);
    rest_.remove_prefix(aSize);
  }

  void RequireLeft(std::uint64_t aSize) const
  {
    if (aSize > rest_.size()) {
      throw DecodeError("CBOR item of " + std::to_string(aSize) + " in " +
                        std::to_string(rest_.size()) + " bytes");
    }
  }

private:
  unsigned TakeByte()
  {
    RequireLeft(1);
    const auto byte = static_cast<unsigned char>(rest_.front());
    rest_.remove_prefix(1);
    return byte;
  }

  std::string_view rest_;
};

} // namespace

// The parser recurses for each nested item and takes lengths on trust, so its
// input is walked first without either.
void
CheckCbor(std::string_view aBytes)
{
  Reader reader{ aBytes };
  std::vector<std::uint64_t> itemsLeft{ 1 };
  while (!itemsLeft.empty()) {
    if (itemsLeft.back() == 0) {
      itemsLeft.pop_back();
      continue;
    }
    --itemsLeft.back();
    const auto [kind, value] = reader.TakeHead();
    if (kind == Kind::Bytes || kind == Kind::Text) {
      reader.Skip(value);
    } else if (kind == Kind::Array || kind == Kind::Map) {
      // Each item takes a byte at least.
      reader.RequireLeft(value);
      itemsLeft.push_back(kind == Kind::Map ? 2 * value : value);
    } else if (kind == Kind::Tag) {
      throw DecodeError("CBOR tag");
    }
    if (itemsLeft.size() > kMaxDepth) {
      throw DecodeError("CBOR nested deeper than " + std::to_string(kMaxDepth));
    }
  }
  if (reader.Left() > 0) {
    throw DecodeError(std::to_string(reader.Left()) +
                      " bytes behind the CBOR item");
  }
}

} // namespace verbenawell::codec
