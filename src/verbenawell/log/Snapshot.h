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

/// Splits a snapshot into chunks that fit into a log record or a peer message.
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
  Stored,
  /// Already known, or not newer than the newest complete snapshot.
  Ignored,
  /// The chunk was the last one missing of its snapshot.
  Completed,
  Invalid,
};

/// Reassembles snapshots from chunks. The bytes of a snapshot depend only on
/// its offset, so chunks of different authors with the same checksum fit
/// together.
class SnapshotCollector
{
public:
  ChunkOutcome Add(const SnapshotChunk& aChunk);

  /// The newest complete snapshot seen.
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
