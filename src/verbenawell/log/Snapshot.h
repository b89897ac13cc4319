#pragma once

#include "verbenawell/log/LogRecord.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace verbenawell {

std::uint64_t
ComputeChecksum(std::string_view aBytes);

/// Splits a snapshot in chunks that a record of the log or a message to a
/// peer can hold.
std::vector<SnapshotChunk>
SplitSnapshot(Offset aThrough,
              const std::string& aBytes,
              const DaemonId& aAuthor,
              WallTime aAt);

/// A complete snapshot with the right checksum.
struct CompleteSnapshot
{
  Offset through_;
  WallTime at_;
  std::shared_ptr<const std::string> bytes_;
};

enum class ChunkOutcome : std::uint8_t
{
  Taken,
  /// Known already or older than the newest whole snapshot.
  Ignored,
  /// The chunk is the last one of a whole snapshot.
  Completed,
  Invalid,
};

/// Puts chunks together. A snapshot depends on nothing but its offset, so
/// that chunks of two authors with one checksum belong together.
class SnapshotCollector
{
public:
  ChunkOutcome Add(const SnapshotChunk& aChunk);

  /// The newest whole snapshot seen.
  [[nodiscard]] const std::optional<CompleteSnapshot>& Newest() const
  {
    return newest_;
  }

private:
  struct Key
  {
    Offset through_;
    std::uint64_t checksum_ = 0;
    std::uint32_t count_ = 0;
    auto operator<=>(const Key&) const = default;
  };
  struct Parts
  {
    WallTime at_;
    std::map<std::uint32_t, std::string> bytes_;
  };

  ChunkOutcome Complete(const Key& aKey, const Parts& aParts);

  std::map<Key, Parts> parts_;
  std::optional<CompleteSnapshot> newest_;
};

} // namespace verbenawell
