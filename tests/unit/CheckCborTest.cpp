#include "verbenawell/codec/DecodeError.h"
#include "verbenawell/codec/PeerCodec.h"
#include "verbenawell/codec/RecordCodec.h"

#include <gtest/gtest.h>

namespace verbenawell {
namespace {

// Guards against a message whose deep nesting overflows the stack of a
// recursive decoder.
TEST(CheckCborTest, RefusesDeepNestingOfEveryKind)
{
  constexpr std::size_t kDepth = 1'000'000;
  for (const char opener : { '\x81', '\x9f', '\xa1', '\xbf', '\x5f', '\x7f' }) {
    EXPECT_THROW(DecodePeerMessage(std::string(kDepth, opener)), DecodeError);
  }
}

// Guards against a record that stops every reader of its stream: a huge length
// caused an exception that no reader handles as a corrupt record (fuzz_bytes
// seed 11).
TEST(CheckCborTest, TreatsARecordWithAHugeLengthAsCorrupt)
{
  const std::string bytes = "\x9b\x7f\xff\xff\xff\xff\xff\xff\xff";
  const LogRecord record = DecodeRecord(Offset{ 1 }, bytes);
  EXPECT_TRUE(std::holds_alternative<CorruptRecord>(record.body_));
}

} // namespace
} // namespace verbenawell
