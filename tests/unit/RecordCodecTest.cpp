#include "verbenawell/codec/RecordCodec.h"

#include "verbenawell/codec/PeerCodec.h"

#include <gtest/gtest.h>
#include <nlohmann/json.hpp>

namespace verbenawell {
namespace {

FleetRecord
MakeRecord(FleetChange aChange)
{
  FleetRecord record;
  record.id_ = RecordId{ "r1" };
  record.author_ = OperatorId{ "mina" };
  record.preconditions_ = { { VmId{ "vm1" }, Offset{ 7 } } };
  record.change_ = std::move(aChange);
  return record;
}

// Guards against fields that are lost or swapped between encoder and decoder.
TEST(RecordCodecTest, DecodesWhatItEncoded)
{
  const FleetRecord record =
    MakeRecord(MoveVm{ VmId{ "vm1" }, PoolId{ "web" } });
  const LogRecord decoded =
    DecodeRecord(Offset{ 3 }, EncodeRecord(record.id_, record));
  EXPECT_EQ(decoded.offset_, Offset{ 3 });
  EXPECT_EQ(decoded.id_, record.id_);
  const auto& body = std::get<FleetRecord>(decoded.body_);
  EXPECT_EQ(body.author_, OperatorId{ "mina" });
  EXPECT_EQ(body.preconditions_.at(0).version_, Offset{ 7 });
  EXPECT_EQ(std::get<MoveVm>(body.change_).to_, PoolId{ "web" });
}

// Guards against an older daemon that stops reading at a kind of record which a
// newer version wrote.
TEST(RecordCodecTest, KeepsAnUnknownKindOfChangeAsUnknown)
{
  const FleetRecord record = MakeRecord(UnknownChange{ "paint-vm" });
  const LogRecord decoded =
    DecodeRecord(Offset{ 1 }, EncodeRecord(record.id_, record));
  const auto& body = std::get<FleetRecord>(decoded.body_);
  EXPECT_EQ(std::get<UnknownChange>(body.change_).kind_, "paint-vm");
}

// Guards against a truncated record that stops its reader or is applied in
// part.
TEST(RecordCodecTest, ReportsEveryTruncationAsCorrupt)
{
  const FleetRecord record = MakeRecord(DrainVm{ VmId{ "vm1" } });
  const std::string bytes = EncodeRecord(record.id_, record);
  for (std::size_t size = 0; size < bytes.size(); ++size) {
    const LogRecord decoded =
      DecodeRecord(Offset{ 1 }, std::string_view(bytes).substr(0, size));
    EXPECT_TRUE(std::holds_alternative<CorruptRecord>(decoded.body_)) << size;
  }
}

// Guards against a refusal whose reason or retry delay is lost in the encoding.
TEST(PeerCodecTest, DecodesARefusalUnchanged)
{
  const SlotRefusal sent{
    RequestKey{ 9 }, NotRun{ RefusalReason::QueueFull, std::chrono::seconds(2) }
  };
  const auto received =
    std::get<SlotRefusal>(DecodePeerMessage(EncodePeerMessage(sent)));
  EXPECT_EQ(received.key_, sent.key_);
  const auto& verdict = std::get<NotRun>(received.verdict_);
  EXPECT_EQ(verdict.reason_, RefusalReason::QueueFull);
  EXPECT_EQ(verdict.retryAfter_, std::chrono::seconds(2));
}

} // namespace
} // namespace verbenawell
