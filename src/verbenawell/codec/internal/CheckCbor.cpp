#include "verbenawell/codec/internal/CheckCbor.h"

#include "verbenawell/codec/DecodeError.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace verbenawell::codec {

namespace {

// The most deeply nested message, a log record with a change, has less than
// half of these levels.
constexpr std::size_t kMaxDepth = 32;

enum class MajorType : std::uint8_t
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

/// Major type and argument of a data item.
struct ItemHead
{
  MajorType majorType_ = MajorType::Simple;
  std::uint64_t argument_ = 0;
};

class Reader
{
public:
  explicit Reader(std::string_view aBytes)
    : rest_(aBytes)
  {
  }

  [[nodiscard]] std::size_t BytesLeft() const { return rest_.size(); }

  ItemHead ReadHead()
  {
    constexpr unsigned kMajorTypeShift = 5;
    constexpr unsigned kAdditionalInfoMask = 31;
    constexpr unsigned kOneByteArgument = 24;
    constexpr unsigned kEightByteArgument = 27;
    const unsigned first = ReadByte();
    ItemHead head{ static_cast<MajorType>(first >> kMajorTypeShift),
                   first & kAdditionalInfoMask };
    if (head.argument_ > kEightByteArgument) {
      throw DecodeError("CBOR item without a definite length");
    }
    if (head.argument_ >= kOneByteArgument) {
      const std::uint64_t size = 1ULL << (head.argument_ - kOneByteArgument);
      head.argument_ = 0;
      for (std::uint64_t at = 0; at < size; ++at) {
        head.argument_ = (head.argument_ << 8U) | ReadByte();
      }
    }
    return head;
  }

  void Skip(std::uint64_t aSize)
  {
    RequireBytes(aSize);
    rest_.remove_prefix(aSize);
  }

  void RequireBytes(std::uint64_t aSize) const
  {
    if (aSize > rest_.size()) {
      throw DecodeError("CBOR item of at least " + std::to_string(aSize) +
                        " bytes in " + std::to_string(rest_.size()) +
                        " remaining bytes");
    }
  }

private:
  unsigned ReadByte()
  {
    RequireBytes(1);
    const auto byte = static_cast<unsigned char>(rest_.front());
    rest_.remove_prefix(1);
    return byte;
  }

  std::string_view rest_;
};

} // namespace

// The JSON library's CBOR parser recurses for each nested item and trusts the
// lengths in its input. The input is checked first, without recursion and with
// each length compared to the bytes left.
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
    const auto [majorType, argument] = reader.ReadHead();
    if (majorType == MajorType::Bytes || majorType == MajorType::Text) {
      reader.Skip(argument);
    } else if (majorType == MajorType::Array || majorType == MajorType::Map) {
      // Each item takes at least one byte.
      reader.RequireBytes(argument);
      itemsLeft.push_back(majorType == MajorType::Map ? 2 * argument
                                                      : argument);
    } else if (majorType == MajorType::Tag) {
      throw DecodeError("CBOR tags are not supported");
    }
    if (itemsLeft.size() > kMaxDepth) {
      throw DecodeError("CBOR nesting exceeds the limit of " +
                        std::to_string(kMaxDepth));
    }
  }
  if (reader.BytesLeft() > 0) {
    throw DecodeError(std::to_string(reader.BytesLeft()) +
                      " bytes behind the CBOR item");
  }
}

} // namespace verbenawell::codec
